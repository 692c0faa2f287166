// The load of the last moments, out of running counts.
#include "Experts/LoadMeter.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

using Counts = std::vector<std::vector<std::uint64_t>>;

} // namespace

TEST_CASE("the first counts are where the load begins") {
  LoadMeter M;
  noteCounts(M, {{1000, 0}, {0, 5000}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{0, 0});
  noteCounts(M, {{1600, 0}, {0, 5400}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{600, 400});
}

TEST_CASE("what was counted a half-life ago weighs half") {
  LoadMeter M;
  noteCounts(M, {{0, 0}}, TimePoint(10s));
  noteCounts(M, {{800, 0}}, TimePoint(10s));
  noteCounts(M, {{800, 100}}, TimePoint(10s) + M.m_Options.m_HalfLife);
  CHECK(M.m_Load.m_Tokens[0] == Approx(400));
  CHECK(M.m_Load.m_Tokens[1] == Approx(100));
}

TEST_CASE("an idle group forgets nothing") {
  LoadMeter M;
  noteCounts(M, {{0, 0}}, TimePoint(10s));
  noteCounts(M, {{800, 200}}, TimePoint(10s));
  noteCounts(M, {{800, 200}}, TimePoint(20s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{800, 200});
}

TEST_CASE(
    "a rank that was restarted, or had no counts yet, adds nothing wrong") {
  LoadMeter M;
  noteCounts(M, {{500, 500}, {}}, TimePoint(10s));
  noteCounts(M, {{600, 500}, {700, 700}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{100, 0});
  noteCounts(M, {{3, 4}, {710, 700}}, TimePoint(10s));
  CHECK(M.m_Load.m_Tokens == std::vector<double>{110, 0});
}

TEST_CASE("few choices tell nothing") {
  LoadMeter M;
  noteCounts(M, {{0, 0}}, TimePoint(10s));
  CHECK_FALSE(isTelling(M));
  noteCounts(M, {{5000, 0}}, TimePoint(10s));
  CHECK(isTelling(M));
}
