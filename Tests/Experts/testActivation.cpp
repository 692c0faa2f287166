// Seeded interleavings of changes of the map. A failing seed is printed;
// MANGOCART_SEED=<seed> runs that one alone.
#include "ActivationWorld.h"
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
  std::uint64_t m_CalledOff = 0;
  std::uint64_t m_Joins = 0;
  std::uint64_t m_HeldSteps = 0;
};

void runSeed(std::uint64_t Seed, Totals &Sum) {
  ActivationWorld World(Seed);
  std::string Broken;
  try {
    World.run();
  } catch (const std::logic_error &Error) {
    Broken = Error.what();
  }
  INFO("replay: MANGOCART_SEED=" << Seed << " testExperts [interleaving]");
  REQUIRE(Broken == "");
  Sum.m_Steps += World.stepsDone();
  Sum.m_Switches += World.switches();
  Sum.m_CalledOff += World.calledOff();
  Sum.m_Joins += World.joins();
  Sum.m_HeldSteps += World.heldSteps();
}

} // namespace

TEST_CASE("no interleaving brings two maps into a step", "[interleaving]") {
  Totals Sum;
  const SeedRange Seeds = seedsToRun(1, SeedCount);
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last; ++Seed)
    runSeed(Seed, Sum);
  if (Seeds.m_Chosen)
    return;
  CAPTURE(Sum.m_Steps, Sum.m_Switches, Sum.m_CalledOff, Sum.m_Joins,
          Sum.m_HeldSteps);
  // The seeds reach every kind of end often.
  CHECK(Sum.m_Switches > SeedCount);
  CHECK(Sum.m_CalledOff > SeedCount);
  CHECK(Sum.m_Joins > 4 * SeedCount);
  CHECK(Sum.m_HeldSteps > SeedCount / 10);
}
