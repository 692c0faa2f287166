// Internal to the Raft algorithm: the parts of one step. Each part changes the
// state and collects effects; finishStep() puts them in order.
#ifndef MANGOCART_RAFT_RAFTSTEPS_H
#define MANGOCART_RAFT_RAFTSTEPS_H

#include "Raft/RaftNode.h"

namespace mangocart {

// The state of one call of step() and the effects collected so far.
struct StepContext {
  RaftState &m_State;
  TimePoint m_Now;
  Random &m_Generator;

  // Messages of the leader that do not depend on m_Persist: they are sent
  // before the leader's own sync and overlap with it.
  std::vector<RaftMessage> m_SendsBeforeSync;
  PersistLog m_Persist;
  std::optional<SaveSnapshot> m_Save;
  SnapshotPtr m_Restore;
  std::vector<RaftMessage> m_SendsAfterSync;
  std::vector<RaftEffect> m_ProposalResults;
  EntryList m_Applied;
  std::optional<RoleChanged> m_RoleChanged;
};

std::vector<RaftEffect> finishStep(StepContext &C);

// ---- RaftNode.cpp: shared by all parts.
void sendMessage(StepContext &C, const MemberId &To, RaftMessage &&Message);
template <class Body>
void sendBody(StepContext &C, const MemberId &To, Body Content) {
  RaftMessage Message;
  Message.m_Term = C.m_State.m_HardState.m_Term;
  Message.m_Body = std::move(Content);
  sendMessage(C, To, std::move(Message));
}
void setRole(StepContext &C, RaftRole Role);
void setHardState(StepContext &C, RaftHardState State);
void resetElectionDeadline(StepContext &C);
// Becomes a follower in the term, which may be the current one; Leader may be
// empty.
void becomeFollower(StepContext &C, Term NewTerm, const std::string &Leader);
void appendEntry(StepContext &C, EntryPtr Entry);
void advanceCommit(StepContext &C, LogIndex Index);

// ---- RaftElection.cpp
void onElectionTimeout(StepContext &C);
void handleVoteRequest(StepContext &C, const RaftMessage &M,
                       const VoteRequest &B);
void handleVoteReply(StepContext &C, const RaftMessage &M, const VoteReply &B);
void handleJoinReply(StepContext &C, const RaftMessage &M, const JoinReply &B);
// Whether the member is a voter, or its removal is not committed yet.
bool mayCampaign(const RaftState &S);

// ---- RaftLeader.cpp
void becomeLeader(StepContext &C);
void leaderTick(StepContext &C);
void handleAppendReply(StepContext &C, const RaftMessage &M,
                       const AppendReply &B);
void handleSnapshotReply(StepContext &C, const RaftMessage &M,
                         const SnapshotReply &B);
void handleJoinRequest(StepContext &C, const RaftMessage &M);
void handlePropose(StepContext &C, const Propose &E);
void handleProposeMembers(StepContext &C, const RaftMembers &Members);
// Whether a learner takes the place of a voter that stops, or may do so soon.
bool hasSuccessor(const RaftState &S, TimePoint Now);
// The latest send time that a majority of the list's voters has acknowledged;
// nothing if there is none yet.
std::optional<TimePoint> quorumRound(const RaftState &S,
                                     const RaftMembers &Members, TimePoint Now);

// ---- RaftFollower.cpp
void handleAppendRequest(StepContext &C, const RaftMessage &M,
                         const AppendRequest &B);
void handleSnapshotChunk(StepContext &C, const RaftMessage &M,
                         const SnapshotChunk &B);
void handleSnapshotTaken(StepContext &C, const SnapshotTaken &E);

} // namespace mangocart

#endif
