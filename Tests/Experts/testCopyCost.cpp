// Load pattern: demand shifts to other experts. The groups have few layers with
// slow weight copies, or many layers with fast copies, each a small fraction of
// a pass.
#include "Experts/CopyCost.h"
#include "Loads.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

struct Group {
  const char *m_Name;
  GroupShape m_Shape;
  CopyLimits m_Copies;
};

const Group Groups[] = {
    {"few layers, slow copies", {12, 96, 3, 11}, {142ms, 4}},
    {"many layers, fast copies", {24, 96, 16, 5}, {27ms, 2}},
};

constexpr double ModerateOccupancy = 0.6;
// Events are due every 120 ms; a full pass of a balanced group takes 92 ms, 85
// of 100 parts of it for its experts.
constexpr double MaxSkew = (120.0 / 92.0 - 0.15) / 0.85;

// Returns the map after one change.
ExpertMap mapAfterChange(const ExpertMap &Map, const ExpertLoad &Load,
                         const CopyLimits &Copies, double Occupancy) {
  return placeIncrementally(
      Map, Load, {},
      copyAwarePlacement(Copies, stepLoad(Map, Load), Occupancy));
}

} // namespace

TEST_CASE("a shift of demand is rebalanced in a few changes") {
  for (const Group &Each : Groups) {
    INFO(Each.m_Name);
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      INFO("seed " << Seed);
      Random Generator(Seed);
      const ExpertLoad Load = skewedLoad(Each.m_Shape, Generator);
      ExpertMap Map = initialMap(Each.m_Shape);
      // At half a second each, they fit between two load shifts on days with
      // much load.
      constexpr int Changes = 6;
      for (int I = 0; I < Changes; ++I)
        Map = mapAfterChange(Map, Load, Each.m_Copies, ModerateOccupancy);
      CHECK(stepLoad(Map, Load).skew() <= MaxSkew);
    }
  }
}

// Load pattern: one rank of a group becomes slow and slows all ranks down.
TEST_CASE("hot experts are moved off a slow rank in a few changes") {
  constexpr double Slow = 4.0;
  for (const Group &Each : Groups) {
    INFO(Each.m_Name);
    Random Generator(1);
    const ExpertLoad Load = skewedLoad(Each.m_Shape, Generator);
    RankSlowness Slowness;
    Slowness.m_Factors.assign(Each.m_Shape.m_Ranks, 1.0);
    Slowness.m_Factors[3] = Slow;
    ExpertMap Map = initialMap(Each.m_Shape);
    for (int I = 0; I < 8; ++I)
      Map = placeIncrementally(Map, Load, Slowness,
                               copyAwarePlacement(Each.m_Copies,
                                                  stepLoad(Map, Load, Slowness),
                                                  ModerateOccupancy));
    CHECK(stepLoad(Map, Load, Slowness).skew() <= MaxSkew);
  }
}

TEST_CASE("a change respects the copy limits") {
  for (const Group &Each : Groups) {
    INFO(Each.m_Name);
    Random Generator(1);
    const ExpertLoad Load = skewedLoad(Each.m_Shape, Generator);
    const ExpertMap Map = initialMap(Each.m_Shape);
    const ExpertMap Next = mapAfterChange(Map, Load, Each.m_Copies, 1.0);
    for (const std::uint32_t Copies : weightsMovedByRank(Map, Next))
      CHECK(Copies * Each.m_Copies.m_CopyTime <= 500ms);
    CHECK(weightsMoved(Map, Next) > 0);
  }
}

TEST_CASE(
    "the gain required of a copy grows with its time and with lower load") {
  CHECK(minGainPerCopy(27ms, 1.0) < minGainPerCopy(142ms, 1.0));
  CHECK(minGainPerCopy(27ms, 1.0) < minGainPerCopy(27ms, 0.2));
}

TEST_CASE("small gains are ignored while the group is lightly loaded") {
  struct Case {
    const char *m_Name;
    double m_Occupancy;
    bool m_Unanswered;
    double m_Before;
    double m_After;
    bool m_Changes;
  };
  const Case Cases[] = {
      {"a shift in a lightly loaded group", 0.4, false, 2.4, 1.3, true},
      {"the remaining skew", 0.5, false, 1.35, 1.28, false},
      {"the same skew in a full group", 0.95, false, 1.35, 1.28, true},
      {"orders get no answer", 0.95, true, 1.35, 1.28, false},
      {"a shift while orders get no answer", 0.95, true, 2.4, 1.3, true},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    const bool Changes = Each.m_Before - Each.m_After >=
                         minSkewReduction(Each.m_Occupancy, Each.m_Unanswered);
    CHECK(Changes == Each.m_Changes);
  }
}
