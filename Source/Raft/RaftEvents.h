// The numbered events written by the replicated log. Nothing is written if the
// event log is null.
#ifndef MANGOCART_RAFT_RAFTEVENTS_H
#define MANGOCART_RAFT_RAFTEVENTS_H

#include "Raft/RaftTypes.h"

#include <optional>
#include <string>

namespace mangocart {

class EventLog;
struct StorageError;

void reportRole(EventLog *Events, const RoleChanged &Change);
void reportMembers(EventLog *Events, const RaftMembers &Members);
// Reports a full disk repeatedly, but not at each retry of a write.
class DiskFullReporter {
public:
  void report(EventLog *Events, const std::string &DataFolder);

private:
  std::optional<TimePoint> m_LastReport;
};

void reportFailure(EventLog *Events, const StorageError &Error);

} // namespace mangocart

#endif
