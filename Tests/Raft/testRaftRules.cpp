// Individual rules of the Raft algorithm that random faults rarely exercise.
#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftNode.h"
#include "Raft/RaftSteps.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const MemberId A{"a", "1"};
const MemberId B{"b", "2"};
const MemberId C{"c", "3"};

EntryPtr entry(LogIndex Index, Term EntryTerm,
               EntryKind Kind = EntryKind::Command, std::string Payload = {}) {
  return std::make_shared<const RaftEntry>(
      RaftEntry{EntryTerm, Index, Kind, std::move(Payload)});
}

// Member a, with the given members (by default a, b and c) and a log with
// entries of the given terms.
struct Member {
  explicit Member(const std::vector<Term> &Terms,
                  const RaftMembers &Members = {{A, true},
                                                {B, true},
                                                {C, true}})
      : m_Random(1) {
    RecoveredState Disk;
    Disk.m_HardState.m_Term = Terms.empty() ? 1 : Terms.back();
    Disk.m_Entries.push_back(
        entry(1, 1, EntryKind::Members, encodeMembers(Members)));
    for (const Term T : Terms)
      Disk.m_Entries.push_back(entry(Disk.m_Entries.size() + 1, T));
    RaftConfig Config;
    Config.m_Self = A;
    Config.m_Voters = {"a", "b", "c"};
    m_State = makeRaftState(Config, Disk, m_Now, m_Random);
  }

  std::vector<RaftEffect> handle(const RaftEvent &E) {
    return step(m_State, E, m_Now, m_Random);
  }
  std::vector<RaftEffect> receive(const MemberId &From, Term EntryTerm,
                                  decltype(RaftMessage::m_Body) Body) {
    return handle(Receive{{From, A, EntryTerm, std::move(Body)}});
  }
  Term term() const { return m_State.m_HardState.m_Term; }

  void lead() {
    m_Now += 1s;
    handle(Tick{});
    receive(B, term() + 1, VoteReply{true, true});
    receive(B, term(), VoteReply{true, false});
    REQUIRE(m_State.m_Role == RaftRole::Leader);
  }
  // The member acknowledges all entries up to the index.
  void acknowledge(const MemberId &From, LogIndex Match) {
    receive(From, term(), AppendReply{true, Match, 0, m_Now});
  }

  TimePoint m_Now{1000s};
  Random m_Random;
  RaftState m_State;
};

template <class T> const T *find(const std::vector<RaftEffect> &Effects) {
  for (const RaftEffect &E : Effects)
    if (const T *Found = std::get_if<T>(&E))
      return Found;
  return nullptr;
}

} // namespace

TEST_CASE(
    "an entry of an earlier term is not committed by a majority of copies") {
  Member M({2, 3});
  M.lead();
  M.acknowledge(B, 3);
  CHECK(M.m_State.m_Commit == 0);
  M.acknowledge(B, 4);
  CHECK(M.m_State.m_Commit == 4);
}

TEST_CASE("refused membership changes") {
  struct Row {
    std::string m_Name;
    bool m_OwnTermCommitted;
    RaftMembers m_First;
    RaftMembers m_Members;
  };
  const RaftMembers WithoutC = {{A, true}, {B, true}};
  const std::vector<Row> Rows = {
      {"no entry of the leader's own term is committed", false, {}, WithoutC},
      {"an earlier change is uncommitted", true, WithoutC, {{A, true}}},
      {"two voters removed", true, {}, {{A, true}}},
      {"a voter replaced in one change",
       true,
       {},
       {{A, true}, {B, true}, {{"c", "4"}, true}}},
      {"two members with the same name",
       true,
       {},
       {{A, true}, {B, true}, {C, true}, {{"c", "4"}, false}}},
      {"a new voter with an empty log",
       true,
       {},
       {{A, true}, {B, true}, {C, true}, {{"d", "5"}, true}}},
      {"a list whose majority is unresponsive",
       true,
       {},
       {{A, true}, {C, true}}},
      {"an empty list", true, {}, {}},
  };
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    Member M({1});
    M.lead();
    if (R.m_OwnTermCommitted)
      M.acknowledge(B, 3);
    else
      M.acknowledge(B, 2);
    if (!R.m_First.empty())
      CHECK(find<PersistLog>(M.handle(ProposeMembers{R.m_First})));
    CHECK_FALSE(find<PersistLog>(M.handle(ProposeMembers{R.m_Members})));
  }
}

