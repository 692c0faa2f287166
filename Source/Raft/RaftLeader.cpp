// Leader: replication to the other members, commit, membership changes.
#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftSteps.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangocart {

namespace {

// Last index that may be sent before the member replies. In Probe mode the last
// common entry is not known yet, so m_Match cannot be used.
LogIndex lastSendableIndex(const RaftState &S, const Progress &P) {
  const LogIndex Known =
      P.m_Mode == ReplicationMode::Probe ? P.m_Next - 1 : P.m_Match;
  return std::min(S.m_Log.lastIndex(),
                  Known + S.m_Config.m_Limits.m_MaxInFlightEntries);
}

void sendChunk(StepContext &C, const MemberId &Id, Progress &P) {
  const RaftSnapshot &Snapshot = *P.m_SendingSnapshot;
  SnapshotChunk Chunk;
  Chunk.m_LastIndex = Snapshot.m_LastIndex;
  Chunk.m_LastTerm = Snapshot.m_LastTerm;
  Chunk.m_Members = Snapshot.m_Members;
  Chunk.m_Offset = P.m_Offset;
  Chunk.m_Data = Snapshot.m_Data.substr(
      P.m_Offset, C.m_State.m_Config.m_Limits.m_SnapshotChunkBytes);
  Chunk.m_Done = P.m_Offset + Chunk.m_Data.size() == Snapshot.m_Data.size();
  Chunk.m_LeaseRound = C.m_Now;
  P.m_ChunkSendTime = C.m_Now;
  sendBody(C, Id, std::move(Chunk));
}

void startSnapshot(StepContext &C, const MemberId &Id, Progress &P) {
  P.m_Mode = ReplicationMode::Snapshot;
  P.m_SendingSnapshot = C.m_State.m_Snapshot;
  P.m_Offset = 0;
  sendChunk(C, Id, P);
}

// Sends one message with entries from m_Next on, up to the in-flight limit.
void sendAppend(StepContext &C, const MemberId &Id, Progress &P) {
  const RaftState &S = C.m_State;
  const LogIndex Previous = P.m_Next - 1;
  if (Previous < S.m_Log.baseIndex()) {
    startSnapshot(C, Id, P);
    return;
  }
  AppendRequest Request;
  Request.m_PreviousIndex = Previous;
  Request.m_PreviousTerm = *S.m_Log.termAt(Previous);
  Request.m_Entries = S.m_Log.slice(P.m_Next, lastSendableIndex(S, P),
                                    S.m_Config.m_Limits.m_MaxAppendBytes);
  Request.m_CommitIndex = S.m_Commit;
  Request.m_LeaseRound = C.m_Now;
  Request.m_KeepsVote = P.m_StoppingSince && !hasSuccessor(S, C.m_Now);
  if (P.m_Mode == ReplicationMode::Replicate)
    P.m_Next += Request.m_Entries.size();
  else
    P.m_ProbeSent = true;
  sendBody(C, Id, std::move(Request));
}

void sendPending(StepContext &C, const MemberId &Id, Progress &P) {
  const LogIndex Last = lastSendableIndex(C.m_State, P);
  if (P.m_Mode == ReplicationMode::Probe && !P.m_ProbeSent && P.m_Next <= Last)
    sendAppend(C, Id, P);
  while (P.m_Mode == ReplicationMode::Replicate && P.m_Next <= Last)
    sendAppend(C, Id, P);
}

void sendPendingToAll(StepContext &C) {
  for (auto &[Id, P] : C.m_State.m_Progress)
    sendPending(C, Id, P);
}

void sendHeartbeats(StepContext &C) {
  RaftState &S = C.m_State;
  const Duration Interval = S.m_Config.m_Timing.m_HeartbeatInterval;
  S.m_HeartbeatDue = C.m_Now + Interval;
  for (auto &[Id, P] : S.m_Progress) {
    if (P.m_Mode != ReplicationMode::Snapshot)
      sendAppend(C, Id, P);
    else if (C.m_Now - P.m_ChunkSendTime >= Interval)
      sendChunk(C, Id, P);
  }
  if (!S.m_StoppingSince || hasSuccessor(S, C.m_Now))
    S.m_NoSuccessorSince.reset();
  else if (!S.m_NoSuccessorSince)
    S.m_NoSuccessorSince = C.m_Now;
  S.m_HeartbeatCommit = S.m_Commit;
}

// Sends the commit index without a delay if no further entry will carry it.
void sendCommitIndex(StepContext &C) {
  RaftState &S = C.m_State;
  if (S.m_Commit != S.m_Log.lastIndex())
    return;
  for (auto &[Id, P] : S.m_Progress)
    if (P.m_Mode == ReplicationMode::Replicate && P.m_Match == S.m_Commit)
      sendAppend(C, Id, P);
}

void trackMembers(StepContext &C) {
  RaftState &S = C.m_State;
  const RaftMembers &Members = currentMembers(S);
  std::erase_if(S.m_Progress, [&](const auto &Tracked) {
    return !isMember(Members, Tracked.first);
  });
  Progress NewProgress;
  NewProgress.m_Next = S.m_Log.lastIndex() + 1;
  NewProgress.m_TrackedSince = C.m_Now;
  for (const RaftMember &M : Members)
    if (M.m_Id != S.m_Config.m_Self)
      S.m_Progress.try_emplace(M.m_Id, NewProgress);
}

// The silence of the former leader, whose loss caused this election, counts
// from its last message. It still has time to reply to this leader.
void backdateFormerLeader(StepContext &C) {
  RaftState &S = C.m_State;
  const auto Former = S.m_Progress.find(std::exchange(S.m_LastLeader, {}));
  if (Former == S.m_Progress.end() || !S.m_Config.m_OpenMembership)
    return;
  const Duration ReplyTime = 2 * S.m_Config.m_Timing.m_ElectionTimeoutMax;
  const Duration MaxSilence =
      std::max(Duration(0),
               S.m_Config.m_OpenMembership->m_ReplaceVoterAfter - ReplyTime);
  Former->second.m_TrackedSince =
      std::max(S.m_LeaderContact, C.m_Now - MaxSilence);
}

void appendLeaderEntry(StepContext &C, EntryKind Kind, std::string Payload) {
  const RaftState &S = C.m_State;
  RaftEntry Entry{S.m_HardState.m_Term, S.m_Log.lastIndex() + 1, Kind,
                  std::move(Payload)};
  appendEntry(C, std::make_shared<const RaftEntry>(std::move(Entry)));
}

// Until the leader has committed an entry of its own term, it does not know
// whether an earlier membership change is still pending.
bool mayChangeMembers(const RaftState &S) {
  return S.m_Role == RaftRole::Leader && S.m_Commit >= S.m_TermStartIndex &&
         S.m_Members.back().m_Index <= S.m_Commit;
}

// Send time of the latest message that the member acknowledged.
std::optional<TimePoint> ackedRound(const RaftState &S, const MemberId &Id,
                                    TimePoint Now) {
  if (Id == S.m_Config.m_Self)
    return Now;
  const auto Found = S.m_Progress.find(Id);
  return Found == S.m_Progress.end() ? std::nullopt
                                     : Found->second.m_AckedRound;
}

bool isRecent(const RaftState &S, std::optional<TimePoint> Round,
              TimePoint Now) {
  return Round && Now - *Round <= S.m_Config.m_Timing.m_ElectionTimeoutMax;
}

// A voter without all committed entries, including the one that added it, could
// neither win an election nor grant a vote.
bool hasCaughtUp(const RaftState &S, const MemberId &Id) {
  const auto Found = S.m_Progress.find(Id);
  return Found != S.m_Progress.end() && Found->second.m_Match >= S.m_Commit;
}

bool newVotersCaughtUp(const RaftState &S, const RaftMembers &Members) {
  return std::all_of(Members.begin(), Members.end(), [&](const RaftMember &M) {
    return !M.m_Voter || isVoter(currentMembers(S), M.m_Id) ||
           hasCaughtUp(S, M.m_Id);
  });
}

void changeMembers(StepContext &C, const RaftMembers &Members) {
  const RaftState &S = C.m_State;
  if (!mayChangeMembers(S) || Members == currentMembers(S) ||
      !isSafeChange(currentMembers(S), Members) ||
      !newVotersCaughtUp(S, Members))
    return;
  // A list without a reachable majority could never be committed or reverted.
  if (!isRecent(S, quorumRound(S, Members, C.m_Now), C.m_Now))
    return;
  appendLeaderEntry(C, EntryKind::Members, encodeMembers(Members));
  trackMembers(C);
  sendPendingToAll(C);
}

bool isIntendedVoter(const RaftState &S, const std::string &Name) {
  if (S.m_Config.m_OpenMembership)
    return true;
  const std::vector<std::string> &Voters = S.m_Config.m_Voters;
  return std::find(Voters.begin(), Voters.end(), Name) != Voters.end();
}

std::size_t intendedVoterCount(const RaftState &S) {
  return S.m_Config.m_OpenMembership
             ? S.m_Config.m_OpenMembership->m_TargetVoters
             : S.m_Config.m_Voters.size();
}

// Whether the member has acknowledged nothing for longer than the timeout,
// counted at the earliest from when this leader began to track it.
bool isUnresponsive(const StepContext &C, const RaftMember &M,
                    Duration Timeout) {
  const auto Found = C.m_State.m_Progress.find(M.m_Id);
  if (Found == C.m_State.m_Progress.end())
    return false;
  const Progress &P = Found->second;
  const TimePoint LastReply =
      std::max(P.m_AckedRound.value_or(P.m_TrackedSince), P.m_TrackedSince);
  return C.m_Now - LastReply > Timeout;
}

// When this leader learned that the member stops; nothing if it doesn't.
std::optional<TimePoint> stoppingSince(const RaftState &S, const MemberId &Id) {
  if (Id == S.m_Config.m_Self)
    return S.m_StoppingSince;
  const auto Found = S.m_Progress.find(Id);
  return Found == S.m_Progress.end() ? std::nullopt
                                     : Found->second.m_StoppingSince;
}

template <class Predicate>
const RaftMember *findMember(const RaftState &S, Predicate Matches) {
  const RaftMembers &Members = currentMembers(S);
  const auto Found = std::find_if(Members.begin(), Members.end(), Matches);
  return Found == Members.end() ? nullptr : &*Found;
}

const RaftMember *findUnresponsiveVoter(const StepContext &C,
                                        const OpenMembership &Open) {
  return findMember(C.m_State, [&](const RaftMember &M) {
    return M.m_Voter && isUnresponsive(C, M, Open.m_ReplaceVoterAfter);
  });
}

const RaftMember *findLostLearner(const StepContext &C,
                                  const OpenMembership &Open) {
  return findMember(C.m_State, [&](const RaftMember &M) {
    const bool HasStopped = stoppingSince(C.m_State, M.m_Id).has_value();
    return !M.m_Voter && isUnresponsive(C, M,
                                        HasStopped ? Open.m_ReplaceVoterAfter
                                                   : Open.m_RemoveLearnerAfter);
  });
}

// The leader itself comes last, because its replacement needs an election.
const RaftMember *findStoppingVoter(const RaftState &S) {
  const RaftMember *Found = nullptr;
  for (const RaftMember &M : currentMembers(S))
    if (M.m_Voter && stoppingSince(S, M.m_Id) &&
        (!Found || Found->m_Id == S.m_Config.m_Self))
      Found = &M;
  return Found;
}

// Whether the member is a learner that responds, has all committed entries and
// isn't stopping.
bool isReadyLearner(const StepContext &C, const RaftMember &M) {
  const RaftState &S = C.m_State;
  return !M.m_Voter && hasCaughtUp(S, M.m_Id) && !stoppingSince(S, M.m_Id) &&
         isRecent(S, ackedRound(S, M.m_Id, C.m_Now), C.m_Now);
}

const RaftMember *findReadyLearner(const StepContext &C) {
  return findMember(C.m_State,
                    [&](const RaftMember &M) { return isReadyLearner(C, M); });
}

// A ready learner that has replied to a message sent a heartbeat interval after
// the voter's stop became known: all processes may have been asked to stop at
// about the same time, and the learner's reply tells whether it was.
const RaftMember *findSuccessor(const StepContext &C,
                                const RaftMember &Stopping) {
  const RaftState &S = C.m_State;
  const TimePoint Earliest = *stoppingSince(S, Stopping.m_Id) +
                             S.m_Config.m_Timing.m_HeartbeatInterval;
  return findMember(S, [&](const RaftMember &M) {
    return isReadyLearner(C, M) && ackedRound(S, M.m_Id, C.m_Now) >= Earliest;
  });
}

// Brings the number of voters to the target and replaces voters, one change at
// a time. A voter that stops still takes part in decisions: its successor is
// promoted first, so that the number of voters never drops below the target. An
// unresponsive voter is removed first: with it among one voter more than the
// target, the loss of the promoted learner could leave no majority.
void adjustOpenMembership(StepContext &C, const OpenMembership &Open) {
  const RaftState &S = C.m_State;
  const RaftMembers &Members = currentMembers(S);
  const std::size_t Voters = voterCount(Members);
  const RaftMember *ReadyLearner = findReadyLearner(C);
  const RaftMember *Unresponsive = findUnresponsiveVoter(C, Open);
  const RaftMember *Stopping = findStoppingVoter(S);
  const RaftMember *Successor = Stopping && Voters == Open.m_TargetVoters
                                    ? findSuccessor(C, *Stopping)
                                    : nullptr;
  if (Voters < Open.m_TargetVoters && ReadyLearner) {
    changeMembers(C, withVoter(Members, ReadyLearner->m_Id));
  } else if (Unresponsive &&
             (Voters > Open.m_TargetVoters ||
              (Voters == Open.m_TargetVoters && ReadyLearner))) {
    changeMembers(C, withoutMember(Members, Unresponsive->m_Id));
  } else if (Voters > Open.m_TargetVoters && Stopping) {
    // It remains a learner, so that it receives the commit of this change.
    changeMembers(C, withLearner(Members, Stopping->m_Id));
  } else if (Successor) {
    changeMembers(C, withVoter(Members, Successor->m_Id));
  } else if (const RaftMember *Lost = findLostLearner(C, Open)) {
    changeMembers(C, withoutMember(Members, Lost->m_Id));
  }
}

// Promotes one learner that has all committed entries to voter.
void promoteLearner(StepContext &C) {
  RaftState &S = C.m_State;
  if (!mayChangeMembers(S))
    return;
  if (S.m_Config.m_OpenMembership) {
    adjustOpenMembership(C, *S.m_Config.m_OpenMembership);
    return;
  }
  for (const RaftMember &M : currentMembers(S)) {
    if (M.m_Voter || !isIntendedVoter(S, M.m_Id.m_Name) ||
        !hasCaughtUp(S, M.m_Id))
      continue;
    changeMembers(C, withVoter(currentMembers(S), M.m_Id));
    return;
  }
}

// The highest index that is stored on a majority of the voters.
LogIndex quorumMatch(const RaftState &S) {
  std::vector<LogIndex> Matches;
  for (const RaftMember &M : currentMembers(S)) {
    if (!M.m_Voter)
      continue;
    if (M.m_Id == S.m_Config.m_Self)
      Matches.push_back(S.m_Log.lastIndex());
    else
      Matches.push_back(S.m_Progress.at(M.m_Id).m_Match);
  }
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  return Matches[Matches.size() / 2];
}

void updateCommit(StepContext &C) {
  RaftState &S = C.m_State;
  const LogIndex Match = quorumMatch(S);
  // An entry of an earlier term is committed only indirectly, by an entry of
  // the current term.
  if (Match > S.m_Commit && S.m_Log.termAt(Match) == S.m_HardState.m_Term) {
    advanceCommit(C, Match);
    sendCommitIndex(C);
  }
  const bool Removed = S.m_Members.back().m_Index <= S.m_Commit &&
                       !isVoter(currentMembers(S), S.m_Config.m_Self);
  if (Removed)
    becomeFollower(C, S.m_HardState.m_Term, {});
  else
    promoteLearner(C);
}

// The leader's progress entry of the sender, with the acknowledged round
// updated; null if this member is not the leader or the sender is not a member.
Progress *recordReply(StepContext &C, const RaftMessage &M, TimePoint Round) {
  RaftState &S = C.m_State;
  if (S.m_Role != RaftRole::Leader)
    return nullptr;
  const auto Found = S.m_Progress.find(M.m_From);
  if (Found == S.m_Progress.end())
    return nullptr;
  Progress &P = Found->second;
  const TimePoint Sent = std::min(Round, C.m_Now);
  if (P.m_AckedRound && Sent < *P.m_AckedRound)
    return &P;
  P.m_AckedRound = Sent;
  if (!M.m_Stopping)
    P.m_StoppingSince.reset();
  else if (!P.m_StoppingSince)
    P.m_StoppingSince = C.m_Now;
  return &P;
}

void recordMatch(Progress &P, LogIndex Match) {
  P.m_Match = std::max(P.m_Match, Match);
  P.m_Next = std::max(P.m_Next, P.m_Match + 1);
  P.m_Mode = ReplicationMode::Replicate;
  P.m_ProbeSent = false;
  P.m_SendingSnapshot.reset();
}

void recordRejection(Progress &P, LogIndex Hint) {
  if (P.m_Mode == ReplicationMode::Snapshot)
    return;
  // The hint skips a whole term and may be below the known match index.
  P.m_Next = std::max(P.m_Match + 1, std::min(Hint, P.m_Next));
  P.m_Mode = ReplicationMode::Probe;
  P.m_ProbeSent = false;
}

std::optional<RefusalReason> refusalReason(const StepContext &C) {
  const RaftState &S = C.m_State;
  if (S.m_Role != RaftRole::Leader)
    return RefusalReason::NotLeader;
  // Until a majority of the intended voters are voters, the loss of one disk
  // could lose committed entries.
  const bool TooFewVoters =
      voterCount(currentMembers(S)) < intendedVoterCount(S) / 2 + 1;
  if (TooFewVoters || !leaseHeld(S, C.m_Now))
    return RefusalReason::NoQuorum;
  return std::nullopt;
}

} // namespace

