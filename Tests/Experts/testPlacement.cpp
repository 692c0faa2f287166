// Tests the invariants of all placements over many seeds, and the goals of each
// policy.
#include "Experts/Placement.h"
#include "Loads.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr std::uint64_t SeedCount = 2000;

struct PlacementCase {
  ExpertMap m_Map;
  ExpertLoad m_Load;
  RankSlowness m_Slowness;
  PlacementOptions m_Options;
};

PlacementCase makeCase(std::uint64_t Seed) {
  Random Generator(Seed);
  const GroupShape Shape = randomShape(Generator);
  PlacementCase Case{initialMap(Shape), skewedLoad(Shape, Generator), {}, {}};
  if (uniform(Generator, 0, 1) == 0)
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank)
      Case.m_Slowness.m_Factors.push_back(1 + uniformReal(Generator));
  // Covers experts without tokens.
  Case.m_Load.m_Tokens[uniform(Generator, 0, Case.m_Load.m_Tokens.size() - 1)] =
      0;
  Case.m_Options.m_CostModel.m_HorizonSteps = uniformReal(Generator) * 2000;
  Case.m_Options.m_AffinityFraction = uniformReal(Generator) * 0.1;
  Case.m_Options.m_MaxWeights = uniform(Generator, 0, 3) * 10;
  // Starts from a map that earlier decisions have changed.
  if (uniform(Generator, 0, 1) == 0)
    Case.m_Map = placeFully(Case.m_Map, skewedLoad(Shape, Generator), {}, 0);
  return Case;
}

PlacementDecision decide(PlacementCase &Case, PlacementPolicy Policy) {
  Case.m_Options.m_Policy = Policy;
  return place(Case.m_Map, Case.m_Load, Case.m_Slowness, Case.m_Options);
}

double slowest(const ExpertMap &Map, std::uint32_t Layer,
               const PlacementCase &Case) {
  const auto Loads = rankLoads(Map, Layer, Case.m_Load, Case.m_Slowness);
  return *std::max_element(Loads.begin(), Loads.end());
}

} // namespace

TEST_CASE("every policy keeps the map invariants and is deterministic") {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    PlacementCase Case = makeCase(Seed);
    INFO("seed " << Seed);
    REQUIRE(findInvariantViolation(Case.m_Map) == "");
    for (const PlacementPolicy Policy :
         {PlacementPolicy::None, PlacementPolicy::Full,
          PlacementPolicy::Incremental}) {
      const PlacementDecision Decision = decide(Case, Policy);
      REQUIRE(findInvariantViolation(Decision.m_Map) == "");
      REQUIRE(decide(Case, Policy) == Decision);
    }
  }
}

TEST_CASE("incremental moves never slow a layer, and all pass the cost model") {
  std::size_t Changed = 0;
  std::size_t Unchanged = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    PlacementCase Case = makeCase(Seed);
    INFO("seed " << Seed);
    const PlacementDecision Decision =
        decide(Case, PlacementPolicy::Incremental);
    // Sums in a different order differ by rounding.
    constexpr double Rounding = 1 + 1e-9;
    for (std::uint32_t L = 0; L < Case.m_Map.m_Shape.m_Layers; ++L) {
      const double Before = slowest(Case.m_Map, L, Case);
      REQUIRE(slowest(Decision.m_Map, L, Case) <= Before * Rounding);
      // The change of each layer alone must be worth its cost.
      ExpertMap SingleLayer = Case.m_Map;
      const auto Begin =
          static_cast<std::ptrdiff_t>(slotIndex(SingleLayer.m_Shape, L, 0, 0));
      const auto End = static_cast<std::ptrdiff_t>(
          slotIndex(SingleLayer.m_Shape, L + 1, 0, 0));
      std::copy(Decision.m_Map.m_Slots.begin() + Begin,
                Decision.m_Map.m_Slots.begin() + End,
                SingleLayer.m_Slots.begin() + Begin);
      const MoveImpact Impact{Before - slowest(SingleLayer, L, Case),
                              weightsMoved(Case.m_Map, SingleLayer)};
      if (Impact.m_Weights > 0)
        REQUIRE(isWorthwhile(Case.m_Options.m_CostModel, Impact));
    }
    if (Case.m_Options.m_MaxWeights > 0)
      REQUIRE(Decision.m_Impact.m_Weights <= Case.m_Options.m_MaxWeights);
    Changed += Decision.m_Impact.m_Weights > 0 ? 1 : 0;
    Unchanged += Decision.m_Impact.m_Weights == 0 ? 1 : 0;
  }
  // Guards that the seeds reach both decisions.
  CHECK(Changed > SeedCount / 10);
  CHECK(Unchanged > SeedCount / 100);
}

