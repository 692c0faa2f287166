// The Raft algorithm of one member: elections with pre-vote, log replication,
// leases, snapshots, membership changes. It does no I/O: the caller passes in
// events and executes the effects. See docs/RAFT.md for the rules.
#ifndef MANGOCART_RAFT_RAFTNODE_H
#define MANGOCART_RAFT_RAFTNODE_H

#include "Core/Random.h"
#include "Raft/RaftLog.h"
#include "Raft/RaftTypes.h"

#include <map>
#include <set>

namespace mangocart {

enum class ReplicationMode {
  // Searching for the last common entry, one message at a time.
  Probe,
  // Sending entries without waiting for replies.
  Replicate,
  Snapshot
};

// Replication state of another member, as tracked by the leader.
struct Progress {
  // Highest index known to be stored on the member's disk.
  LogIndex m_Match = 0;
  // Next index to send; always greater than m_Match.
  LogIndex m_Next = 1;
  ReplicationMode m_Mode = ReplicationMode::Probe;
  bool m_ProbeSent = false;
  // Time at which this leader began to track the member.
  TimePoint m_TrackedSince;
  // Send time of the latest message that the member acknowledged.
  std::optional<TimePoint> m_AckedRound;
  // When this leader learned that the member stops; empty if it doesn't.
  std::optional<TimePoint> m_StoppingSince;
  // Used only in Snapshot mode: the snapshot being sent, the number of bytes
  // acknowledged, and the send time of the chunk that starts there.
  SnapshotPtr m_SendingSnapshot;
  std::uint64_t m_Offset = 0;
  TimePoint m_ChunkSendTime;
};

struct MembersAt {
  LogIndex m_Index = 0;
  RaftMembers m_Members;

  bool operator==(const MembersAt &) const = default;
};

struct RaftState {
  RaftConfig m_Config;

  // Stored on disk; the term never decreases.
  RaftHardState m_HardState;
  RaftLog m_Log;
  // Null until a snapshot is taken or installed.
  SnapshotPtr m_Snapshot;
  // Lists of members in ascending order of their entries' indexes. The last one
  // is effective, whether committed or not. Empty if the data folder is empty.
  std::vector<MembersAt> m_Members;

  // m_Log.baseIndex() <= m_Commit <= m_Log.lastIndex(); never decreases.
  // Everything up to m_Commit has been passed to the caller by Apply or
  // Restore.
  LogIndex m_Commit = 0;

  RaftRole m_Role = RaftRole::Follower;
  // Empty while unknown.
  std::string m_Leader;
  // Time of the last message from a leader, or of the start: after a restart
  // the replies sent before it are unknown, so the start counts as contact.
  TimePoint m_LeaderContact;
  // The leader that m_LeaderContact refers to; empty if it refers to the start.
  MemberId m_LastLeader;
  TimePoint m_ElectionDeadline;

  // Time of PrepareStop; empty before it.
  std::optional<TimePoint> m_StoppingSince;
  // Valid while stopping: the leader has replied that no learner can take this
  // voter's place.
  bool m_KeepsVote = false;

  // Used by candidates: the members that granted their vote in
  // m_HardState.m_Term or, during the pre-vote, in the term after it.
  std::set<MemberId> m_Granted;

  // Used only by the leader.
  std::map<MemberId, Progress> m_Progress;
  TimePoint m_LeaderSince;
  TimePoint m_HeartbeatDue;
  // The first entry of the leader's own term.
  LogIndex m_TermStartIndex = 0;
  // m_Commit when the last heartbeats were sent.
  LogIndex m_HeartbeatCommit = 0;
  // Since when this leader, which stops, has known of no learner that could
  // take its place.
  std::optional<TimePoint> m_NoSuccessorSince;

  // The snapshot being received from the leader.
  std::optional<RaftSnapshot> m_IncomingSnapshot;
  // Used only by the bootstrap member: nodes that reported an empty data
  // folder.
  std::set<std::string> m_EmptyPeers;
};

RaftState makeRaftState(RaftConfig Config, const RecoveredState &Recovered,
                        TimePoint Now, Random &Generator);

// Handles one event; see RaftTypes.h for the order of the effects.
std::vector<RaftEffect> step(RaftState &S, const RaftEvent &E, TimePoint Now,
                             Random &Generator);

// Whether a process that was asked to stop may exit: this member has no vote,
// or no learner can take its place. Stays false without a majority, so the
// caller bounds the wait.
bool mayStop(const RaftState &S, TimePoint Now);

// Time at which the next Tick is due.
TimePoint nextTickTime(const RaftState &S);

// Moves all storage effects, in their order, to the position of the first one,
// so that one sync covers them. No message is sent earlier than before.
std::vector<RaftEffect> groupStorageEffects(std::vector<RaftEffect> Effects);

// Time until which no other member can be elected, as far as this leader knows;
// nothing if this member is not the leader.
std::optional<TimePoint> leaseEnd(const RaftState &S, TimePoint Now);

// Whether this member is the leader and no other member can be elected at this
// moment. Must be checked for every response; the result must not be stored.
bool leaseHeld(const RaftState &S, TimePoint Now);

// Whether the applied state may be read: the lease is held, and an entry of the
// leader's own term has been applied.
bool mayRead(const RaftState &S, TimePoint Now);

// Index, term and members of a snapshot at the index, which must be committed
// and not below the last snapshot; m_Data is left empty.
RaftSnapshot snapshotMetadata(const RaftState &S, LogIndex Index);

// The effective list; empty if the data folder is empty.
const RaftMembers &currentMembers(const RaftState &S);

} // namespace mangocart

#endif