// The effective list is already committed, so only the rule about the leader's
// own term prevents the change: a change by an earlier leader that is unknown
// here could still be committed and conflict with it.
TEST_CASE("a new leader changes members only after an entry of its own term "
          "was committed") {
  const RaftMembers WithoutC = {{A, true}, {B, true}};
  Member M({1});
  M.receive(B, 1, AppendRequest{2, 1, {}, 2, M.m_Now});
  REQUIRE(M.m_State.m_Commit == 2);
  M.lead();
  M.acknowledge(B, 2);
  REQUIRE(M.m_State.m_Commit < M.m_State.m_TermStartIndex);
  CHECK_FALSE(find<PersistLog>(M.handle(ProposeMembers{WithoutC})));
  M.acknowledge(B, 3);
  CHECK(find<PersistLog>(M.handle(ProposeMembers{WithoutC})));
}

TEST_CASE(
    "messages of older terms change nothing and are answered at most with "
    "the newer term") {
  struct Row {
    std::string m_Name;
    bool m_IsLeader;
    decltype(RaftMessage::m_Body) m_Body;
    bool m_Answered;
  };
  const TimePoint Later(2000s);
  const std::vector<Row> Rows = {
      {"entries", false, AppendRequest{2, 1, {entry(3, 1)}, 3, Later}, true},
      {"a heartbeat", false, AppendRequest{2, 1, {}, 2, Later}, true},
      {"a snapshot", false,
       SnapshotChunk{9, 1, {{A, true}, {B, true}}, 0, "state", true, Later},
       true},
      {"a reply to an earlier leadership", true, AppendReply{true, 3, 0, Later},
       false},
      {"a rejection to an earlier leadership", true,
       AppendReply{false, 0, 1, Later}, false},
      {"a snapshot reply to an earlier leadership", true,
       SnapshotReply{9, 0, true, Later}, false},
  };
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    Member M({1});
    if (R.m_IsLeader)
      M.lead();
    else
      M.receive(C, 5, AppendRequest{2, 1, {}, 0, M.m_Now});
    M.m_Now += 100ms;
    const RaftState Before = M.m_State;
    const auto Effects = M.receive(B, Before.m_HardState.m_Term - 1, R.m_Body);
    CHECK(Effects.size() == (R.m_Answered ? 1 : 0));
    if (const Send *Sent = find<Send>(Effects)) {
      CHECK(Sent->m_Message.m_Term == M.term());
      CHECK_FALSE(std::get<AppendReply>(Sent->m_Message.m_Body).m_Success);
    }
    CHECK(M.m_State.m_HardState == Before.m_HardState);
    CHECK(M.m_State.m_Log.lastIndex() == Before.m_Log.lastIndex());
    CHECK(M.m_State.m_Commit == Before.m_Commit);
    CHECK(M.m_State.m_Leader == Before.m_Leader);
    CHECK(M.m_State.m_LeaderContact == Before.m_LeaderContact);
    CHECK(leaseEnd(M.m_State, M.m_Now) == leaseEnd(Before, M.m_Now));
    for (const auto &[Id, P] : Before.m_Progress)
      CHECK(M.m_State.m_Progress.at(Id).m_Next == P.m_Next);
  }
}

TEST_CASE("a leader without replies steps down after its lease has expired") {
  Member M({1});
  M.lead();
  M.acknowledge(B, 3);
  const RaftTiming &Timing = M.m_State.m_Config.m_Timing;
  CHECK(leaseHeld(M.m_State, M.m_Now));
  CHECK_FALSE(leaseHeld(M.m_State, M.m_Now + Timing.m_LeaseDuration));
  M.m_Now += Timing.m_ElectionTimeoutMax;
  M.handle(Tick{});
  CHECK(M.m_State.m_Role == RaftRole::Leader);
  M.m_Now += 1ms;
  M.handle(Tick{});
  CHECK(M.m_State.m_Role == RaftRole::Follower);
}

TEST_CASE("a partitioned member does not increase its term") {
  Member M({1});
  for (int I = 0; I < 10; ++I) {
    M.m_Now += 1s;
    M.handle(Tick{});
  }
  CHECK(M.m_State.m_Role == RaftRole::PreCandidate);
  CHECK(M.term() == 1);
}

