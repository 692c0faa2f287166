// Internal to the decision module: the parts of one step. Each part changes the
// state and collects what the step asks for; finishStep() puts that in order.
#ifndef MANGOCART_RAFT_RAFTSTEPS_H
#define MANGOCART_RAFT_RAFTSTEPS_H

#include "Raft/RaftNode.h"

namespace mangocart {

// One call of step(), and the effects that it has collected.
struct StepContext {
  RaftState &m_State;
  TimePoint m_Now;
  Random &m_Generator;

  // A leader's messages that depend on nothing in m_Persist: they overlap with
  // the leader's own sync.
  std::vector<RaftMessage> m_EarlySends;
  PersistLog m_Persist;
  std::optional<SaveSnapshot> m_Save;
  SnapshotPtr m_Restore;
  std::vector<RaftMessage> m_LateSends;
  std::vector<RaftEffect> m_Answers;
  EntryList m_Applied;
  std::optional<RoleChanged> m_RoleChanged;
};

std::vector<RaftEffect> finishStep(StepContext &C);

// ---- RaftNode.cpp: used by all parts.
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
// Follows in the term, which may be the present one; Leader may be empty.
void becomeFollower(StepContext &C, Term NewTerm, const std::string &Leader);
void appendEntry(StepContext &C, EntryPtr Entry);
void advanceCommit(StepContext &C, LogIndex Index);

// ---- RaftElection.cpp
void onElectionTimeout(StepContext &C);
void handleVoteRequest(StepContext &C, const RaftMessage &M,
                       const VoteRequest &B);
void handleVoteReply(StepContext &C, const RaftMessage &M, const VoteReply &B);
void handleJoinReply(StepContext &C, const RaftMessage &M, const JoinReply &B);

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
// The latest round that a majority of the list's voters has answered; nothing
// before the first such round.
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
