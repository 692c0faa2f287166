// Seeded interleavings of callers, entries, agents, the log and operators. A
// failing seed is printed; MANGOCART_SEED=<seed> runs only that one.
#include "AtMostOnceSimulation.h"
#include "SeedRange.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr std::uint64_t SeedCount = 6000;
constexpr std::size_t StepsPerSeed = 400;

struct Totals {
  std::size_t m_Starts = 0;
  std::size_t m_Ran = 0;
  std::size_t m_NotRun = 0;
  std::size_t m_Unknown = 0;
};

void runSeed(std::uint64_t Seed, Totals &Sum) {
  AtMostOnceSimulation Simulation(Seed);
  std::string Violation;
  try {
    Simulation.run(StepsPerSeed);
  } catch (const std::logic_error &Error) {
    Violation = Error.what();
  }
  INFO("replay: MANGOCART_SEED=" << Seed << " testState [interleaving]");
  REQUIRE(Violation == "");
  Sum.m_Starts += Simulation.starts();
  Sum.m_Ran += Simulation.answered(schema::RAN);
  Sum.m_NotRun += Simulation.answered(schema::NOT_RUN);
  Sum.m_Unknown += Simulation.answered(schema::UNKNOWN);
}

} // namespace

TEST_CASE("no interleaving violates a guarantee", "[interleaving]") {
  Totals Sum;
  const SeedRange Seeds = seedsToRun(1, SeedCount);
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last; ++Seed)
    runSeed(Seed, Sum);
  if (Seeds.m_Chosen)
    return;
  // Checks that the seeds cover every kind of outcome often.
  CAPTURE(Sum.m_Starts, Sum.m_Ran, Sum.m_NotRun, Sum.m_Unknown);
  CHECK(Sum.m_Starts > SeedCount);
  CHECK(Sum.m_Ran > SeedCount);
  CHECK(Sum.m_NotRun > SeedCount);
  CHECK(Sum.m_Unknown > SeedCount);
}
