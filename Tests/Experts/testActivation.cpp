// Runs seeded interleavings of map changes. The seed of a failure is printed;
// MANGOCART_SEED=<seed> runs it alone.
#include "ActivationSimulation.h"
#include "SeedRange.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr std::uint64_t SeedCount = 3000;

struct Totals {
  std::uint64_t m_Steps = 0;
  std::uint64_t m_Switches = 0;
  std::uint64_t m_AbortedChanges = 0;
  std::uint64_t m_Joins = 0;
  std::uint64_t m_HeldSteps = 0;
};

void runSeed(std::uint64_t Seed, Totals &Sum) {
  ActivationSimulation Simulation(Seed);
  std::string Failure;
  try {
    Simulation.run();
  } catch (const std::logic_error &Error) {
    Failure = Error.what();
  }
  INFO("replay: MANGOCART_SEED=" << Seed << " testExperts [interleaving]");
  REQUIRE(Failure == "");
  Sum.m_Steps += Simulation.stepsDone();
  Sum.m_Switches += Simulation.switches();
  Sum.m_AbortedChanges += Simulation.abortedChanges();
  Sum.m_Joins += Simulation.joins();
  Sum.m_HeldSteps += Simulation.heldSteps();
}

} // namespace

TEST_CASE("no interleaving uses two maps in one step", "[interleaving]") {
  Totals Sum;
  const SeedRange Seeds = seedsToRun(1, SeedCount);
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last; ++Seed)
    runSeed(Seed, Sum);
  if (Seeds.m_Chosen)
    return;
  CAPTURE(Sum.m_Steps, Sum.m_Switches, Sum.m_AbortedChanges, Sum.m_Joins,
          Sum.m_HeldSteps);
  // Guards that the seeds reach every outcome often.
  CHECK(Sum.m_Switches > SeedCount);
  CHECK(Sum.m_AbortedChanges > SeedCount);
  CHECK(Sum.m_Joins > 4 * SeedCount);
  CHECK(Sum.m_HeldSteps > SeedCount / 10);
}
