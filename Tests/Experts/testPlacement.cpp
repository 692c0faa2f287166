// Invariants of every placement over seeds, and what each policy is for.
#include "Experts/Placement.h"
#include "Loads.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr std::uint64_t SeedCount = 2000;

struct World {
  ExpertMap m_Map;
  ExpertLoad m_Load;
  RankSlowness m_Slowness;
  PlacementOptions m_Options;
};

World makeWorld(std::uint64_t Seed) {
  Random Generator(Seed);
  const GroupShape Shape = randomShape(Generator);
  World W{initialMap(Shape), skewedLoad(Shape, Generator), {}, {}};
  if (uniform(Generator, 0, 1) == 0)
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank)
      W.m_Slowness.m_Factors.push_back(1 + uniformReal(Generator));
  // Experts without any tokens too.
  W.m_Load.m_Tokens[uniform(Generator, 0, W.m_Load.m_Tokens.size() - 1)] = 0;
  W.m_Options.m_Gate.m_HorizonSteps = uniformReal(Generator) * 2000;
  W.m_Options.m_AffinityPart = uniformReal(Generator) * 0.1;
  W.m_Options.m_MaxWeights = uniform(Generator, 0, 3) * 10;
  // Start from a map that earlier decisions have changed.
  if (uniform(Generator, 0, 1) == 0)
    W.m_Map = placeFully(W.m_Map, skewedLoad(Shape, Generator), {}, 0);
  return W;
}

PlacementDecision decide(World &W, PlacementPolicy Policy) {
  W.m_Options.m_Policy = Policy;
  return place(W.m_Map, W.m_Load, W.m_Slowness, W.m_Options);
}

double slowest(const ExpertMap &Map, std::uint32_t Layer, const World &W) {
  const auto Loads = rankLoads(Map, Layer, W.m_Load, W.m_Slowness);
  return *std::max_element(Loads.begin(), Loads.end());
}

} // namespace

TEST_CASE("every policy keeps a map's invariants and decides the same again") {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    World W = makeWorld(Seed);
    INFO("seed " << Seed);
    REQUIRE(findFault(W.m_Map) == "");
    for (const PlacementPolicy Policy :
         {PlacementPolicy::None, PlacementPolicy::Full,
          PlacementPolicy::Incremental}) {
      const PlacementDecision Decision = decide(W, Policy);
      REQUIRE(findFault(Decision.m_Map) == "");
      REQUIRE(decide(W, Policy) == Decision);
    }
  }
}

TEST_CASE("incremental moves never slow a layer, and each passes the gate") {
  std::size_t Changed = 0;
  std::size_t Refused = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    World W = makeWorld(Seed);
    INFO("seed " << Seed);
    const PlacementDecision Decision = decide(W, PlacementPolicy::Incremental);
    // Sums in another order differ by rounding.
    constexpr double Rounding = 1 + 1e-9;
    for (std::uint32_t L = 0; L < W.m_Map.m_Shape.m_Layers; ++L) {
      const double Before = slowest(W.m_Map, L, W);
      REQUIRE(slowest(Decision.m_Map, L, W) <= Before * Rounding);
      // The change of each layer by itself is worth its cost.
      ExpertMap One = W.m_Map;
      const auto Begin =
          static_cast<std::ptrdiff_t>(slotIndex(One.m_Shape, L, 0, 0));
      const auto End =
          static_cast<std::ptrdiff_t>(slotIndex(One.m_Shape, L + 1, 0, 0));
      std::copy(Decision.m_Map.m_Slots.begin() + Begin,
                Decision.m_Map.m_Slots.begin() + End,
                One.m_Slots.begin() + Begin);
      const MoveTrade Trade{Before - slowest(One, L, W),
                            weightsMoved(W.m_Map, One)};
      if (Trade.m_Weights > 0)
        REQUIRE(isWorthwhile(W.m_Options.m_Gate, Trade));
    }
    if (W.m_Options.m_MaxWeights > 0)
      REQUIRE(Decision.m_Trade.m_Weights <= W.m_Options.m_MaxWeights);
    Changed += Decision.m_Trade.m_Weights > 0 ? 1 : 0;
    Refused += Decision.m_Trade.m_Weights == 0 ? 1 : 0;
  }
  // The seeds reach both sides of the gate.
  CHECK(Changed > SeedCount / 10);
  CHECK(Refused > SeedCount / 100);
}

