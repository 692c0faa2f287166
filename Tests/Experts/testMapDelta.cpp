// A rank that rebuilds another map than the coordinator sent would break the
// rule that all ranks of a group have one map.
#include "Experts/MapDelta.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

ExpertMap randomMap(Random &Generator) {
  ExpertMap Map;
  Map.m_Shape = {8, 16, 3, 4};
  for (std::size_t I = 0; I < std::size_t{8} * 3 * 4; ++I)
    Map.m_Slots.push_back(static_cast<ExpertId>(uniform(Generator, 0, 15)));
  return Map;
}

} // namespace

TEST_CASE("map delta: applied to its base it gives the other map") {
  Random Generator(7);
  for (int Round = 0; Round < 200; ++Round) {
    const ExpertMap Base = randomMap(Generator);
    const ExpertMap Next = randomMap(Generator);
    CHECK(applyMapDelta(Base, mapDelta(Base, Next)) == Next);
  }
}

TEST_CASE("map delta: equal maps have an empty difference") {
  Random Generator(7);
  const ExpertMap Base = randomMap(Generator);
  CHECK(mapDelta(Base, Base) == MapDelta());
}

TEST_CASE("map delta: a malformed difference is rejected") {
  Random Generator(7);
  const ExpertMap Base = randomMap(Generator);
  const auto Outside = static_cast<std::uint32_t>(Base.m_Slots.size());
  CHECK_FALSE(applyMapDelta(Base, {{Outside}, {1}}));
  CHECK_FALSE(applyMapDelta(Base, {{0, 1}, {1}}));
}
