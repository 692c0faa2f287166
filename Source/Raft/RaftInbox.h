// Queue of messages and proposals from other threads, which the control thread
// takes in batches.
#ifndef MANGOCART_RAFT_RAFTINBOX_H
#define MANGOCART_RAFT_RAFTINBOX_H

#include "Raft/ProposalQueue.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace mangocart {

// All functions but wait() and take() may be called from any thread. No other
// lock is taken while its mutex is held.
class RaftInbox {
public:
  struct Batch {
    std::vector<RaftMessage> m_Messages;
    std::vector<PendingProposal> m_Proposals;
    // Set if the process was asked to stop.
    std::function<void()> m_OnMayStop;
  };

  // Returns false, with the proposal unchanged, once the inbox is closed.
  bool add(PendingProposal &Proposal);
  void add(RaftMessage Message);
  void addStop(std::function<void()> OnMayStop);
  // Makes wait() return even if nothing was added.
  void wake();
  void close();

  // Blocks until there is input or the time has come; returns false once the
  // inbox is closed.
  bool wait(TimePoint Due);
  // Blocks until the time has come or the inbox is closed; returns false if it
  // is closed.
  bool waitUnlessClosed(TimePoint Due);
  // Everything added since the last call.
  Batch take();

private:
  std::mutex m_Mutex;
  std::condition_variable m_Condition;
  // Guarded by m_Mutex.
  Batch m_Batch;
  bool m_Woken = false;
  bool m_Closed = false;
};

} // namespace mangocart

#endif