void becomeLeader(StepContext &C) {
  RaftState &S = C.m_State;
  setRole(C, RaftRole::Leader);
  S.m_Leader = S.m_Config.m_Self.m_Name;
  S.m_LeaderSince = C.m_Now;
  S.m_Progress.clear();
  trackMembers(C);
  backdateFormerLeader(C);
  appendLeaderEntry(C, EntryKind::NoOp, {});
  S.m_TermStartIndex = S.m_Log.lastIndex();
  sendHeartbeats(C);
  updateCommit(C);
}

void leaderTick(StepContext &C) {
  RaftState &S = C.m_State;
  const TimePoint LastReply = std::max(
      quorumRound(S, currentMembers(S), C.m_Now).value_or(S.m_LeaderSince),
      S.m_LeaderSince);
  if (C.m_Now - LastReply > S.m_Config.m_Timing.m_ElectionTimeoutMax) {
    becomeFollower(C, S.m_HardState.m_Term, {});
    return;
  }
  if (C.m_Now < S.m_HeartbeatDue)
    return;
  sendHeartbeats(C);
  // Unresponsive members send no reply that would trigger a membership change.
  if (S.m_Config.m_OpenMembership)
    promoteLearner(C);
}

void handleAppendReply(StepContext &C, const RaftMessage &M,
                       const AppendReply &B) {
  Progress *P = recordReply(C, M, B.m_LeaseRound);
  if (!P || B.m_MatchIndex > C.m_State.m_Log.lastIndex())
    return;
  if (B.m_Success)
    recordMatch(*P, B.m_MatchIndex);
  else
    recordRejection(*P, B.m_HintIndex);
  updateCommit(C);
  sendPendingToAll(C);
}

