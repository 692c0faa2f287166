// Pending proposals: waiting for a retry, or appended and waiting to be
// committed.
#ifndef MANGOCART_RAFT_PROPOSALQUEUE_H
#define MANGOCART_RAFT_PROPOSALQUEUE_H

#include "Raft/RaftTypes.h"
#include "Raft/ReplicatedLog.h"

#include <map>
#include <vector>

namespace mangocart {

// Delay before a proposal that no leader accepted is retried.
constexpr Duration ProposalRetryInterval = std::chrono::milliseconds(30);

// The command was not appended.
ProposeError noQuorum(std::string Detail);
// The command may have been appended.
ProposeError inDoubt(std::string Detail);

// A command proposed by a local caller or forwarded by another process.
struct PendingProposal {
  schema::Command m_Command;
  TimePoint m_Deadline;
  ReplicatedLog::ProposeHandler m_Handler;
  // Forwarded by another process: proposed only on this node, and only once.
  bool m_Forwarded = false;
  // The node that it was last forwarded to.
  std::string m_Target;
};

// Used only on the control thread.
class ProposalQueue {
public:
  // Keeps the proposal until the given time.
  void scheduleRetry(TimePoint Due, PendingProposal Pending);
  // Removes and returns the proposals whose retry time has passed.
  std::vector<PendingProposal> takeDue(TimePoint Now);

  void addAppended(LogIndex Index, Term EntryTerm, PendingProposal Pending);
  // The proposal that was appended at the entry's index, and whether the
  // committed entry is its own.
  struct Outcome {
    PendingProposal m_Proposal;
    bool m_Committed = false;
  };
  std::optional<Outcome> takeApplied(const RaftEntry &Entry);
  // Removes the proposals whose outcome cannot be determined: a snapshot covers
  // their index, or their deadline has passed.
  std::vector<PendingProposal> takeInDoubt(LogIndex SnapshotIndex,
                                           TimePoint Now);

  std::vector<PendingProposal> takeAll();

  // The next retry time or deadline; nothing if no proposal is pending.
  std::optional<TimePoint> nextDue() const;

private:
  struct AppendedProposal {
    Term m_Term = 0;
    PendingProposal m_Proposal;
  };

  std::multimap<TimePoint, PendingProposal> m_Retries;
  std::map<LogIndex, AppendedProposal> m_Appended;
  // A lower bound of the deadlines in m_Appended.
  std::optional<TimePoint> m_NextDeadline;
};

} // namespace mangocart

#endif
