// Decisions of one member of the replicated log: elections with pre-vote, log
// replication, leases, snapshots, changes of members. No I/O: the caller feeds
// events and carries out the effects. docs/RAFT.md explains the rules.
#ifndef MANGOCART_RAFT_RAFTNODE_H
#define MANGOCART_RAFT_RAFTNODE_H

#include "Core/Random.h"
#include "Raft/RaftLog.h"
#include "Raft/RaftTypes.h"

#include <map>
#include <set>

namespace mangocart {

enum class ReplicationMode {
  // Looking for the last entry in common, one message at a time.
  Probe,
  // Sending ahead of the replies.
  Replicate,
  Snapshot
};

// What a leader knows of another member.
struct Progress {
  // Highest index known to be on the member's disk.
  LogIndex m_Match = 0;
  // Next index to send; always above m_Match.
  LogIndex m_Next = 1;
  ReplicationMode m_Mode = ReplicationMode::Probe;
  bool m_ProbeSent = false;
  // When this leader began to count on the member.
  TimePoint m_TrackedSince;
  // Sending time of the latest message that the member answered.
  std::optional<TimePoint> m_AckedRound;
  // Only in Snapshot mode: the snapshot on its way, bytes acknowledged, time
  // at which the chunk from there was sent.
  SnapshotPtr m_Sending;
  std::uint64_t m_Offset = 0;
  TimePoint m_ChunkSent;
};

struct MembersAt {
  LogIndex m_Index = 0;
  RaftMembers m_Members;

  bool operator==(const MembersAt &) const = default;
};

struct RaftState {
  RaftConfig m_Config;

  // On disk as m_HardState; the term never falls.
  RaftHardState m_HardState;
  RaftLog m_Log;
  // Null until one is taken or installed.
  SnapshotPtr m_Snapshot;
  // Lists of members by the index of their entry, rising; the last one is in
  // force, committed or not. Empty: the folder is empty.
  std::vector<MembersAt> m_Members;

  // m_Log.baseIndex() <= m_Commit <= m_Log.lastIndex(); never falls. Everything
  // up to m_Commit has been handed out by Apply or Restore.
  LogIndex m_Commit = 0;

  RaftRole m_Role = RaftRole::Follower;
  // Empty while unknown.
  std::string m_Leader;
  // When a leader was last heard, or the time of the start: a restart forgets
  // the answers given before it, so it counts as one.
  TimePoint m_LeaderContact;
  TimePoint m_ElectionDeadline;

  // Candidates: who granted, in m_HardState.m_Term or, before the vote, in the
  // term after it.
  std::set<MemberId> m_Granted;

  // Leaders only.
  std::map<MemberId, Progress> m_Progress;
  TimePoint m_LeaderSince;
  TimePoint m_HeartbeatDue;
  // The first entry of the leader's own term.
  LogIndex m_TermStart = 0;

  // The snapshot that a leader is sending here.
  std::optional<RaftSnapshot> m_Incoming;
  // Bootstrap member only: machines that said their folder is empty.
  std::set<std::string> m_EmptyPeers;
};

RaftState makeRaftState(RaftConfig Config, const RecoveredState &Recovered,
                        TimePoint Now, Random &Generator);

// Handles one event; see RaftTypes.h for the order of the effects.
std::vector<RaftEffect> step(RaftState &S, const RaftEvent &E, TimePoint Now,
                             Random &Generator);

// When the next Tick is due.
TimePoint nextWake(const RaftState &S);

// Moves all storage effects, in their order, to the place of the first one, so
// that one sync covers them. Nothing is sent earlier than before.
std::vector<RaftEffect> orderForOneSync(std::vector<RaftEffect> Effects);

// Until when no other member can be elected, as far as this leader knows now;
// nothing for others.
std::optional<TimePoint> leaseEnd(const RaftState &S, TimePoint Now);

// Whether this member is the leader and no other one can be elected at this
// moment. To be asked at the moment of each answer, never remembered.
bool leaseHeld(const RaftState &S, TimePoint Now);

// Whether the applied state may be read: the lease is held, and an entry of
// the leader's own term is applied.
bool mayRead(const RaftState &S, TimePoint Now);

// Index, term and members of a snapshot at the index, which is committed and
// not below the last snapshot; its data is empty.
RaftSnapshot snapshotHead(const RaftState &S, LogIndex Index);

// The list in force; empty for an empty folder.
const RaftMembers &currentMembers(const RaftState &S);

} // namespace mangocart

#endif