TEST_CASE("a cost model without horizon allows no moves") {
  PlacementCase Case = makeCase(7);
  Case.m_Options.m_CostModel.m_HorizonSteps = 0;
  CHECK(decide(Case, PlacementPolicy::Incremental).m_Map == Case.m_Map);
}

TEST_CASE("full recomputation balances the large group") {
  Random Generator(1);
  PlacementCase Case{
      initialMap(largeGroup()), skewedLoad(largeGroup(), Generator), {}, {}};
  CHECK(stepLoad(Case.m_Map, Case.m_Load).skew() > 2);
  const PlacementDecision Full = decide(Case, PlacementPolicy::Full);
  CHECK(stepLoad(Full.m_Map, Case.m_Load).skew() < 1.1);
}

TEST_CASE("a slow rank gets less of the load") {
  Random Generator(2);
  PlacementCase Case{
      initialMap(largeGroup()), skewedLoad(largeGroup(), Generator), {}, {}};
  Case.m_Slowness.m_Factors.assign(Case.m_Map.m_Shape.m_Ranks, 1.0);
  Case.m_Slowness.m_Factors[5] = 1.5;
  for (const PlacementPolicy Policy :
       {PlacementPolicy::Full, PlacementPolicy::Incremental}) {
    const ExpertMap Next = decide(Case, Policy).m_Map;
    const StepLoad Before = stepLoad(Case.m_Map, Case.m_Load, Case.m_Slowness);
    const StepLoad After = stepLoad(Next, Case.m_Load, Case.m_Slowness);
    CHECK(After.m_Slowest < Before.m_Slowest * 0.8);
    const std::vector<double> Tokens = rankLoads(Next, 0, Case.m_Load);
    double Sum = 0;
    for (const double T : Tokens)
      Sum += T;
    CHECK(Tokens[5] < 0.9 * Sum / static_cast<double>(Tokens.size()));
  }
}

TEST_CASE("limits on what is new to a rank hold, and the map keeps its "
          "invariants") {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    PlacementCase Case = makeCase(Seed);
    INFO("seed " << Seed);
    Random Generator(Seed + SeedCount);
    Case.m_Options.m_MaxNewPerRankLayer =
        static_cast<std::uint32_t>(uniform(Generator, 1, 4));
    Case.m_Options.m_MaxNewPerRank =
        static_cast<std::uint32_t>(uniform(Generator, 0, 5));
    const ExpertMap Next = placeIncrementally(Case.m_Map, Case.m_Load,
                                              Case.m_Slowness, Case.m_Options);
    REQUIRE(findInvariantViolation(Next) == "");
    REQUIRE(stepLoad(Next, Case.m_Load, Case.m_Slowness).m_Slowest <=
            stepLoad(Case.m_Map, Case.m_Load, Case.m_Slowness).m_Slowest *
                (1 + 1e-9));
    const GroupShape &Shape = Case.m_Map.m_Shape;
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank) {
      std::uint32_t NewToRank = 0;
      for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer) {
        std::uint32_t NewToLayer = 0;
        const auto Old =
            Case.m_Map.m_Slots.begin() +
            static_cast<std::ptrdiff_t>(slotIndex(Shape, Layer, Rank, 0));
        for (std::uint32_t Slot = 0; Slot < Shape.m_SlotsPerRank; ++Slot) {
          const ExpertId Expert =
              Next.m_Slots[slotIndex(Shape, Layer, Rank, Slot)];
          if (Expert != EmptySlot &&
              std::find(Old, Old + Shape.m_SlotsPerRank, Expert) ==
                  Old + Shape.m_SlotsPerRank)
            ++NewToLayer;
        }
        REQUIRE(NewToLayer <= Case.m_Options.m_MaxNewPerRankLayer);
        NewToRank += NewToLayer;
      }
      if (Case.m_Options.m_MaxNewPerRank > 0)
        REQUIRE(NewToRank <= Case.m_Options.m_MaxNewPerRank);
    }
  }
}
