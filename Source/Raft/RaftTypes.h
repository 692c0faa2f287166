// Value types of the replicated log: members, entries, messages, the events
// that a member handles, and the effects that they cause. All are plain data.
#ifndef MANGOCART_RAFT_RAFTTYPES_H
#define MANGOCART_RAFT_RAFTTYPES_H

#include "Core/RuntimeClock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mangocart {

using LogIndex = std::uint64_t;
using Term = std::uint64_t;

// A member is a machine together with its data folder: after the loss of its
// disk the same machine is a different member.
struct MemberId {
  std::string m_Name;
  std::string m_StorageId;

  auto operator<=>(const MemberId &) const = default;
};

struct RaftMember {
  MemberId m_Id;
  bool m_Voter = false;

  auto operator<=>(const RaftMember &) const = default;
};

// Names are unique within a list.
using RaftMembers = std::vector<RaftMember>;

enum class EntryKind : std::uint8_t { Command, NoOp, Members };

struct RaftEntry {
  Term m_Term = 0;
  LogIndex m_Index = 0;
  EntryKind m_Kind = EntryKind::Command;
  // A serialized schema::Command or schema::RaftMembers; empty for NoOp.
  std::string m_Payload;

  bool operator==(const RaftEntry &) const = default;
};

// Shared by the log, the messages and the effects that refer to the entry.
using EntryPtr = std::shared_ptr<const RaftEntry>;
using EntryList = std::vector<EntryPtr>;

struct RaftSnapshot {
  LogIndex m_LastIndex = 0;
  Term m_LastTerm = 0;
  RaftMembers m_Members;
  // Result of StateMachine::snapshot() after m_LastIndex was applied.
  std::string m_Data;

  bool operator==(const RaftSnapshot &) const = default;
};
using SnapshotPtr = std::shared_ptr<const RaftSnapshot>;

// Must be durable before a message that depends on it is sent.
struct RaftHardState {
  Term m_Term = 0;
  // Empty name: no vote in this term.
  MemberId m_VotedFor;

  bool operator==(const RaftHardState &) const = default;
};

// ---- Messages.
struct VoteRequest {
  LogIndex m_LastLogIndex = 0;
  Term m_LastLogTerm = 0;
  bool m_PreVote = false;

  bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
  bool m_Granted = false;
  bool m_PreVote = false;

  bool operator==(const VoteReply &) const = default;
};

struct AppendRequest {
  LogIndex m_PreviousIndex = 0;
  Term m_PreviousTerm = 0;
  EntryList m_Entries;
  LogIndex m_CommitIndex = 0;
  // Send time by the leader's clock.
  TimePoint m_LeaseRound;
  // The receiver is a voter that stops, and no learner can take its place.
  bool m_KeepsVote = false;

  bool operator==(const AppendRequest &) const = default;
};

struct AppendReply {
  bool m_Success = false;
  LogIndex m_MatchIndex = 0;
  // After a rejection: the index from which the leader should continue.
  LogIndex m_HintIndex = 0;
  TimePoint m_LeaseRound;

  bool operator==(const AppendReply &) const = default;
};

struct SnapshotChunk {
  LogIndex m_LastIndex = 0;
  Term m_LastTerm = 0;
  RaftMembers m_Members;
  std::uint64_t m_Offset = 0;
  std::string m_Data;
  bool m_Done = false;
  TimePoint m_LeaseRound;

  bool operator==(const SnapshotChunk &) const = default;
};

struct SnapshotReply {
  LogIndex m_LastIndex = 0;
  std::uint64_t m_NextOffset = 0;
  bool m_Done = false;
  TimePoint m_LeaseRound;

  bool operator==(const SnapshotReply &) const = default;
};

// Asks the leader to add the sender as a member with its storage id.
struct JoinRequest {
  bool operator==(const JoinRequest &) const = default;
};

// Tells the bootstrap member that the sender's data folder is empty, or a
// joining member which node is the leader.
struct JoinReply {
  // Empty if the sender knows no leader.
  std::string m_Leader;

  bool operator==(const JoinReply &) const = default;
};

struct RaftMessage {
  MemberId m_From;
  // The storage id is empty if the sender does not know it (JoinRequest).
  MemberId m_To;
  Term m_Term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, JoinRequest, JoinReply>
      m_Body;
  // The sender's process was asked to stop, see PrepareStop.
  bool m_Stopping = false;

  bool operator==(const RaftMessage &) const = default;
};

// ---- Events.

// Time has passed; see nextTickTime().
struct Tick {};

struct Receive {
  RaftMessage m_Message;
};

struct Proposal {
  // Chosen by the caller; returned in the effects.
  std::uint64_t m_Id = 0;
  std::string m_Payload;
};

struct Propose {
  std::vector<Proposal> m_Proposals;
};

