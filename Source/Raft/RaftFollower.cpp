// Follower: accepts entries and snapshots from the leader.
#include "Raft/RaftSteps.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace mangocart {

namespace {

void recordLeaderContact(StepContext &C, const RaftMessage &M) {
  RaftState &S = C.m_State;
  if (S.m_Role != RaftRole::Follower || S.m_Leader != M.m_From.m_Name)
    becomeFollower(C, M.m_Term, M.m_From.m_Name);
  S.m_LeaderContact = C.m_Now;
  S.m_LastLeader = M.m_From;
  resetElectionDeadline(C);
}

void truncateFrom(StepContext &C, LogIndex Index) {
  RaftState &S = C.m_State;
  S.m_Log.truncateFrom(Index);
  while (!S.m_Members.empty() && S.m_Members.back().m_Index >= Index)
    S.m_Members.pop_back();
  C.m_Persist.m_TruncateFrom = Index;
}

// The index from which the leader should continue, if the log does not contain
// the entry that precedes the new ones; nothing if it does.
std::optional<LogIndex> mismatchHint(const RaftState &S,
                                     const AppendRequest &B) {
  if (B.m_PreviousIndex > S.m_Log.lastIndex())
    return S.m_Log.lastIndex() + 1;
  // Entries below the base are committed, so the leader's log has them too.
  const std::optional<Term> Held = S.m_Log.termAt(B.m_PreviousIndex);
  if (!Held || *Held == B.m_PreviousTerm)
    return std::nullopt;
  return std::max(S.m_Log.firstOfTerm(B.m_PreviousIndex), S.m_Commit + 1);
}

// Entries that are already in the log are kept: a delayed message must not
// truncate entries that a newer message appended.
void appendMissingEntries(StepContext &C, const EntryList &Entries) {
  RaftState &S = C.m_State;
  for (const EntryPtr &Entry : Entries) {
    if (Entry->m_Index <= S.m_Log.baseIndex())
      continue;
    const std::optional<Term> Held = S.m_Log.termAt(Entry->m_Index);
    if (Held == Entry->m_Term)
      continue;
    if (Held)
      truncateFrom(C, Entry->m_Index);
    appendEntry(C, Entry);
  }
}

EntryList entriesAfter(const RaftLog &Log, LogIndex Index) {
  return Log.slice(Index + 1, Log.lastIndex(),
                   std::numeric_limits<std::size_t>::max());
}

// The effective list at the index, which must not be below the index of the
// first list.
std::vector<MembersAt>::const_iterator membersAt(const RaftState &S,
                                                 LogIndex Index) {
  return std::prev(
      std::find_if(S.m_Members.begin(), S.m_Members.end(),
                   [&](const MembersAt &M) { return M.m_Index > Index; }));
}

void installSnapshot(StepContext &C, RaftSnapshot &&Received) {
  RaftState &S = C.m_State;
  auto Snapshot = std::make_shared<const RaftSnapshot>(std::move(Received));
  const LogIndex Last = Snapshot->m_LastIndex;
  const bool LogContinues = S.m_Log.termAt(Last) == Snapshot->m_LastTerm;
  if (LogContinues) {
    S.m_Log.compactTo(Last);
    std::erase_if(S.m_Members,
                  [&](const MembersAt &M) { return M.m_Index <= Last; });
  } else {
    S.m_Log = RaftLog(Last, Snapshot->m_LastTerm);
    S.m_Members.clear();
  }
  S.m_Members.insert(S.m_Members.begin(), {Last, Snapshot->m_Members});
  S.m_Snapshot = Snapshot;
  S.m_Commit = Last;
  C.m_Save = SaveSnapshot{Snapshot, entriesAfter(S.m_Log, Last)};
  C.m_Restore = Snapshot;
}

// Appends the chunk to m_IncomingSnapshot if it is the next one; returns the
// next expected offset.
std::uint64_t appendChunk(RaftState &S, const SnapshotChunk &B) {
  const bool SameSnapshot =
      S.m_IncomingSnapshot &&
      S.m_IncomingSnapshot->m_LastIndex == B.m_LastIndex &&
      S.m_IncomingSnapshot->m_LastTerm == B.m_LastTerm;
  if (!SameSnapshot)
    S.m_IncomingSnapshot =
        RaftSnapshot{B.m_LastIndex, B.m_LastTerm, B.m_Members, {}};
  std::string &Data = S.m_IncomingSnapshot->m_Data;
  if (B.m_Offset == Data.size())
    Data += B.m_Data;
  return Data.size();
}

} // namespace

void handleAppendRequest(StepContext &C, const RaftMessage &M,
                         const AppendRequest &B) {
  RaftState &S = C.m_State;
  if (S.m_Role == RaftRole::Leader)
    return;
  recordLeaderContact(C, M);
  S.m_KeepsVote = S.m_StoppingSince && B.m_KeepsVote;
  AppendReply Reply;
  Reply.m_LeaseRound = B.m_LeaseRound;
  if (const std::optional<LogIndex> Hint = mismatchHint(S, B)) {
    Reply.m_HintIndex = *Hint;
    sendBody(C, M.m_From, Reply);
    return;
  }
  appendMissingEntries(C, B.m_Entries);
  Reply.m_Success = true;
  Reply.m_MatchIndex = B.m_PreviousIndex + B.m_Entries.size();
  // Entries after the match index may come from another leader.
  advanceCommit(C, std::min(B.m_CommitIndex, Reply.m_MatchIndex));
  sendBody(C, M.m_From, Reply);
}

void handleSnapshotChunk(StepContext &C, const RaftMessage &M,
                         const SnapshotChunk &B) {
  RaftState &S = C.m_State;
  if (S.m_Role == RaftRole::Leader)
    return;
  recordLeaderContact(C, M);
  SnapshotReply Reply;
  Reply.m_LastIndex = B.m_LastIndex;
  Reply.m_LeaseRound = B.m_LeaseRound;
  if (B.m_LastIndex <= S.m_Commit) {
    Reply.m_Done = true;
  } else {
    Reply.m_NextOffset = appendChunk(S, B);
    Reply.m_Done =
        B.m_Done && Reply.m_NextOffset == B.m_Offset + B.m_Data.size();
    if (Reply.m_Done)
      installSnapshot(
          C, std::move(*std::exchange(S.m_IncomingSnapshot, std::nullopt)));
  }
  sendBody(C, M.m_From, Reply);
}

void handleSnapshotTaken(StepContext &C, const SnapshotTaken &E) {
  RaftState &S = C.m_State;
  const LogIndex Held = S.m_Snapshot ? S.m_Snapshot->m_LastIndex : 0;
  const LogIndex Index = E.m_Snapshot->m_LastIndex;
  if (Index <= Held || Index > S.m_Commit)
    return;
  S.m_Members.erase(S.m_Members.begin(), membersAt(S, Index));
  S.m_Snapshot = E.m_Snapshot;
  const LogIndex Retained = S.m_Config.m_Limits.m_RetainedEntries;
  S.m_Log.compactTo(Index > Retained ? Index - Retained : 0);
  C.m_Save = SaveSnapshot{S.m_Snapshot, entriesAfter(S.m_Log, Index)};
}

RaftSnapshot snapshotMetadata(const RaftState &S, LogIndex Index) {
  return {Index, *S.m_Log.termAt(Index), membersAt(S, Index)->m_Members, {}};
}

} // namespace mangocart