TEST_CASE("a gate without horizon lets nothing through") {
  World W = makeWorld(7);
  W.m_Options.m_Gate.m_HorizonSteps = 0;
  CHECK(decide(W, PlacementPolicy::Incremental).m_Map == W.m_Map);
}

TEST_CASE("full recomputation brings the large group near to the mean") {
  Random Generator(1);
  World W{
      initialMap(largeGroup()), skewedLoad(largeGroup(), Generator), {}, {}};
  CHECK(stepLoad(W.m_Map, W.m_Load).skew() > 2);
  const PlacementDecision Full = decide(W, PlacementPolicy::Full);
  CHECK(stepLoad(Full.m_Map, W.m_Load).skew() < 1.1);
}

TEST_CASE("a slow rank gets less of the load") {
  Random Generator(2);
  World W{
      initialMap(largeGroup()), skewedLoad(largeGroup(), Generator), {}, {}};
  W.m_Slowness.m_Factors.assign(W.m_Map.m_Shape.m_Ranks, 1.0);
  W.m_Slowness.m_Factors[5] = 1.5;
  for (const PlacementPolicy Policy :
       {PlacementPolicy::Full, PlacementPolicy::Incremental}) {
    const ExpertMap Next = decide(W, Policy).m_Map;
    const StepLoad Before = stepLoad(W.m_Map, W.m_Load, W.m_Slowness);
    const StepLoad After = stepLoad(Next, W.m_Load, W.m_Slowness);
    CHECK(After.m_Slowest < Before.m_Slowest * 0.8);
    const std::vector<double> Tokens = rankLoads(Next, 0, W.m_Load);
    double Sum = 0;
    for (const double T : Tokens)
      Sum += T;
    CHECK(Tokens[5] < 0.9 * Sum / static_cast<double>(Tokens.size()));
  }
}

TEST_CASE("limits on what is new to a rank hold, and the map keeps its "
          "invariants") {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    World W = makeWorld(Seed);
    INFO("seed " << Seed);
    Random Generator(Seed + SeedCount);
    W.m_Options.m_MaxNewPerRankLayer =
        static_cast<std::uint32_t>(uniform(Generator, 1, 4));
    W.m_Options.m_MaxNewPerRank =
        static_cast<std::uint32_t>(uniform(Generator, 0, 5));
    const ExpertMap Next =
        placeIncrementally(W.m_Map, W.m_Load, W.m_Slowness, W.m_Options);
    REQUIRE(findFault(Next) == "");
    REQUIRE(stepLoad(Next, W.m_Load, W.m_Slowness).m_Slowest <=
            stepLoad(W.m_Map, W.m_Load, W.m_Slowness).m_Slowest * (1 + 1e-9));
    const GroupShape &Shape = W.m_Map.m_Shape;
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank) {
      std::uint32_t NewToRank = 0;
      for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer) {
        std::uint32_t NewToLayer = 0;
        const auto Old =
            W.m_Map.m_Slots.begin() +
            static_cast<std::ptrdiff_t>(slotIndex(Shape, Layer, Rank, 0));
        for (std::uint32_t Slot = 0; Slot < Shape.m_SlotsPerRank; ++Slot) {
          const ExpertId Expert =
              Next.m_Slots[slotIndex(Shape, Layer, Rank, Slot)];
          if (Expert != EmptySlot &&
              std::find(Old, Old + Shape.m_SlotsPerRank, Expert) ==
                  Old + Shape.m_SlotsPerRank)
            ++NewToLayer;
        }
        REQUIRE(NewToLayer <= W.m_Options.m_MaxNewPerRankLayer);
        NewToRank += NewToLayer;
      }
      if (W.m_Options.m_MaxNewPerRank > 0)
        REQUIRE(NewToRank <= W.m_Options.m_MaxNewPerRank);
    }
  }
}
