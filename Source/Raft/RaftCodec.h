// Conversion between the values of the replicated log and the schema messages.
#ifndef MANGOCART_RAFT_RAFTCODEC_H
#define MANGOCART_RAFT_RAFTCODEC_H

#include "Raft/RaftTypes.h"

#include <string_view>

namespace mangocart {

namespace schema {
class HardState;
class LogEntry;
} // namespace schema

std::string encodeMembers(const RaftMembers &Members);
// Nothing if the bytes are not a valid list of members.
std::optional<RaftMembers> decodeMembers(std::string_view Bytes);

std::string encodeMessage(const RaftMessage &Message);
// Nothing if the bytes are not a valid message.
std::optional<RaftMessage> decodeMessage(std::string_view Bytes);

void toSchema(const RaftEntry &Entry, schema::LogEntry &Out);
EntryPtr fromSchema(schema::LogEntry &&Entry);
void toSchema(const RaftHardState &State, schema::HardState &Out);
RaftHardState fromSchema(const schema::HardState &State);

} // namespace mangocart

#endif