TEST_CASE("a vote is synced before it is sent, and a leader's entries are sent "
          "before its own sync") {
  Member M({1});
  M.m_Now += 1s;
  const auto Vote = M.receive(B, 2, VoteRequest{9, 1, false});
  REQUIRE(Vote.size() >= 2);
  CHECK(std::holds_alternative<PersistLog>(Vote[0]));
  CHECK(std::holds_alternative<Send>(Vote[1]));

  Member L({1});
  L.lead();
  L.acknowledge(B, 3);
  L.acknowledge(C, 3);
  const auto Proposed = L.handle(Propose{{{1, "command"}}});
  REQUIRE(Proposed.size() >= 3);
  CHECK(std::holds_alternative<Send>(Proposed[0]));
  CHECK(find<PersistLog>(Proposed));
}

TEST_CASE(
    "a sole voter sends a commit index to a learner only after its own sync") {
  Member M({1}, {{A, true}, {B, false}});
  M.m_State.m_Config.m_Voters = {"a"};
  M.m_Now += 1s;
  M.handle(Tick{});
  REQUIRE(M.m_State.m_Role == RaftRole::Leader);
  M.acknowledge(B, 3);
  const auto Effects = M.handle(Propose{{{1, "command"}}});
  bool Synced = false;
  for (const RaftEffect &E : Effects) {
    Synced |= std::holds_alternative<PersistLog>(E);
    if (const auto *Sent = std::get_if<Send>(&E))
      CHECK(
          (Synced ||
           std::get<AppendRequest>(Sent->m_Message.m_Body).m_CommitIndex < 4));
  }
  CHECK(M.m_State.m_Commit == 4);
}

// No event sends a message between the commit of an own entry and its sync:
// every path sends first. So the rule is tested on sendMessage() itself.
TEST_CASE("a message sent after an own entry was committed in the same step "
          "waits for its sync") {
  Member M({1}, {{A, true}, {B, false}});
  M.m_State.m_Config.m_Voters = {"a"};
  M.m_Now += 1s;
  M.handle(Tick{});
  REQUIRE(M.m_State.m_Role == RaftRole::Leader);
  StepContext Step{M.m_State, M.m_Now, M.m_Random};
  appendEntry(Step, entry(4, M.term()));
  sendBody(Step, B, AppendRequest{3, M.term(), {}, 3, M.m_Now});
  advanceCommit(Step, 4);
  sendBody(Step, B, AppendRequest{4, M.term(), {}, 4, M.m_Now});
  const auto Effects = finishStep(Step);
  REQUIRE(Effects.size() == 4);
  const auto CommitOf = [&](std::size_t I) {
    const auto &Sent = std::get<Send>(Effects[I]).m_Message;
    return std::get<AppendRequest>(Sent.m_Body).m_CommitIndex;
  };
  CHECK(CommitOf(0) == 3);
  CHECK(std::holds_alternative<PersistLog>(Effects[1]));
  CHECK(CommitOf(2) == 4);
  CHECK(std::holds_alternative<Apply>(Effects[3]));
}

TEST_CASE("refused proposals append nothing") {
  struct Row {
    std::string m_Name;
    std::function<void(Member &)> m_Before;
    RefusalReason m_Expected;
  };
  const std::vector<Row> Rows = {
      {"no leader", [](Member &) {}, RefusalReason::NotLeader},
      {"a leader without a lease", [](Member &M) { M.lead(); },
       RefusalReason::NoQuorum},
      {"an expired lease",
       [](Member &M) {
         M.lead();
         M.acknowledge(B, 3);
         M.m_Now += 500ms;
       },
       RefusalReason::NoQuorum},
      {"fewer voters than a majority of the intended ones",
       [](Member &M) {
         M.lead();
         M.acknowledge(B, 3);
         M.m_State.m_Config.m_Voters = {"a", "b", "c", "d", "e", "f"};
       },
       RefusalReason::NoQuorum},
  };
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    Member M({1});
    R.m_Before(M);
    const auto Effects = M.handle(Propose{{{7, "command"}}});
    REQUIRE(find<ProposalRefused>(Effects));
    CHECK(find<ProposalRefused>(Effects)->m_Reason == R.m_Expected);
    CHECK_FALSE(find<PersistLog>(Effects));
  }
}

