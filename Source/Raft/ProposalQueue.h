// Proposals on their way: waiting to be tried, or appended and waiting for
// their commit.
#ifndef MANGOCART_RAFT_PROPOSALQUEUE_H
#define MANGOCART_RAFT_PROPOSALQUEUE_H

#include "Raft/RaftTypes.h"
#include "Raft/ReplicatedLog.h"

#include <map>
#include <vector>

namespace mangocart {

// How long a proposal waits that nobody took.
constexpr Duration ProposalRetryInterval = std::chrono::milliseconds(30);

// Nothing was appended.
ProposeError noQuorum(std::string Detail);
// The command may have been appended.
ProposeError inDoubt(std::string Detail);

// One command from a caller or from another process.
struct PendingProposal {
  schema::Command m_Command;
  TimePoint m_Deadline;
  ReplicatedLog::ProposeHandler m_Done;
  // Came from another process: only tried here, and only once.
  bool m_Forwarded = false;
  // The machine that it was last forwarded to.
  std::string m_Target;
};

// Only used on the control thread.
class ProposalQueue {
public:
  // Tries again at the given time.
  void retryAt(TimePoint Due, PendingProposal Waiting);
  // Those that are due.
  std::vector<PendingProposal> takeDue(TimePoint Now);

  void appended(LogIndex Index, Term OfTerm, PendingProposal Waiting);
  // The proposal that was appended at the index, and whether it is the entry
  // that was committed there.
  struct Outcome {
    PendingProposal m_Proposal;
    bool m_Committed = false;
  };
  std::optional<Outcome> takeApplied(const RaftEntry &Entry);
  // Those whose outcome can't be told: a snapshot passed over their index, or
  // their deadline is over.
  std::vector<PendingProposal> takeInDoubt(LogIndex SnapshotIndex,
                                           TimePoint Now);

  std::vector<PendingProposal> takeAll();

  // When something becomes due; nothing if nothing waits.
  std::optional<TimePoint> nextDue() const;

private:
  struct Appended {
    Term m_Term = 0;
    PendingProposal m_Proposal;
  };

  std::multimap<TimePoint, PendingProposal> m_Retries;
  std::map<LogIndex, Appended> m_Appended;
  // Not after the deadline of any in m_Appended.
  std::optional<TimePoint> m_NextDeadline;
};

} // namespace mangocart

#endif