// Requests a new list of members; ignored unless it differs in at most one
// voter and every earlier change is committed.
struct ProposeMembers {
  RaftMembers m_Members;
};

// A snapshot of this member's own state is ready; later entries may have been
// applied since. Its index, term and members are those of snapshotMetadata().
// It is ignored if a later snapshot has replaced it.
struct SnapshotTaken {
  SnapshotPtr m_Snapshot;
};

// The process was asked to stop. With open membership a learner that has caught
// up replaces this voter; mayStop() tells when to exit.
struct PrepareStop {};

using RaftEvent = std::variant<Tick, Receive, Propose, ProposeMembers,
                               SnapshotTaken, PrepareStop>;

// ---- Effects, executed in the order of the list. A Send that depends on a
// PersistLog or SaveSnapshot comes after it.
struct PersistLog {
  std::optional<RaftHardState> m_HardState;
  // Entries from this index on are deleted before m_Entries are written; 0:
  // none.
  LogIndex m_TruncateFrom = 0;
  EntryList m_Entries;

  bool empty() const {
    return !m_HardState && m_TruncateFrom == 0 && m_Entries.empty();
  }
};

struct SaveSnapshot {
  SnapshotPtr m_Snapshot;
  // All entries of the log after the snapshot.
  EntryList m_Entries;
};

struct Send {
  RaftMessage m_Message;
};

// Committed entries, in order and without gaps.
struct Apply {
  EntryList m_Entries;
};

// Replaces the state of the state machine.
struct Restore {
  SnapshotPtr m_Snapshot;
};

struct ProposalAppended {
  std::uint64_t m_Id = 0;
  LogIndex m_Index = 0;
  Term m_Term = 0;
};

enum class RefusalReason { NotLeader, NoQuorum };

// The command was not appended.
struct ProposalRefused {
  std::uint64_t m_Id = 0;
  RefusalReason m_Reason = RefusalReason::NotLeader;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

struct RoleChanged {
  RaftRole m_Role = RaftRole::Follower;
  Term m_Term = 0;
};

using RaftEffect = std::variant<PersistLog, SaveSnapshot, Send, Apply, Restore,
                                ProposalAppended, ProposalRefused, RoleChanged>;

// ---- Settings of a member.
struct RaftTiming {
  Duration m_HeartbeatInterval = std::chrono::milliseconds(200);
  // A follower grants no vote for this long after a message from the leader.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(550);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(1000);
  // Shorter than m_ElectionTimeoutMin by more than the possible clock drift
  // between two machines during that time.
  Duration m_LeaseDuration = std::chrono::milliseconds(460);
};

struct RaftLimits {
  // Maximum payload of one AppendRequest, unless a single entry is larger.
  std::size_t m_MaxAppendBytes = std::size_t{256} * 1024;
  // Maximum number of entries sent to a member and not acknowledged yet.
  LogIndex m_MaxInFlightEntries = 1024;
  std::size_t m_SnapshotChunkBytes = std::size_t{64} * 1024;
  // Number of entries before a snapshot that are kept in memory, so that
  // members that are slightly behind get entries instead of the snapshot.
  LogIndex m_RetainedEntries = 1024;
};

// A log whose members are not known in advance: any machine may join as a
// learner, and a learner replaces a voter that stops or has become
// unresponsive.
struct OpenMembership {
  // Number of voters that the leader aims for.
  std::size_t m_TargetVoters = 3;
  // No further members are added above this number, so that the list stays
  // bounded.
  std::size_t m_MaxMembers = 12;
  // A voter that is unresponsive for longer is replaced by a learner that has
  // caught up. Longer than a process restart, so that a restart changes
  // nothing. Also the time after which a learner that announced its stop is
  // removed.
  Duration m_ReplaceVoterAfter = std::chrono::seconds(3);
  // Any other learner that is unresponsive for longer is removed from the list.
  Duration m_RemoveLearnerAfter = std::chrono::seconds(20);

  bool operator==(const OpenMembership &) const = default;
};

struct RaftConfig {
  MemberId m_Self;
  // Nodes that are intended voters, including this one; learners among them are
  // promoted once they have caught up. With open membership: the nodes that are
  // known at the start.
  std::vector<std::string> m_Voters;
  // The only node that may create a new log.
  std::string m_Bootstrap;
  RaftTiming m_Timing;
  RaftLimits m_Limits;
  // If absent, only m_Voters may become members.
  std::optional<OpenMembership> m_OpenMembership;
};

// Content of a data folder at the start.
struct RecoveredState {
  RaftHardState m_HardState;
  // Null if there is no snapshot yet.
  SnapshotPtr m_Snapshot;
  // Consecutive, starting after the snapshot.
  EntryList m_Entries;
};

} // namespace mangocart

#endif
