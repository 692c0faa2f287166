// Pattern: other experts come into demand. Few layers with weights that take
// long to copy, and many layers whose weights are copied fast, of which each
// has a small part in a pass.
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

constexpr double HalfBusy = 0.6;
// Events are due each 120 ms; a full pass of an even group takes 92 ms, 85 in
// 100 of it for its experts.
constexpr double LargestSkew = (120.0 / 92.0 - 0.15) / 0.85;

// The map after a change.
ExpertMap changed(const ExpertMap &Map, const ExpertLoad &Load,
                  const CopyLimits &Copies, double Occupancy) {
  return placeIncrementally(
      Map, Load, {}, copyingPlacement(Copies, stepLoad(Map, Load), Occupancy));
}

} // namespace

TEST_CASE("a shift of the experts in demand is evened out in a few changes") {
  for (const Group &Each : Groups) {
    INFO(Each.m_Name);
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      INFO("seed " << Seed);
      Random Generator(Seed);
      const ExpertLoad Load = skewedLoad(Each.m_Shape, Generator);
      ExpertMap Map = initialMap(Each.m_Shape);
      // At half a second each: the time between two shifts on heavy days.
      constexpr int Changes = 6;
      for (int I = 0; I < Changes; ++I)
        Map = changed(Map, Load, Each.m_Copies, HalfBusy);
      CHECK(stepLoad(Map, Load).skew() <= LargestSkew);
    }
  }
}

// Pattern: one rank of a group turns slow, and all its ranks with it.
TEST_CASE("a slow rank is relieved of experts in demand in a few changes") {
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
                               copyingPlacement(Each.m_Copies,
                                                stepLoad(Map, Load, Slowness),
                                                HalfBusy));
    CHECK(stepLoad(Map, Load, Slowness).skew() <= LargestSkew);
  }
}

TEST_CASE("a change keeps to the limits of copies") {
  for (const Group &Each : Groups) {
    INFO(Each.m_Name);
    Random Generator(1);
    const ExpertLoad Load = skewedLoad(Each.m_Shape, Generator);
    const ExpertMap Map = initialMap(Each.m_Shape);
    const ExpertMap Next = changed(Map, Load, Each.m_Copies, 1.0);
    for (const std::uint32_t Copies : weightsMovedByRank(Map, Next))
      CHECK(Copies * Each.m_Copies.m_CopyTime <= 500ms);
    CHECK(weightsMoved(Map, Next) > 0);
  }
}

TEST_CASE("a copy must bring more the longer it takes and the calmer it is") {
  CHECK(leastGainPerCopy(27ms, 1.0) < leastGainPerCopy(142ms, 1.0));
  CHECK(leastGainPerCopy(27ms, 1.0) < leastGainPerCopy(27ms, 0.2));
}

TEST_CASE("small gains are left while events are in time anyway") {
  struct Case {
    const char *m_Name;
    double m_Occupancy;
    bool m_Unanswered;
    double m_Before;
    double m_After;
    bool m_Changes;
  };
  const Case Cases[] = {
      {"a shift in a calm group", 0.4, false, 2.4, 1.3, true},
      {"what is left of it", 0.5, false, 1.35, 1.28, false},
      {"the same in a full group", 0.95, false, 1.35, 1.28, true},
      {"orders go unanswered", 0.95, true, 1.35, 1.28, false},
      {"a shift meanwhile", 0.95, true, 2.4, 1.3, true},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    const bool Changes = Each.m_Before - Each.m_After >=
                         leastGain(Each.m_Occupancy, Each.m_Unanswered);
    CHECK(Changes == Each.m_Changes);
  }
}
