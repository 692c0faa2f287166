// Tests the load estimate from cumulative counts.
#include "Experts/LoadMeter.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("only increments of cumulative counts are returned") {
  CountReader Reader;
  CHECK(takeIncrement(Reader, {1000, 0}).empty());
  CHECK(takeIncrement(Reader, {1600, 3}) == std::vector<std::uint64_t>{600, 3});
  CHECK(takeIncrement(Reader, {1600, 3}) == std::vector<std::uint64_t>{0, 0});
  SECTION("a restarted rank starts over") {
    CHECK(takeIncrement(Reader, {3, 4}).empty());
    CHECK(takeIncrement(Reader, {10, 4}) == std::vector<std::uint64_t>{7, 0});
  }
  SECTION("a different number of experts") {
    CHECK(takeIncrement(Reader, {1, 2, 3}).empty());
  }
}

TEST_CASE("the load is the sum over the ranks") {
  LoadMeter M;
  addCounts(M, {{600, 0}, {0, 400}, {}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{600, 400});
}

TEST_CASE("counts decay by half per half-life") {
  LoadMeter M;
  addCounts(M, {{800, 0}}, TimePoint(10s));
  addCounts(M, {{0, 100}}, TimePoint(10s) + M.m_Options.m_HalfLife);
  CHECK(M.m_Load.m_Tokens[0] == Approx(400));
  CHECK(M.m_Load.m_Tokens[1] == Approx(100));
}

TEST_CASE("the estimate of an idle group doesn't decay") {
  LoadMeter M;
  addCounts(M, {{800, 200}}, TimePoint(10s));
  addCounts(M, {{0, 0}}, TimePoint(20s));
  addCounts(M, {}, TimePoint(30s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{800, 200});
}

TEST_CASE("few counts give no estimate") {
  LoadMeter M;
  addCounts(M, {{5, 0}}, TimePoint(10s));
  CHECK_FALSE(hasEnoughCounts(M));
  addCounts(M, {{5000, 0}}, TimePoint(10s));
  CHECK(hasEnoughCounts(M));
}
