// The numbered events that the replicated log writes. The event log may be
// null: nothing is written then.
#ifndef MANGOCART_RAFT_RAFTEVENTS_H
#define MANGOCART_RAFT_RAFTEVENTS_H

#include "Raft/RaftTypes.h"

namespace mangocart {

class EventLog;
struct StorageError;

void reportRole(EventLog *Events, const RoleChanged &Change);
void reportMembers(EventLog *Events, const RaftMembers &Members);
void reportFailure(EventLog *Events, const StorageError &Error);

} // namespace mangocart

#endif
