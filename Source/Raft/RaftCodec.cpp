// Conversion between values and schema messages.
#include "Raft/RaftCodec.h"

#include "Raft.pb.h"

#include <utility>

namespace mangocart {

namespace {

void toSchema(const RaftMembers &Members, schema::RaftMembers &Out) {
  for (const RaftMember &M : Members) {
    schema::RaftMember &To = *Out.add_members();
    To.set_name(M.m_Id.m_Name);
    To.set_storage_id(M.m_Id.m_StorageId);
    To.set_voter(M.m_Voter);
  }
}

RaftMembers fromSchema(const schema::RaftMembers &Members) {
  RaftMembers Out;
  for (const schema::RaftMember &M : Members.members())
    Out.push_back({{M.name(), M.storage_id()}, M.voter()});
  return Out;
}

std::uint64_t encodeTime(TimePoint Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

TimePoint decodeTime(std::uint64_t Encoded) {
  return TimePoint(Duration(static_cast<std::int64_t>(Encoded)));
}

// Writes the body of a message into the schema message.
struct BodyWriter {
  schema::RaftMessage &m_Out;

  void operator()(const VoteRequest &B) const {
    auto &To = *m_Out.mutable_vote_request();
    To.set_last_log_index(B.m_LastLogIndex);
    To.set_last_log_term(B.m_LastLogTerm);
    To.set_pre_vote(B.m_PreVote);
  }
  void operator()(const VoteReply &B) const {
    auto &To = *m_Out.mutable_vote_reply();
    To.set_granted(B.m_Granted);
    To.set_pre_vote(B.m_PreVote);
  }
  void operator()(const AppendRequest &B) const {
    auto &To = *m_Out.mutable_append_request();
    To.set_previous_index(B.m_PreviousIndex);
    To.set_previous_term(B.m_PreviousTerm);
    for (const EntryPtr &Entry : B.m_Entries)
      mangocart::toSchema(*Entry, *To.add_entries());
    To.set_commit_index(B.m_CommitIndex);
    To.set_lease_round(encodeTime(B.m_LeaseRound));
    To.set_keeps_vote(B.m_KeepsVote);
  }
  void operator()(const AppendReply &B) const {
    auto &To = *m_Out.mutable_append_reply();
    To.set_success(B.m_Success);
    To.set_match_index(B.m_MatchIndex);
    To.set_hint_index(B.m_HintIndex);
    To.set_lease_round(encodeTime(B.m_LeaseRound));
  }
  void operator()(const SnapshotChunk &B) const {
    auto &To = *m_Out.mutable_snapshot_chunk();
    To.set_last_index(B.m_LastIndex);
    To.set_last_term(B.m_LastTerm);
    toSchema(B.m_Members, *To.mutable_members());
    To.set_offset(B.m_Offset);
    To.set_data(B.m_Data);
    To.set_done(B.m_Done);
    To.set_lease_round(encodeTime(B.m_LeaseRound));
  }
  void operator()(const SnapshotReply &B) const {
    auto &To = *m_Out.mutable_snapshot_reply();
    To.set_last_index(B.m_LastIndex);
    To.set_next_offset(B.m_NextOffset);
    To.set_done(B.m_Done);
    To.set_lease_round(encodeTime(B.m_LeaseRound));
  }
  void operator()(const JoinRequest &) const { m_Out.mutable_join_request(); }
  void operator()(const JoinReply &B) const {
    m_Out.mutable_join_reply()->set_leader(B.m_Leader);
  }
};

AppendRequest fromSchema(schema::AppendRequest &From) {
  AppendRequest B;
  B.m_PreviousIndex = From.previous_index();
  B.m_PreviousTerm = From.previous_term();
  for (schema::LogEntry &Entry : *From.mutable_entries())
    B.m_Entries.push_back(mangocart::fromSchema(std::move(Entry)));
  B.m_CommitIndex = From.commit_index();
  B.m_LeaseRound = decodeTime(From.lease_round());
  B.m_KeepsVote = From.keeps_vote();
  return B;
}

SnapshotChunk fromSchema(schema::SnapshotChunk &From) {
  SnapshotChunk B;
  B.m_LastIndex = From.last_index();
  B.m_LastTerm = From.last_term();
  B.m_Members = fromSchema(From.members());
  B.m_Offset = From.offset();
  B.m_Data = std::move(*From.mutable_data());
  B.m_Done = From.done();
  B.m_LeaseRound = decodeTime(From.lease_round());
  return B;
}

// Reads the body of a message; returns false if there is none.
bool readBody(schema::RaftMessage &From, RaftMessage &Out) {
  switch (From.kind_case()) {
  case schema::RaftMessage::kVoteRequest: {
    const auto &B = From.vote_request();
    Out.m_Body =
        VoteRequest{B.last_log_index(), B.last_log_term(), B.pre_vote()};
    return true;
  }
  case schema::RaftMessage::kVoteReply:
    Out.m_Body =
        VoteReply{From.vote_reply().granted(), From.vote_reply().pre_vote()};
    return true;
  case schema::RaftMessage::kAppendRequest:
    Out.m_Body = fromSchema(*From.mutable_append_request());
    return true;
  case schema::RaftMessage::kAppendReply: {
    const auto &B = From.append_reply();
    Out.m_Body = AppendReply{B.success(), B.match_index(), B.hint_index(),
                             decodeTime(B.lease_round())};
    return true;
  }
  case schema::RaftMessage::kSnapshotChunk:
    Out.m_Body = fromSchema(*From.mutable_snapshot_chunk());
    return true;
  case schema::RaftMessage::kSnapshotReply: {
    const auto &B = From.snapshot_reply();
    Out.m_Body = SnapshotReply{B.last_index(), B.next_offset(), B.done(),
                               decodeTime(B.lease_round())};
    return true;
  }
  case schema::RaftMessage::kJoinRequest:
    Out.m_Body = JoinRequest{};
    return true;
  case schema::RaftMessage::kJoinReply:
    Out.m_Body = JoinReply{From.join_reply().leader()};
    return true;
  case schema::RaftMessage::KIND_NOT_SET:
    break;
  }
  return false;
}

schema::LogEntry::Kind toSchema(EntryKind Kind) {
  switch (Kind) {
  case EntryKind::Command:
    return schema::LogEntry::COMMAND;
  case EntryKind::NoOp:
    return schema::LogEntry::NO_OP;
  case EntryKind::Members:
    return schema::LogEntry::MEMBERS;
  }
  return schema::LogEntry::KIND_UNSPECIFIED;
}

EntryKind fromSchema(schema::LogEntry::Kind Kind) {
  if (Kind == schema::LogEntry::COMMAND)
    return EntryKind::Command;
  return Kind == schema::LogEntry::MEMBERS ? EntryKind::Members
                                           : EntryKind::NoOp;
}

} // namespace

std::string encodeMembers(const RaftMembers &Members) {
  schema::RaftMembers Out;
  toSchema(Members, Out);
  return Out.SerializeAsString();
}

std::optional<RaftMembers> decodeMembers(std::string_view Bytes) {
  schema::RaftMembers Members;
  if (!Members.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  return fromSchema(Members);
}

std::string encodeMessage(const RaftMessage &Message) {
  schema::RaftMessage Out;
  Out.set_from(Message.m_From.m_Name);
  Out.set_from_storage_id(Message.m_From.m_StorageId);
  Out.set_to(Message.m_To.m_Name);
  Out.set_to_storage_id(Message.m_To.m_StorageId);
  Out.set_term(Message.m_Term);
  Out.set_stopping(Message.m_Stopping);
  std::visit(BodyWriter{Out}, Message.m_Body);
  return Out.SerializeAsString();
}

std::optional<RaftMessage> decodeMessage(std::string_view Bytes) {
  schema::RaftMessage From;
  if (!From.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return std::nullopt;
  RaftMessage Message;
  Message.m_From = {From.from(), From.from_storage_id()};
  Message.m_To = {From.to(), From.to_storage_id()};
  Message.m_Term = From.term();
  Message.m_Stopping = From.stopping();
  if (!readBody(From, Message))
    return std::nullopt;
  return Message;
}

void toSchema(const RaftEntry &Entry, schema::LogEntry &Out) {
  Out.set_term(Entry.m_Term);
  Out.set_index(Entry.m_Index);
  Out.set_kind(toSchema(Entry.m_Kind));
  Out.set_payload(Entry.m_Payload);
}

EntryPtr fromSchema(schema::LogEntry &&Entry) {
  RaftEntry Out;
  Out.m_Term = Entry.term();
  Out.m_Index = Entry.index();
  Out.m_Kind = fromSchema(Entry.kind());
  Out.m_Payload = std::move(*Entry.mutable_payload());
  return std::make_shared<const RaftEntry>(std::move(Out));
}

void toSchema(const RaftHardState &State, schema::HardState &Out) {
  Out.set_term(State.m_Term);
  Out.set_voted_for(State.m_VotedFor.m_Name);
  Out.set_voted_for_storage_id(State.m_VotedFor.m_StorageId);
}

RaftHardState fromSchema(const schema::HardState &State) {
  return {State.term(), {State.voted_for(), State.voted_for_storage_id()}};
}

} // namespace mangocart
