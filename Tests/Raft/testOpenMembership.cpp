// Open membership: joins, replacement of unresponsive voters, and the
// invariants under seeded faults.
#include "Raft/RaftHarness.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftPeers.h"
#include "SeedRange.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr RaftLimits SmallLimits{.m_MaxAppendBytes = 40,
                                 .m_MaxInFlightEntries = 6,
                                 .m_SnapshotChunkBytes = 10,
                                 .m_RetainedEntries = 2};
constexpr int FaultySteps = 1000;
constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t SeedCount = 2000;
// Time after an election that is long enough for the leader's election time not
// to count as recent contact with a member that joins.
constexpr Duration TimeInTerm = 60s;

OpenMembership threeVoters() { return {}; }

// Names of the voters in the leader's list; empty without a leader.
std::set<std::string> voterNames(RaftHarness &H) {
  std::set<std::string> Names;
  if (const HarnessNode *L = H.leader())
    for (const RaftMember &M : currentMembers(*L->m_State))
      if (M.m_Voter)
        Names.insert(M.m_Id.m_Name);
  return Names;
}

bool votes(RaftHarness &H, const HarnessNode &N) {
  const HarnessNode *L = H.leader();
  return L &&
         isVoter(currentMembers(*L->m_State), {N.m_Name, N.m_Disk.m_StorageId});
}

} // namespace

TEST_CASE("with open membership the invariants hold for every seed") {
  const SeedRange Seeds = seedsToRun(FirstSeed, SeedCount);
  for (std::uint64_t Seed = Seeds.m_First; Seed <= Seeds.m_Last; ++Seed) {
    INFO("again: MANGOCART_SEED=" << Seed
                                  << " build/dev/Tests/testRaft \"with open "
                                     "membership the invariants hold for every "
                                     "seed\"");
    RaftHarness H(Seed, 3, SmallLimits);
    H.openMembership(threeVoters(), 3);
    REQUIRE(H.recover());
    H.runFaults(FaultySteps);
    INFO(H.describe());
    REQUIRE(H.recover());
  }
}

TEST_CASE(
    "a node that loses its disk late in a leader's term regains its vote") {
  RaftHarness H(1, 3, SmallLimits);
  H.openMembership(threeVoters(), 3);
  REQUIRE(H.recover());
  H.runWithoutFaults(TimeInTerm);
  for (HarnessNode &N : H.nodes()) {
    INFO(N.m_Name);
    H.kill(N);
    H.loseDisk(N);
    H.restart(N);
    H.runWithoutFaults(5s);
    CHECK(votes(H, N));
    H.runWithoutFaults(TimeInTerm);
  }
}

TEST_CASE("a learner replaces a stopped voter") {
  RaftHarness H(2, 4, SmallLimits);
  H.openMembership(threeVoters(), 3);
  H.runWithoutFaults(TimeInTerm);
  // Three nodes are voters, one is a learner.
  const std::set<std::string> Before = voterNames(H);
  REQUIRE(Before.size() == 3);
  std::set<std::string> After;
  HarnessNode *Stopped = nullptr;
  for (HarnessNode &N : H.nodes()) {
    const bool Voted = Before.contains(N.m_Name);
    if (Voted && !Stopped && &N != H.leader())
      Stopped = &N;
    else
      After.insert(N.m_Name);
  }
  H.kill(*Stopped);
  H.runWithoutFaults(8s);
  CHECK(voterNames(H) == After);
  // It restarts with its old disk, and must remain without a vote.
  H.restart(*Stopped);
  H.runWithoutFaults(8s);
  CHECK(voterNames(H) == After);
}

TEST_CASE("a voter keeps its vote across a restart") {
  RaftHarness H(3, 4, SmallLimits);
  H.openMembership(threeVoters(), 3);
  H.runWithoutFaults(TimeInTerm);
  HarnessNode &Restarted = H.nodes()[2];
  const std::set<std::string> Before = voterNames(H);
  H.kill(Restarted);
  H.runWithoutFaults(1s);
  H.restart(Restarted);
  H.runWithoutFaults(8s);
  CHECK(voterNames(H) == Before);
}

TEST_CASE("nodes that were not known at the start bring the voters to five") {
  RaftHarness H(4, 6, SmallLimits);
  OpenMembership Open;
  Open.m_TargetVoters = 5;
  H.openMembership(Open, 3);
  H.runWithoutFaults(TimeInTerm);
  CHECK(voterNames(H).size() == 5);
}

TEST_CASE("parsing of endpoints") {
  struct Case {
    std::string m_Text;
    std::optional<PeerEndpoint> m_Expected;
  };
  const Case Cases[] = {
      {"10.1.0.4:7000", PeerEndpoint{"10.1.0.4", 7000}},
      {"10.1.0.4", std::nullopt},
      {"10.1.0.4:", std::nullopt},
      {"10.1.0.4:0", std::nullopt},
      {"10.1.0.4:70000", std::nullopt},
      {"10.1.0.4:70x", std::nullopt},
      {"host:7000", std::nullopt},
      {"", std::nullopt},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Text);
    CHECK(parseEndpoint(Each.m_Text) == Each.m_Expected);
    if (Each.m_Expected)
      CHECK(toString(*Each.m_Expected) == Each.m_Text);
  }
}
