// Values of the replicated log: members, entries, messages, events that a
// member handles, effects that its decisions ask for. All are plain data.
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

// A member is a machine together with the data folder that it holds: after the
// loss of its disk the same machine is another member.
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

// At most one member has a given name.
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

// Shared by the log, the messages and the effects that name the entry.
using EntryPtr = std::shared_ptr<const RaftEntry>;
using EntryList = std::vector<EntryPtr>;

struct RaftSnapshot {
  LogIndex m_LastIndex = 0;
  Term m_LastTerm = 0;
  RaftMembers m_Members;
  // What StateMachine::snapshot() returns after m_LastIndex.
  std::string m_Data;

  bool operator==(const RaftSnapshot &) const = default;
};
using SnapshotPtr = std::shared_ptr<const RaftSnapshot>;

// Must be on disk before a message that depends on it is sent.
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
  // Leader's clock at the time of sending.
  TimePoint m_LeaseRound;

  bool operator==(const AppendRequest &) const = default;
};

struct AppendReply {
  bool m_Success = false;
  LogIndex m_MatchIndex = 0;
  // After a refusal: the index to go on with.
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

// Asks the leader to take the sender in under its storage id.
struct JoinRequest {
  bool operator==(const JoinRequest &) const = default;
};

// Tells the bootstrap member that the sender's data folder is empty, or the
// joining one which machine leads.
struct JoinReply {
  // Empty: the sender knows no leader.
  std::string m_Leader;

  bool operator==(const JoinReply &) const = default;
};

struct RaftMessage {
  MemberId m_From;
  // The storage id is empty where the sender doesn't know it (JoinRequest).
  MemberId m_To;
  Term m_Term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, JoinRequest, JoinReply>
      m_Body;

  bool operator==(const RaftMessage &) const = default;
};

// ---- Events.

// Time has passed; see nextWake().
struct Tick {};

struct Receive {
  RaftMessage m_Message;
};

struct Proposal {
  // Chosen by the caller; comes back in the effects.
  std::uint64_t m_Id = 0;
  std::string m_Payload;
};

struct Propose {
  std::vector<Proposal> m_Proposals;
};

// Asks for a new list of members; refused unless it differs in one voter at
// most and no earlier change is uncommitted.
struct ProposeMembers {
  RaftMembers m_Members;
};

// A snapshot of this member's own state that has become ready; the member may
// have applied more since. Its head is snapshotHead() of its index. It changes
// nothing if a later snapshot has come in its place.
struct SnapshotTaken {
  SnapshotPtr m_Snapshot;
};

using RaftEvent =
    std::variant<Tick, Receive, Propose, ProposeMembers, SnapshotTaken>;

// ---- Effects, carried out in the order of the list. A Send that depends on a
// PersistLog or SaveSnapshot stands behind it.
struct PersistLog {
  std::optional<RaftHardState> m_HardState;
  // Entries from this index on are void before m_Entries are written; 0: none.
  LogIndex m_TruncateFrom = 0;
  EntryList m_Entries;

  bool empty() const {
    return !m_HardState && m_TruncateFrom == 0 && m_Entries.empty();
  }
};

struct SaveSnapshot {
  SnapshotPtr m_Snapshot;
  // All entries that the log holds after the snapshot.
  EntryList m_Entries;
};

struct Send {
  RaftMessage m_Message;
};

// Committed entries, in order and without gaps.
struct Apply {
  EntryList m_Entries;
};

// Replaces the state machine's state.
struct Restore {
  SnapshotPtr m_Snapshot;
};

struct ProposalAppended {
  std::uint64_t m_Id = 0;
  LogIndex m_Index = 0;
  Term m_Term = 0;
};

enum class RefusalReason { NotLeader, NoQuorum };

// Nothing was appended.
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
  // A follower that heard a leader grants no vote for the shortest timeout.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(550);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(1000);
  // Shorter than m_ElectionTimeoutMin by more than the clocks of two machines
  // can drift apart within it.
  Duration m_LeaseDuration = std::chrono::milliseconds(460);
};

struct RaftLimits {
  // Payload of one AppendRequest, unless a single entry is larger.
  std::size_t m_MaxAppendBytes = std::size_t{256} * 1024;
  // Entries sent to a member ahead of its replies.
  LogIndex m_MaxEntriesAhead = 1024;
  std::size_t m_SnapshotChunkBytes = std::size_t{64} * 1024;
  // Entries before a snapshot that stay in memory, so that members only a
  // little behind get entries and not the snapshot.
  LogIndex m_EntriesKept = 1024;
};

// A log whose machines aren't known beforehand: any machine may join as a
// learner, and a learner gets the vote of a voter that has fallen silent.
struct OpenMembership {
  // Voters that the leader works towards.
  std::size_t m_TargetVoters = 3;
  // Members above this are not taken in, so that the list stays bounded.
  std::size_t m_MaxMembers = 12;
  // A voter silent for longer loses its vote to a learner that has caught up.
  // Longer than the restart of a process, so that a restart changes nothing.
  Duration m_ReplaceSilentAfter = std::chrono::seconds(3);
  // A learner silent for longer leaves the list.
  Duration m_DropLearnerAfter = std::chrono::seconds(20);

  bool operator==(const OpenMembership &) const = default;
};

struct RaftConfig {
  MemberId m_Self;
  // Machines that shall vote, this one included; learners among them are
  // promoted once they have caught up. With open membership: the machines that
  // are known at the start.
  std::vector<std::string> m_Voters;
  // The one machine that may begin a new log.
  std::string m_Bootstrap;
  RaftTiming m_Timing;
  RaftLimits m_Limits;
  // Absent: only m_Voters may become members.
  std::optional<OpenMembership> m_Open;
};

// What a data folder holds at the start.
struct RecoveredState {
  RaftHardState m_HardState;
  // Null: none was taken yet.
  SnapshotPtr m_Snapshot;
  // Consecutive, beginning after the snapshot.
  EntryList m_Entries;
};

} // namespace mangocart

#endif
