// Planned and unplanned replacements of voters: two disruptions of five
// machines, the second one after each step that follows the first one.
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
// Down time of a restart, shorter than the silence after which a voter is
// replaced.
constexpr Duration RestartTime = 500ms;
// docs/RAFT.md, "A voter that is killed": after that time the next voter may be
// lost.
constexpr Duration ReplacementWindow = 3500ms;
constexpr Duration SettlingTime = 10s;
// Messages and clock steps during which the second disruption is tried: more
// than one replacement takes.
constexpr int TriedSteps = 120;

enum class Disruption { Stop, StopAndRestart, Kill, Restart, LoseDisk };
constexpr Disruption AllDisruptions[] = {
    Disruption::Stop, Disruption::StopAndRestart, Disruption::Kill,
    Disruption::Restart, Disruption::LoseDisk};

// Whether a vote on the machine is lost, at least for a while.
bool losesVote(Disruption D) {
  return D == Disruption::Kill || D == Disruption::LoseDisk;
}

// Machines by their role before the first disruption.
enum class Place { Leader, Follower, OtherFollower, Learner, OtherLearner };

struct Pair {
  Place m_First;
  Place m_Second;
};

constexpr Pair Pairs[] = {
    {Place::Leader, Place::Follower},  {Place::Leader, Place::Learner},
    {Place::Follower, Place::Leader},  {Place::Follower, Place::OtherFollower},
    {Place::Follower, Place::Learner}, {Place::Learner, Place::Leader},
    {Place::Learner, Place::Follower}, {Place::Learner, Place::OtherLearner}};

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

void disrupt(RaftHarness &H, HarnessNode &N, Disruption D) {
  if (D == Disruption::Stop || D == Disruption::StopAndRestart)
    H.stop(N);
  else
    H.kill(N);
  if (D == Disruption::LoseDisk) {
    H.loseDisk(N);
    H.restart(N);
  }
}

bool restarts(Disruption D) {
  return D == Disruption::Restart || D == Disruption::StopAndRestart;
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

struct Case {
  Pair m_Places;
  Disruption m_First = Disruption::Stop;
  Disruption m_Second = Disruption::Stop;
  // Messages and clock steps between the two.
  int m_Steps = 0;
};

bool isSettledAfter(RaftHarness &H, const Case &Each) {
  startFive(H);
  HarnessNode &First = nodeAt(H, Each.m_Places.m_First);
  HarnessNode &Second = nodeAt(H, Each.m_Places.m_Second);
  disrupt(H, First, Each.m_First);
  if (losesVote(Each.m_First) && losesVote(Each.m_Second))
    H.runWithoutFaults(ReplacementWindow);
  for (int I = 0; I < Each.m_Steps; ++I)
    H.runOneStep();
  disrupt(H, Second, Each.m_Second);
  H.runWithoutFaults(RestartTime);
  for (auto [N, D] :
       {std::pair(&First, Each.m_First), std::pair(&Second, Each.m_Second)}) {
    if (!restarts(D))
      continue;
    // A graceful stop may not have ended yet.
    for (int I = 0; N->m_State && N->m_StopDeadline && I < 500; ++I)
      H.runOneStep();
    if (!N->m_State)
      H.restart(*N);
  }
  return settles(H);
}

} // namespace

TEST_CASE("the log survives two disruptions of five machines in each order") {
  for (const Pair &Places : Pairs)
    for (const Disruption First : AllDisruptions)
      for (const Disruption Second : AllDisruptions)
        for (int Steps = 0; Steps < TriedSteps; Steps += 3) {
          INFO("places " << static_cast<int>(Places.m_First) << ' '
                         << static_cast<int>(Places.m_Second) << " disruptions "
                         << static_cast<int>(First) << ' '
                         << static_cast<int>(Second) << " steps " << Steps);
          RaftHarness H(1, Machines, Limits);
          const bool IsSettled =
              isSettledAfter(H, {Places, First, Second, Steps});
          INFO(H.describe());
          CHECK(IsSettled);
        }
}

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

// Guards against the loss of an acknowledged configuration with the disk of the
// voter that has just acknowledged it, after a planned stop of another one.
TEST_CASE("a disk lost after a planned stop of a voter loses no command") {
  for (const Place Lost : {Place::Leader, Place::OtherFollower}) {
    RaftHarness H(1, Machines, Limits);
    startFive(H);
    HarnessNode &Stopped = nodeAt(H, Place::Follower);
    HarnessNode &LosesDisk = nodeAt(H, Lost);
    // Only one successor.
    H.kill(nodeAt(H, Place::OtherLearner));
    H.stop(Stopped);
    H.runWithoutFaults(2s);
    CHECK_FALSE(Stopped.m_State);
    H.propose(*H.leader(), 1);
    H.runWithoutFaults(100ms);
    H.loseDisk(LosesDisk);
    H.runWithoutFaults(1s);
    H.restart(LosesDisk);
    INFO(H.describe());
    CHECK(settles(H));
  }
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

TEST_CASE("a voter that is killed may be followed by another one after the "
          "replacement window") {
  for (const Place First : {Place::Leader, Place::Follower}) {
    RaftHarness H(1, Machines, Limits);
    startFive(H);
    HarnessNode &Other = nodeAt(H, Place::OtherFollower);
    H.kill(nodeAt(H, First));
    H.runWithoutFaults(ReplacementWindow);
    H.kill(Other);
    INFO(H.describe());
    CHECK(settles(H));
  }
}

// Guards against four listed voters of which two run: the killed one and the
// learner that was promoted in its place are gone.
TEST_CASE("a learner lost while it replaces a killed voter leaves a majority") {
  constexpr Duration BeforeReplacement = 2800ms;
  for (int Steps = 0; Steps < TriedSteps; ++Steps) {
    INFO("steps " << Steps);
    RaftHarness H(1, Machines, Limits);
    startFive(H);
    HarnessNode &Learner = nodeAt(H, Place::Learner);
    H.kill(nodeAt(H, Place::Follower));
    H.runWithoutFaults(BeforeReplacement);
    for (int I = 0; I < Steps; ++I)
      H.runOneStep();
    H.kill(Learner);
    INFO(H.describe());
    CHECK(settles(H));
  }
}