TEST_CASE("votes that are not granted") {
  struct Row {
    std::string m_Name;
    Duration m_Since;
    RaftMembers m_Members;
    VoteRequest m_Request;
  };
  const RaftMembers All = {{A, true}, {B, true}, {C, true}};
  const std::vector<Row> Rows = {
      {"just after the start", 100ms, All, {9, 9, false}},
      {"a shorter log", 1s, All, {1, 1, false}},
      {"an older last term", 1s, All, {9, 0, false}},
      {"own storage id not in the list",
       1s,
       {{{"a", "0"}, true}, {B, true}},
       {9, 9, false}},
  };
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    Member M({1}, R.m_Members);
    M.m_Now += R.m_Since;
    const auto Effects = M.receive(B, 5, R.m_Request);
    const Send *Sent = find<Send>(Effects);
    CHECK((!Sent || !std::get<VoteReply>(Sent->m_Message.m_Body).m_Granted));
  }
  Member M({1}, All);
  M.m_Now += 1s;
  const auto Given = M.receive(B, 5, VoteRequest{9, 9, false});
  REQUIRE(find<Send>(Given));
  CHECK(std::get<VoteReply>(find<Send>(Given)->m_Message.m_Body).m_Granted);
}

TEST_CASE("a leader with a lease grants no vote") {
  Member M({1});
  M.lead();
  M.acknowledge(B, 3);
  const Term Before = M.term();
  CHECK(M.receive(C, Before + 1, VoteRequest{9, 9, false}).empty());
  CHECK(leaseHeld(M.m_State, M.m_Now));
  M.m_Now += M.m_State.m_Config.m_Timing.m_LeaseDuration;
  M.receive(C, Before + 1, VoteRequest{9, 9, false});
  CHECK(M.m_State.m_Role == RaftRole::Follower);
}

TEST_CASE("a delayed join request does not replace a responsive member") {
  Member M({1});
  M.lead();
  M.acknowledge(B, 3);
  M.acknowledge(C, 3);
  const RaftMessage Late{{"c", "0"}, {"a", ""}, 0, JoinRequest{}};
  CHECK_FALSE(find<PersistLog>(M.handle(Receive{Late})));
  M.m_Now += 900ms;
  M.acknowledge(B, 3);
  M.m_Now += 900ms;
  M.acknowledge(B, 3);
  CHECK(find<PersistLog>(M.handle(Receive{Late})));
  CHECK(isVoter(currentMembers(M.m_State), C) == false);
}

TEST_CASE("a snapshot that becomes ready later is the one of its index") {
  struct Row {
    std::string m_Name;
    std::optional<LogIndex> m_Installed;
    bool m_IsSaved;
  };
  const std::vector<Row> Rows = {
      {"entries were committed since", {}, true},
      {"a later snapshot was installed", 9, false},
  };
  const RaftMembers Old = {{A, true}, {B, true}, {C, true}};
  const RaftMembers New = {{A, true}, {B, true}};
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    Member M({1, 1}, Old);
    M.receive(B, 1, AppendRequest{3, 1, {}, 3, M.m_Now});
    RaftSnapshot Taken = snapshotMetadata(M.m_State, 3);
    Taken.m_Data = "state";
    const SaveSnapshot Expected{
        std::make_shared<const RaftSnapshot>(RaftSnapshot{3, 1, Old, "state"}),
        {entry(4, 1, EntryKind::Members, encodeMembers(New)), entry(5, 1)}};
    CHECK(Taken.m_LastTerm == 1);
    M.receive(B, 1, AppendRequest{3, 1, Expected.m_Entries, 5, M.m_Now});
    if (R.m_Installed)
      M.receive(B, 1,
                SnapshotChunk{*R.m_Installed, 1, New, 0, "x", true, M.m_Now});
    const LogIndex Commit = M.m_State.m_Commit;
    const auto Effects = M.handle(
        SnapshotTaken{std::make_shared<const RaftSnapshot>(std::move(Taken))});
    const SaveSnapshot *Saved = find<SaveSnapshot>(Effects);
    CHECK((Saved != nullptr) == R.m_IsSaved);
    if (Saved) {
      CHECK(*Saved->m_Snapshot == *Expected.m_Snapshot);
      REQUIRE(Saved->m_Entries.size() == 2);
      CHECK(*Saved->m_Entries[0] == *Expected.m_Entries[0]);
      CHECK(*Saved->m_Entries[1] == *Expected.m_Entries[1]);
    }
    CHECK(M.m_State.m_Commit == Commit);
    CHECK(currentMembers(M.m_State) == New);
    // A second time it is not newer than the current snapshot.
    CHECK_FALSE(
        find<SaveSnapshot>(M.handle(SnapshotTaken{M.m_State.m_Snapshot})));
  }
}
