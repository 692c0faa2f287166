// Initial state, dispatch of events, functions shared by the parts of a step,
// and the order of effects.
#include "Raft/RaftNode.h"

#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftSteps.h"

#include <algorithm>
#include <utility>

namespace mangocart {

namespace {

void recordMembers(RaftState &S, const RaftEntry &Entry) {
  if (Entry.m_Kind != EntryKind::Members)
    return;
  if (std::optional<RaftMembers> Members = decodeMembers(Entry.m_Payload))
    S.m_Members.push_back({Entry.m_Index, std::move(*Members)});
}

TimePoint randomDeadline(const RaftTiming &Timing, TimePoint Now,
                         Random &Generator) {
  const auto Low =
      static_cast<std::uint64_t>(Timing.m_ElectionTimeoutMin.count());
  const auto High =
      static_cast<std::uint64_t>(Timing.m_ElectionTimeoutMax.count());
  return Now +
         Duration(static_cast<std::int64_t>(uniform(Generator, Low, High)));
}

// Replies to a leader of an older term, so that it steps down.
void rejectStaleLeader(StepContext &C, const RaftMessage &M) {
  if (std::holds_alternative<AppendRequest>(M.m_Body) ||
      std::holds_alternative<SnapshotChunk>(M.m_Body))
    sendBody(C, M.m_From, AppendReply{});
}

void handleBody(StepContext &C, const RaftMessage &M) {
  if (const auto *Request = std::get_if<AppendRequest>(&M.m_Body))
    handleAppendRequest(C, M, *Request);
  else if (const auto *Reply = std::get_if<AppendReply>(&M.m_Body))
    handleAppendReply(C, M, *Reply);
  else if (const auto *Chunk = std::get_if<SnapshotChunk>(&M.m_Body))
    handleSnapshotChunk(C, M, *Chunk);
  else if (const auto *Done = std::get_if<SnapshotReply>(&M.m_Body))
    handleSnapshotReply(C, M, *Done);
}

bool isReply(const RaftMessage &M) {
  return std::holds_alternative<VoteReply>(M.m_Body) ||
         std::holds_alternative<AppendReply>(M.m_Body) ||
         std::holds_alternative<SnapshotReply>(M.m_Body);
}

void handleReceive(StepContext &C, const RaftMessage &M) {
  RaftState &S = C.m_State;
  if (std::holds_alternative<JoinRequest>(M.m_Body)) {
    handleJoinRequest(C, M);
    return;
  }
  if (M.m_To != S.m_Config.m_Self)
    return;
  if (const auto *Joined = std::get_if<JoinReply>(&M.m_Body)) {
    handleJoinReply(C, M, *Joined);
    return;
  }
  if (isReply(M) && !isMember(currentMembers(S), M.m_From))
    return;
  if (const auto *Request = std::get_if<VoteRequest>(&M.m_Body)) {
    handleVoteRequest(C, M, *Request);
    return;
  }
  if (const auto *Reply = std::get_if<VoteReply>(&M.m_Body)) {
    handleVoteReply(C, M, *Reply);
    return;
  }
  if (M.m_Term < S.m_HardState.m_Term) {
    rejectStaleLeader(C, M);
    return;
  }
  if (M.m_Term > S.m_HardState.m_Term)
    becomeFollower(C, M.m_Term, {});
  handleBody(C, M);
}

void handleTick(StepContext &C) {
  if (C.m_State.m_Role == RaftRole::Leader)
    leaderTick(C);
  else if (C.m_Now >= C.m_State.m_ElectionDeadline)
    onElectionTimeout(C);
}

bool isStorageEffect(const RaftEffect &E) {
  return std::holds_alternative<PersistLog>(E) ||
         std::holds_alternative<SaveSnapshot>(E);
}

} // namespace

// ---- Shared by the parts of a step.

void sendMessage(StepContext &C, const MemberId &To, RaftMessage &&Message) {
  Message.m_From = C.m_State.m_Config.m_Self;
  Message.m_To = To;
  Message.m_Stopping = C.m_State.m_StoppingSince.has_value();
  // A message that depends on an unsynced term or vote, or that carries a
  // commit index counting this member's own unsynced entries, must not be sent
  // before the sync.
  const bool BeforeSync = C.m_State.m_Role == RaftRole::Leader &&
                          !C.m_Persist.m_HardState && C.m_Applied.empty();
  (BeforeSync ? C.m_SendsBeforeSync : C.m_SendsAfterSync)
      .push_back(std::move(Message));
}

void setRole(StepContext &C, RaftRole Role) {
  RaftState &S = C.m_State;
  if (S.m_Role == Role)
    return;
  S.m_Role = Role;
  C.m_RoleChanged = RoleChanged{Role, S.m_HardState.m_Term};
}

void setHardState(StepContext &C, RaftHardState State) {
  C.m_State.m_HardState = State;
  C.m_Persist.m_HardState = std::move(State);
}

void resetElectionDeadline(StepContext &C) {
  C.m_State.m_ElectionDeadline =
      randomDeadline(C.m_State.m_Config.m_Timing, C.m_Now, C.m_Generator);
}

void becomeFollower(StepContext &C, Term NewTerm, const std::string &Leader) {
  RaftState &S = C.m_State;
  if (NewTerm > S.m_HardState.m_Term) {
    setHardState(C, {NewTerm, {}});
    // Another leader's snapshot at the same index may be encoded differently.
    S.m_IncomingSnapshot.reset();
  }
  if (S.m_Role == RaftRole::Leader)
    resetElectionDeadline(C);
  S.m_Leader = Leader;
  S.m_NoSuccessorSince.reset();
  S.m_Progress.clear();
  S.m_Granted.clear();
  setRole(C, RaftRole::Follower);
}

void appendEntry(StepContext &C, EntryPtr Entry) {
  recordMembers(C.m_State, *Entry);
  C.m_State.m_Log.append(Entry);
  C.m_Persist.m_Entries.push_back(std::move(Entry));
}

void advanceCommit(StepContext &C, LogIndex Index) {
  RaftState &S = C.m_State;
  while (S.m_Commit < Index) {
    ++S.m_Commit;
    C.m_Applied.push_back(S.m_Log.at(S.m_Commit));
  }
}

std::vector<RaftEffect> finishStep(StepContext &C) {
  std::vector<RaftEffect> Effects;
  for (RaftMessage &M : C.m_SendsBeforeSync)
    Effects.emplace_back(Send{std::move(M)});
  if (!C.m_Persist.empty())
    Effects.emplace_back(std::move(C.m_Persist));
  if (C.m_Save)
    Effects.emplace_back(std::move(*C.m_Save));
  if (C.m_Restore)
    Effects.emplace_back(Restore{std::move(C.m_Restore)});
  for (RaftMessage &M : C.m_SendsAfterSync)
    Effects.emplace_back(Send{std::move(M)});
  for (RaftEffect &ProposalResult : C.m_ProposalResults)
    Effects.push_back(std::move(ProposalResult));
  if (!C.m_Applied.empty())
    Effects.emplace_back(Apply{std::move(C.m_Applied)});
  if (C.m_RoleChanged)
    Effects.emplace_back(*C.m_RoleChanged);
  return Effects;
}

// ---- Public functions.

RaftState makeRaftState(RaftConfig Config, const RecoveredState &Recovered,
                        TimePoint Now, Random &Generator) {
  RaftState S;
  S.m_Config = std::move(Config);
  S.m_HardState = Recovered.m_HardState;
  S.m_Snapshot = Recovered.m_Snapshot;
  if (S.m_Snapshot) {
    S.m_Log = RaftLog(S.m_Snapshot->m_LastIndex, S.m_Snapshot->m_LastTerm);
    S.m_Members.push_back({S.m_Snapshot->m_LastIndex, S.m_Snapshot->m_Members});
    S.m_Commit = S.m_Snapshot->m_LastIndex;
  }
  for (const EntryPtr &Entry : Recovered.m_Entries) {
    recordMembers(S, *Entry);
    S.m_Log.append(Entry);
  }
  S.m_LeaderContact = Now;
  S.m_ElectionDeadline = randomDeadline(S.m_Config.m_Timing, Now, Generator);
  return S;
}

std::vector<RaftEffect> step(RaftState &S, const RaftEvent &E, TimePoint Now,
                             Random &Generator) {
  StepContext C{S, Now, Generator};
  if (const auto *Received = std::get_if<Receive>(&E))
    handleReceive(C, Received->m_Message);
  else if (const auto *Proposed = std::get_if<Propose>(&E))
    handlePropose(C, *Proposed);
  else if (const auto *Change = std::get_if<ProposeMembers>(&E))
    handleProposeMembers(C, Change->m_Members);
  else if (const auto *Taken = std::get_if<SnapshotTaken>(&E))
    handleSnapshotTaken(C, *Taken);
  else if (std::holds_alternative<PrepareStop>(E))
    S.m_StoppingSince = S.m_StoppingSince.value_or(Now);
  else
    handleTick(C);
  return finishStep(C);
}

bool mayStop(const RaftState &S, TimePoint Now) {
  const RaftMembers &Members = currentMembers(S);
  if (!S.m_Config.m_OpenMembership || !mayCampaign(S))
    return true;
  // The replacement of a voter is under way.
  if (voterCount(Members) > S.m_Config.m_OpenMembership->m_TargetVoters ||
      !isVoter(Members, S.m_Config.m_Self))
    return false;
  if (voterCount(Members) == Members.size())
    return true;
  if (S.m_Role != RaftRole::Leader)
    return S.m_KeepsVote;
  // Other voters that stop are told by a heartbeat before this leader ends.
  return S.m_NoSuccessorSince &&
         Now - *S.m_NoSuccessorSince >= S.m_Config.m_Timing.m_HeartbeatInterval;
}

TimePoint nextTickTime(const RaftState &S) {
  return S.m_Role == RaftRole::Leader ? S.m_HeartbeatDue : S.m_ElectionDeadline;
}

std::vector<RaftEffect> groupStorageEffects(std::vector<RaftEffect> Effects) {
  const auto First =
      std::find_if(Effects.begin(), Effects.end(), isStorageEffect);
  std::stable_partition(First, Effects.end(), isStorageEffect);
  return Effects;
}

std::optional<TimePoint> leaseEnd(const RaftState &S, TimePoint Now) {
  if (S.m_Role != RaftRole::Leader)
    return std::nullopt;
  const std::optional<TimePoint> Round = quorumRound(S, currentMembers(S), Now);
  if (!Round)
    return std::nullopt;
  return *Round + S.m_Config.m_Timing.m_LeaseDuration;
}

bool leaseHeld(const RaftState &S, TimePoint Now) {
  const std::optional<TimePoint> End = leaseEnd(S, Now);
  return End && Now < *End;
}

bool mayRead(const RaftState &S, TimePoint Now) {
  return leaseHeld(S, Now) && S.m_Commit >= S.m_TermStartIndex;
}

const RaftMembers &currentMembers(const RaftState &S) {
  static const RaftMembers None;
  return S.m_Members.empty() ? None : S.m_Members.back().m_Members;
}

} // namespace mangocart
