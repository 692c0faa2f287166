// The leader: replication to the other members, commit, changes of members.
#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftSteps.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangocart {

namespace {

// Last index that may be sent before the member answers. While the leader is
// looking for the last common entry, m_Match says nothing yet.
LogIndex lastAllowed(const RaftState &S, const Progress &P) {
  const LogIndex Known =
      P.m_Mode == ReplicationMode::Probe ? P.m_Next - 1 : P.m_Match;
  return std::min(S.m_Log.lastIndex(),
                  Known + S.m_Config.m_Limits.m_MaxEntriesAhead);
}

void sendChunk(StepContext &C, const MemberId &Id, Progress &P) {
  const RaftSnapshot &Snapshot = *P.m_Sending;
  SnapshotChunk Chunk;
  Chunk.m_LastIndex = Snapshot.m_LastIndex;
  Chunk.m_LastTerm = Snapshot.m_LastTerm;
  Chunk.m_Members = Snapshot.m_Members;
  Chunk.m_Offset = P.m_Offset;
  Chunk.m_Data = Snapshot.m_Data.substr(
      P.m_Offset, C.m_State.m_Config.m_Limits.m_SnapshotChunkBytes);
  Chunk.m_Done = P.m_Offset + Chunk.m_Data.size() == Snapshot.m_Data.size();
  Chunk.m_LeaseRound = C.m_Now;
  P.m_ChunkSent = C.m_Now;
  sendBody(C, Id, std::move(Chunk));
}

void startSnapshot(StepContext &C, const MemberId &Id, Progress &P) {
  P.m_Mode = ReplicationMode::Snapshot;
  P.m_Sending = C.m_State.m_Snapshot;
  P.m_Offset = 0;
  sendChunk(C, Id, P);
}

// One message from m_Next on, with as many entries as may be sent ahead.
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
  Request.m_Entries = S.m_Log.slice(P.m_Next, lastAllowed(S, P),
                                    S.m_Config.m_Limits.m_MaxAppendBytes);
  Request.m_CommitIndex = S.m_Commit;
  Request.m_LeaseRound = C.m_Now;
  if (P.m_Mode == ReplicationMode::Replicate)
    P.m_Next += Request.m_Entries.size();
  else
    P.m_ProbeSent = true;
  sendBody(C, Id, std::move(Request));
}

void sendPending(StepContext &C, const MemberId &Id, Progress &P) {
  const LogIndex Last = lastAllowed(C.m_State, P);
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
    else if (C.m_Now - P.m_ChunkSent >= Interval)
      sendChunk(C, Id, P);
  }
}

// Followers hear of a commit at once when no further entry will carry it.
void announceCommit(StepContext &C) {
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
  Progress Fresh;
  Fresh.m_Next = S.m_Log.lastIndex() + 1;
  Fresh.m_TrackedSince = C.m_Now;
  for (const RaftMember &M : Members)
    if (M.m_Id != S.m_Config.m_Self)
      S.m_Progress.try_emplace(M.m_Id, Fresh);
}

void appendOwn(StepContext &C, EntryKind Kind, std::string Payload) {
  const RaftState &S = C.m_State;
  RaftEntry Entry{S.m_HardState.m_Term, S.m_Log.lastIndex() + 1, Kind,
                  std::move(Payload)};
  appendEntry(C, std::make_shared<const RaftEntry>(std::move(Entry)));
}

// Before the leader has committed an entry of its own term it doesn't know
// whether an earlier change of members is still under way.
bool mayChangeMembers(const RaftState &S) {
  return S.m_Role == RaftRole::Leader && S.m_Commit >= S.m_TermStart &&
         S.m_Members.back().m_Index <= S.m_Commit;
}

// The sending time of the last message that the member answered.
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

// A voter that lacks committed entries, its own admission among them, could
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
  // A list without a reachable majority could never be committed, nor undone.
  if (!isRecent(S, quorumRound(S, Members, C.m_Now), C.m_Now))
    return;
  appendOwn(C, EntryKind::Members, encodeMembers(Members));
  trackMembers(C);
  sendPendingToAll(C);
}

bool shallVote(const RaftState &S, const std::string &Name) {
  if (S.m_Config.m_Open)
    return true;
  const std::vector<std::string> &Voters = S.m_Config.m_Voters;
  return std::find(Voters.begin(), Voters.end(), Name) != Voters.end();
}

