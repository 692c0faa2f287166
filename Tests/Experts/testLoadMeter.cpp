// The load of the last moments, out of running counts.
#include "Experts/LoadMeter.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("only what is new of running counts is told") {
  CountReader Reader;
  CHECK(takeNew(Reader, {1000, 0}).empty());
  CHECK(takeNew(Reader, {1600, 3}) == std::vector<std::uint64_t>{600, 3});
  CHECK(takeNew(Reader, {1600, 3}) == std::vector<std::uint64_t>{0, 0});
  SECTION("a rank that was restarted begins again") {
    CHECK(takeNew(Reader, {3, 4}).empty());
    CHECK(takeNew(Reader, {10, 4}) == std::vector<std::uint64_t>{7, 0});
  }
  SECTION("other experts") { CHECK(takeNew(Reader, {1, 2, 3}).empty()); }
}

TEST_CASE("the load is the sum over the ranks") {
  LoadMeter M;
  noteCounts(M, {{600, 0}, {0, 400}, {}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{600, 400});
}

TEST_CASE("what was counted a half-life ago weighs half") {
  LoadMeter M;
  noteCounts(M, {{800, 0}}, TimePoint(10s));
  noteCounts(M, {{0, 100}}, TimePoint(10s) + M.m_Options.m_HalfLife);
  CHECK(M.m_Load.m_Tokens[0] == Approx(400));
  CHECK(M.m_Load.m_Tokens[1] == Approx(100));
}

TEST_CASE("an idle group forgets nothing") {
  LoadMeter M;
  noteCounts(M, {{800, 200}}, TimePoint(10s));
  noteCounts(M, {{0, 0}}, TimePoint(20s));
  noteCounts(M, {}, TimePoint(30s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{800, 200});
}

TEST_CASE("few choices tell nothing") {
  LoadMeter M;
  noteCounts(M, {{5, 0}}, TimePoint(10s));
  CHECK_FALSE(isTelling(M));
  noteCounts(M, {{5000, 0}}, TimePoint(10s));
  CHECK(isTelling(M));
}
