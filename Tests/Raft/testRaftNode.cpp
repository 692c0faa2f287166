// The Raft algorithm under seeded random faults.
#include "Raft/RaftHarness.h"
#include "SeedRange.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t SeedCount = 5000;
constexpr std::uint64_t DelayedSnapshotSeedCount = 1000;
// Small, so that short runs reach the limits.
constexpr RaftLimits SmallLimits{.m_MaxAppendBytes = 40,
                                 .m_MaxInFlightEntries = 6,
                                 .m_SnapshotChunkBytes = 10,
                                 .m_RetainedEntries = 2};
constexpr int FaultySteps = 1000;

// Returns a description of the failure, or an empty text if all invariants
// held.
std::string runSeed(std::uint64_t Seed, HarnessCounts &Total,
                    bool DelaySnapshots = false) {
  try {
    RaftHarness H(Seed, Seed % 5 == 0 ? 5 : 3, SmallLimits);
    if (DelaySnapshots)
      H.delaySnapshots();
    if (Seed % 4 != 0 && !H.recover())
      return "no quorum before the faults";
    H.runFaults(FaultySteps);
    Total.m_DisksLost += H.counts().m_DisksLost;
    Total.m_Elections += H.counts().m_Elections;
    Total.m_Committed += H.counts().m_Committed;
    return H.recover() ? std::string()
                       : "no recovery after the faults\n" + H.describe();
  } catch (const std::exception &Broken) {
    return Broken.what();
  }
}

} // namespace

TEST_CASE("the invariants hold for every seed") {
  // MANGOCART_SEED=<seed> runs a failing seed again.
  const SeedRange Seeds = seedsToRun(FirstSeed, SeedCount);
  int Failed = 0;
  HarnessCounts Total;
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last && Failed < 5;
       ++Seed) {
    const std::string Result = runSeed(Seed, Total);
    if (Result.empty())
      continue;
    ++Failed;
    std::cout << "seed " << Seed << ": " << Result
              << "\n  again: MANGOCART_SEED=" << Seed
              << " build/dev/Tests/testRaft \"the invariants hold for every "
                 "seed\"\n";
  }
  CHECK(Failed == 0);
  if (Seeds.m_Chosen)
    return;
  // The members must make progress in spite of the faults.
  INFO("elections " << Total.m_Elections << ", committed " << Total.m_Committed
                    << ", disks lost " << Total.m_DisksLost);
  CHECK(Total.m_Elections >= 2 * SeedCount);
  CHECK(Total.m_Committed >= 10 * SeedCount);
}

TEST_CASE("the invariants hold with delayed snapshots") {
  const SeedRange Seeds = seedsToRun(FirstSeed, DelayedSnapshotSeedCount);
  HarnessCounts Total;
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last; ++Seed) {
    INFO("again: MANGOCART_SEED=" << Seed
                                  << " build/dev/Tests/testRaft \"the "
                                     "invariants hold with delayed "
                                     "snapshots\"");
    CHECK(runSeed(Seed, Total, true).empty());
  }
}