std::size_t intendedVoters(const RaftState &S) {
  return S.m_Config.m_Open ? S.m_Config.m_Open->m_TargetVoters
                           : S.m_Config.m_Voters.size();
}

// Whether the member has answered nothing for so long, since this leader counts
// on it.
bool isSilent(const StepContext &C, const RaftMember &M, Duration Since) {
  const auto Found = C.m_State.m_Progress.find(M.m_Id);
  if (Found == C.m_State.m_Progress.end())
    return false;
  const Progress &P = Found->second;
  const TimePoint Heard =
      std::max(P.m_AckedRound.value_or(P.m_TrackedSince), P.m_TrackedSince);
  return C.m_Now - Heard > Since;
}

const RaftMember *findSilent(const StepContext &C, bool Voter, Duration Since) {
  const RaftMembers &Members = currentMembers(C.m_State);
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const RaftMember &M) {
        return M.m_Voter == Voter && isSilent(C, M, Since);
      });
  return Found == Members.end() ? nullptr : &*Found;
}

// A learner that answers and holds all committed entries.
const RaftMember *findReadyLearner(const StepContext &C) {
  const RaftState &S = C.m_State;
  const RaftMembers &Members = currentMembers(S);
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const RaftMember &M) {
        return !M.m_Voter && hasCaughtUp(S, M.m_Id) &&
               isRecent(S, ackedRound(S, M.m_Id, C.m_Now), C.m_Now);
      });
  return Found == Members.end() ? nullptr : &*Found;
}

// Brings the number of voters to the target and moves the vote of a silent
// voter to a learner, one change at a time: the learner votes before the silent
// voter goes, so that no majority shrinks in between.
void tendOpenMembers(StepContext &C, const OpenMembership &Open) {
  const RaftState &S = C.m_State;
  const RaftMembers &Members = currentMembers(S);
  const std::size_t Voters = voterCount(Members);
  const RaftMember *Silent = findSilent(C, true, Open.m_ReplaceSilentAfter);
  const RaftMember *Ready = findReadyLearner(C);
  if (Voters > Open.m_TargetVoters && Silent) {
    changeMembers(C, withoutMember(Members, Silent->m_Id));
  } else if (Ready && (Voters < Open.m_TargetVoters ||
                       (Voters == Open.m_TargetVoters && Silent))) {
    changeMembers(C, withVoter(Members, Ready->m_Id));
  } else if (const RaftMember *Lost =
                 findSilent(C, false, Open.m_DropLearnerAfter)) {
    changeMembers(C, withoutMember(Members, Lost->m_Id));
  }
}

// Makes one learner that holds all committed entries a voter.
void promoteLearner(StepContext &C) {
  RaftState &S = C.m_State;
  if (!mayChangeMembers(S))
    return;
  if (S.m_Config.m_Open) {
    tendOpenMembers(C, *S.m_Config.m_Open);
    return;
  }
  for (const RaftMember &M : currentMembers(S)) {
    if (M.m_Voter || !shallVote(S, M.m_Id.m_Name) || !hasCaughtUp(S, M.m_Id))
      continue;
    changeMembers(C, withVoter(currentMembers(S), M.m_Id));
    return;
  }
}

// The highest index that a majority of the voters holds.
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
  // An entry of an earlier term is committed only by one of this term.
  if (Match > S.m_Commit && S.m_Log.termAt(Match) == S.m_HardState.m_Term) {
    advanceCommit(C, Match);
    announceCommit(C);
  }
  const bool Removed = S.m_Members.back().m_Index <= S.m_Commit &&
                       !isVoter(currentMembers(S), S.m_Config.m_Self);
  if (Removed)
    becomeFollower(C, S.m_HardState.m_Term, {});
  else
    promoteLearner(C);
}

// The sender's entry in the leader's table, with the round noted; null if the
// message is not for a leader or not from a member.
Progress *noteReply(StepContext &C, const RaftMessage &M, TimePoint Round) {
  RaftState &S = C.m_State;
  if (S.m_Role != RaftRole::Leader)
    return nullptr;
  const auto Found = S.m_Progress.find(M.m_From);
  if (Found == S.m_Progress.end())
    return nullptr;
  Progress &P = Found->second;
  const TimePoint Sent = std::min(Round, C.m_Now);
  P.m_AckedRound = std::max(P.m_AckedRound.value_or(Sent), Sent);
  return &P;
}