void handleSnapshotReply(StepContext &C, const RaftMessage &M,
                         const SnapshotReply &B) {
  Progress *P = recordReply(C, M, B.m_LeaseRound);
  if (!P || !P->m_SendingSnapshot ||
      B.m_LastIndex != P->m_SendingSnapshot->m_LastIndex)
    return;
  if (B.m_Done) {
    recordMatch(*P, B.m_LastIndex);
    updateCommit(C);
    sendPendingToAll(C);
    return;
  }
  // An offset of 0 after higher ones means that the member was restarted.
  const bool Advanced = B.m_NextOffset > P->m_Offset;
  const bool Restarted = B.m_NextOffset == 0 && P->m_Offset > 0;
  if (!Advanced && !Restarted)
    return;
  P->m_Offset = std::min<std::uint64_t>(B.m_NextOffset,
                                        P->m_SendingSnapshot->m_Data.size());
  sendChunk(C, M.m_From, *P);
}

void handleJoinRequest(StepContext &C, const RaftMessage &M) {
  const RaftState &S = C.m_State;
  const RaftMembers &Members = currentMembers(S);
  const std::string &Name = M.m_From.m_Name;
  if (M.m_To.m_Name != S.m_Config.m_Self.m_Name)
    return;
  if (Members.empty())
    sendBody(C, M.m_From, JoinReply{});
  else if (S.m_Config.m_OpenMembership && S.m_Role != RaftRole::Leader &&
           !S.m_Leader.empty())
    sendBody(C, M.m_From, JoinReply{S.m_Leader});
  if (S.m_Role != RaftRole::Leader || !isIntendedVoter(S, Name) ||
      isMember(Members, M.m_From))
    return;
  if (S.m_Config.m_OpenMembership && !findByName(Members, Name) &&
      Members.size() >= S.m_Config.m_OpenMembership->m_MaxMembers)
    return;
  // A member that still responds was not replaced: the request was delayed.
  const RaftMember *Existing = findByName(Members, Name);
  if (Existing && isRecent(S, ackedRound(S, Existing->m_Id, C.m_Now), C.m_Now))
    return;
  changeMembers(C, withLearner(Members, M.m_From));
}

