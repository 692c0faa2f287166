// Planned stops of voters, beside machines that stand by as learners.
#include "Raft/RaftHarness.h"
#include "Raft/RaftMembership.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr RaftLimits Limits{.m_MaxAppendBytes = 40,
                            .m_MaxInFlightEntries = 6,
                            .m_SnapshotChunkBytes = 10,
                            .m_RetainedEntries = 2};
constexpr std::size_t Machines = 5;
constexpr std::size_t KnownAtStart = 3;
constexpr Duration JoinTime = 20s;
constexpr Duration SettlingTime = 10s;
// Machines by their role before the first disruption.
enum class Place { Leader, Follower, OtherFollower, Learner, OtherLearner };

HarnessNode &nodeAt(RaftHarness &H, Place Wanted) {
  HarnessNode *Leader = H.leader();
  REQUIRE(Leader);
  std::vector<HarnessNode *> Followers;
  std::vector<HarnessNode *> Learners;
  for (HarnessNode &N : H.nodes())
    if (&N != Leader)
      (isVoter(currentMembers(*Leader->m_State),
               {N.m_Name, N.m_Disk.m_StorageId})
           ? Followers
           : Learners)
          .push_back(&N);
  REQUIRE(Followers.size() == 2);
  REQUIRE(Learners.size() == 2);
  switch (Wanted) {
  case Place::Leader:
    return *Leader;
  case Place::Follower:
    return *Followers.front();
  case Place::OtherFollower:
    return *Followers.back();
  case Place::Learner:
    return *Learners.front();
  case Place::OtherLearner:
    return *Learners.back();
  }
  return *Leader;
}

std::size_t runningCount(RaftHarness &H) {
  return static_cast<std::size_t>(
      std::count_if(H.nodes().begin(), H.nodes().end(),
                    [](const HarnessNode &N) { return N.m_State; }));
}

// The voters of the leader's list that run under the listed storage id, and the
// number of voters that it lists.
struct VoterCounts {
  std::size_t m_Running = 0;
  std::size_t m_Listed = 0;
};

VoterCounts countVoters(RaftHarness &H) {
  const HarnessNode *Leader = H.leader();
  REQUIRE(Leader);
  const RaftMembers &Members = currentMembers(*Leader->m_State);
  VoterCounts Counts;
  Counts.m_Listed = voterCount(Members);
  for (const HarnessNode &N : H.nodes())
    if (N.m_State && isVoter(Members, {N.m_Name, N.m_Disk.m_StorageId}))
      ++Counts.m_Running;
  return Counts;
}

void startFive(RaftHarness &H) {
  H.openMembership({}, KnownAtStart);
  H.runWithoutFaults(JoinTime);
  REQUIRE(H.leader());
  H.propose(*H.leader(), 3);
  H.runWithoutFaults(1s);
}

// Whether the log settles on voters that run and commits a new command. The
// harness checks at each election that the leader has all committed commands.
bool settles(RaftHarness &H) {
  H.runWithoutFaults(SettlingTime);
  if (!H.leader())
    return false;
  const VoterCounts Voters = countVoters(H);
  if (Voters.m_Running * 2 <= Voters.m_Listed)
    return false;
  // While enough machines run, no vote remains on one that doesn't.
  if (runningCount(H) >= KnownAtStart &&
      (Voters.m_Listed < KnownAtStart || Voters.m_Running != Voters.m_Listed))
    return false;
  const std::uint64_t Before = H.counts().m_Committed;
  H.propose(*H.leader(), 1);
  H.runWithoutFaults(1s);
  return H.counts().m_Committed > Before;
}

} // namespace

// Guards against an acknowledged configuration that can't be read any more
// because the log still counts on a voter that was stopped as planned.
TEST_CASE("two planned stops of voters two seconds apart leave a majority") {
  RaftHarness H(1, Machines, Limits);
  startFive(H);
  HarnessNode &First = nodeAt(H, Place::Follower);
  HarnessNode &Second = nodeAt(H, Place::OtherFollower);
  H.stop(First);
  H.runWithoutFaults(2s);
  CHECK_FALSE(First.m_State);
  H.stop(Second);
  H.runWithoutFaults(2s);
  CHECK_FALSE(Second.m_State);
  INFO(H.describe());
  CHECK(settles(H));
}

TEST_CASE("a voter stops at once where no learner can replace it") {
  constexpr Duration HeartbeatInterval = RaftTiming().m_HeartbeatInterval;
  SECTION("no learner is listed") {
    RaftHarness H(1, KnownAtStart, Limits);
    H.openMembership({}, KnownAtStart);
    H.runWithoutFaults(JoinTime);
    HarnessNode &Stopped = *H.leader();
    H.stop(Stopped);
    H.runOneStep();
    CHECK_FALSE(Stopped.m_State);
  }
  SECTION("the learners were lost before") {
    RaftHarness H(1, Machines, Limits);
    startFive(H);
    H.kill(nodeAt(H, Place::Learner));
    H.kill(nodeAt(H, Place::OtherLearner));
    H.runWithoutFaults(1s);
    HarnessNode &Stopped = nodeAt(H, Place::Follower);
    H.stop(Stopped);
    // One heartbeat tells the leader of the stop, the next one has its answer.
    H.runWithoutFaults(2 * HeartbeatInterval + 100ms);
    CHECK_FALSE(Stopped.m_State);
    CHECK(countVoters(H).m_Listed == KnownAtStart);
  }
}

TEST_CASE("machines that all stop at about the same time keep their list") {
  for (int Steps = 0; Steps < 10; ++Steps) {
    INFO("steps " << Steps);
    RaftHarness H(1, Machines, Limits);
    startFive(H);
    const RaftMembers Before = currentMembers(*H.leader()->m_State);
    for (HarnessNode &N : H.nodes()) {
      H.stop(N);
      for (int I = 0; I < Steps; ++I)
        H.runOneStep();
    }
    H.runWithoutFaults(4s);
    CHECK(runningCount(H) == 0);
    for (HarnessNode &N : H.nodes())
      H.restart(N);
    CHECK(settles(H));
    CHECK(currentMembers(*H.leader()->m_State) == Before);
  }
}