void noteMatch(Progress &P, LogIndex Match) {
  P.m_Match = std::max(P.m_Match, Match);
  P.m_Next = std::max(P.m_Next, P.m_Match + 1);
  P.m_Mode = ReplicationMode::Replicate;
  P.m_ProbeSent = false;
  P.m_Sending.reset();
}

void noteRefusal(Progress &P, LogIndex Hint) {
  if (P.m_Mode == ReplicationMode::Snapshot)
    return;
  // The hint skips a whole term and may lie below what is known to match.
  P.m_Next = std::max(P.m_Match + 1, std::min(Hint, P.m_Next));
  P.m_Mode = ReplicationMode::Probe;
  P.m_ProbeSent = false;
}

std::optional<RefusalReason> refusalReason(const StepContext &C) {
  const RaftState &S = C.m_State;
  if (S.m_Role != RaftRole::Leader)
    return RefusalReason::NotLeader;
  // Before a majority of the intended voters are voters, one lost disk could
  // take committed entries with it.
  const bool TooFew = voterCount(currentMembers(S)) < intendedVoters(S) / 2 + 1;
  if (TooFew || !leaseHeld(S, C.m_Now))
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
  appendOwn(C, EntryKind::NoOp, {});
  S.m_TermStart = S.m_Log.lastIndex();
  sendHeartbeats(C);
  updateCommit(C);
}

void leaderTick(StepContext &C) {
  RaftState &S = C.m_State;
  const TimePoint Heard = std::max(
      quorumRound(S, currentMembers(S), C.m_Now).value_or(S.m_LeaderSince),
      S.m_LeaderSince);
  if (C.m_Now - Heard > S.m_Config.m_Timing.m_ElectionTimeoutMax) {
    becomeFollower(C, S.m_HardState.m_Term, {});
    return;
  }
  if (C.m_Now < S.m_HeartbeatDue)
    return;
  sendHeartbeats(C);
  // Silence brings no reply that would ask for a change.
  if (S.m_Config.m_Open)
    promoteLearner(C);
}

void handleAppendReply(StepContext &C, const RaftMessage &M,
                       const AppendReply &B) {
  Progress *P = noteReply(C, M, B.m_LeaseRound);
  if (!P || B.m_MatchIndex > C.m_State.m_Log.lastIndex())
    return;
  if (B.m_Success)
    noteMatch(*P, B.m_MatchIndex);
  else
    noteRefusal(*P, B.m_HintIndex);
  updateCommit(C);
  sendPendingToAll(C);
}

void handleSnapshotReply(StepContext &C, const RaftMessage &M,
                         const SnapshotReply &B) {
  Progress *P = noteReply(C, M, B.m_LeaseRound);
  if (!P || !P->m_Sending || B.m_LastIndex != P->m_Sending->m_LastIndex)
    return;
  if (B.m_Done) {
    noteMatch(*P, B.m_LastIndex);
    updateCommit(C);
    sendPendingToAll(C);
    return;
  }
  // An offset of 0 after others: the member was restarted.
  const bool Further = B.m_NextOffset > P->m_Offset;
  const bool Again = B.m_NextOffset == 0 && P->m_Offset > 0;
  if (!Further && !Again)
    return;
  P->m_Offset =
      std::min<std::uint64_t>(B.m_NextOffset, P->m_Sending->m_Data.size());
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
  else if (S.m_Config.m_Open && S.m_Role != RaftRole::Leader &&
           !S.m_Leader.empty())
    sendBody(C, M.m_From, JoinReply{S.m_Leader});
  if (S.m_Role != RaftRole::Leader || !shallVote(S, Name) ||
      isMember(Members, M.m_From))
    return;
  if (S.m_Config.m_Open && !findByName(Members, Name) &&
      Members.size() >= S.m_Config.m_Open->m_MaxMembers)
    return;
  // A member that still answers wasn't replaced: the request is a late one.
  const RaftMember *Held = findByName(Members, Name);
  if (Held && isRecent(S, ackedRound(S, Held->m_Id, C.m_Now), C.m_Now))
    return;
  changeMembers(C, withLearner(Members, M.m_From));
}

void handlePropose(StepContext &C, const Propose &E) {
  const std::optional<RefusalReason> Reason = refusalReason(C);
  for (const Proposal &P : E.m_Proposals) {
    if (Reason) {
      C.m_Answers.emplace_back(ProposalRefused{P.m_Id, *Reason});
      continue;
    }
    appendOwn(C, EntryKind::Command, P.m_Payload);
    const RaftState &S = C.m_State;
    C.m_Answers.emplace_back(
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
