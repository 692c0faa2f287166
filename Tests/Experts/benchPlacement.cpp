// Benchmarks placement decisions on one core with google-benchmark; run with
// the tag [.bench].
#include "Experts/Placement.h"
#include "Loads.h"

#include <benchmark/benchmark.h>
#include <catch2/catch.hpp>

#include <array>

using namespace mangocart;
using namespace mangocart::test;

namespace {

enum class Start : std::uint8_t { Untouched, Balanced };

void decide(benchmark::State &State, PlacementPolicy Policy, Start From) {
  GroupShape Shape = largeGroup();
  Shape.m_Ranks = static_cast<std::uint32_t>(State.range(0));
  Shape.m_Experts = static_cast<std::uint32_t>(State.range(1));
  Shape.m_SlotsPerRank = Shape.m_Experts / Shape.m_Ranks + 1;
  Random Generator(11);
  ExpertMap Map = initialMap(Shape);
  ExpertLoad Load = skewedLoad(Shape, Generator);
  if (From == Start::Balanced) {
    Map = placeFully(Map, Load, {}, 0);
    for (double &Tokens : Load.m_Tokens)
      Tokens *= 1 + 0.1 * sampleNormal(Generator);
  }
  PlacementOptions Options;
  Options.m_Policy = Policy;
  for (auto Round : State) {
    (void)Round;
    benchmark::DoNotOptimize(place(Map, Load, {}, Options));
  }
  State.counters["map_bytes"] =
      static_cast<double>(Map.m_Slots.size() * sizeof(ExpertId));
  State.counters["load_bytes"] =
      static_cast<double>(Load.m_Tokens.size() * sizeof(double));
}

void addSizes(benchmark::internal::Benchmark *Bench) {
  Bench->Args({8, 64})->Args({32, 128})->Args({128, 256});
  Bench->Unit(benchmark::kMillisecond);
}

BENCHMARK_CAPTURE(decide, full_untouched, PlacementPolicy::Full,
                  Start::Untouched)
    ->Apply(addSizes);
BENCHMARK_CAPTURE(decide, incremental_untouched, PlacementPolicy::Incremental,
                  Start::Untouched)
    ->Apply(addSizes);
BENCHMARK_CAPTURE(decide, incremental_balanced, PlacementPolicy::Incremental,
                  Start::Balanced)
    ->Apply(addSizes);

} // namespace

TEST_CASE("time of a placement decision", "[.bench]") {
  std::array<char, 12> Name{"testExperts"};
  std::array<char *, 1> Arguments{Name.data()};
  int Count = 1;
  benchmark::Initialize(&Count, Arguments.data());
  benchmark::RunSpecifiedBenchmarks();
}
