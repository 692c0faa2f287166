// What other threads hand to the control thread, which takes it in batches.
#ifndef MANGOCART_RAFT_RAFTINBOX_H
#define MANGOCART_RAFT_RAFTINBOX_H

#include "Raft/ProposalQueue.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace mangocart {

// From any thread, but for wait() and take(). Its mutex is a leaf of the lock
// order.
class RaftInbox {
public:
  struct Batch {
    std::vector<RaftMessage> m_Messages;
    std::vector<PendingProposal> m_Proposals;
  };

  // False, with the proposal untouched, once the inbox is closed.
  bool add(PendingProposal &Proposal);
  void add(RaftMessage Message);
  // Ends a wait although nothing was added.
  void wake();
  void close();

  // Until something is there or the time is due; false once it is closed.
  bool wait(TimePoint Due);
  // Everything since the last call.
  Batch take();

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  // Guarded by m_Mutex.
  Batch m_Batch;
  bool m_Woken = false;
  bool m_Closed = false;
};

} // namespace mangocart

#endif