void handlePropose(StepContext &C, const Propose &E) {
  const std::optional<RefusalReason> Reason = refusalReason(C);
  for (const Proposal &P : E.m_Proposals) {
    if (Reason) {
      C.m_ProposalResults.emplace_back(ProposalRefused{P.m_Id, *Reason});
      continue;
    }
    appendLeaderEntry(C, EntryKind::Command, P.m_Payload);
    const RaftState &S = C.m_State;
    C.m_ProposalResults.emplace_back(
        ProposalAppended{P.m_Id, S.m_Log.lastIndex(), S.m_HardState.m_Term});
  }
  if (Reason)
    return;
  sendPendingToAll(C);
  updateCommit(C);
}

void handleProposeMembers(StepContext &C, const RaftMembers &Members) {
  if (C.m_State.m_Role != RaftRole::Leader)
    return;
  changeMembers(C, Members);
  updateCommit(C);
}

bool hasSuccessor(const RaftState &S, TimePoint Now) {
  if (!S.m_Config.m_OpenMembership)
    return false;
  const Duration Limit = S.m_Config.m_Timing.m_ElectionTimeoutMin;
  // Only a leader that has just been elected doesn't know how far learners are.
  const auto MaySucceed = [&](const Progress &P) {
    const bool IsNew = Now - P.m_TrackedSince <= Limit;
    const bool HasCaughtUp = P.m_AckedRound && Now - *P.m_AckedRound <= Limit &&
                             P.m_Match >= S.m_HeartbeatCommit;
    return !P.m_StoppingSince && (IsNew || HasCaughtUp);
  };
  const RaftMembers &Members = currentMembers(S);
  return voterCount(Members) > S.m_Config.m_OpenMembership->m_TargetVoters ||
         std::any_of(Members.begin(), Members.end(), [&](const RaftMember &M) {
           const auto Found = S.m_Progress.find(M.m_Id);
           return !M.m_Voter && Found != S.m_Progress.end() &&
                  MaySucceed(Found->second);
         });
}

std::optional<TimePoint>
quorumRound(const RaftState &S, const RaftMembers &Members, TimePoint Now) {
  std::vector<TimePoint> Rounds;
  for (const RaftMember &M : Members) {
    const std::optional<TimePoint> Round = ackedRound(S, M.m_Id, Now);
    if (M.m_Voter && Round)
      Rounds.push_back(*Round);
  }
  std::sort(Rounds.begin(), Rounds.end(), std::greater<>());
  const std::size_t Needed = voterCount(Members) / 2 + 1;
  if (Rounds.size() < Needed)
    return std::nullopt;
  return Rounds[Needed - 1];
}

} // namespace mangocart
