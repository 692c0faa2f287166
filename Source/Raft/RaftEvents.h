// The numbered events written by the replicated log. Nothing is written if the
// event log is null.
#ifndef MANGOCART_RAFT_RAFTEVENTS_H
#define MANGOCART_RAFT_RAFTEVENTS_H

#include "Raft/RaftTypes.h"

namespace mangocart {

class EventLog;
struct StorageError;

void reportRole(EventLog *Events, const RoleChanged &Change);
void reportMembers(EventLog *Events, const RaftMembers &Members);
void reportDiskFull(EventLog *Events, const std::string &DataFolder);
void reportFailure(EventLog *Events, const StorageError &Error);

} // namespace mangocart

#endif
