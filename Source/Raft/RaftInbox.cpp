// Queue of the control thread, protected by one mutex.
#include "Raft/RaftInbox.h"

#include "Core/Timer.h"

#include <utility>

namespace mangocart {

bool RaftInbox::add(PendingProposal &Proposal) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return false;
  m_Batch.m_Proposals.push_back(std::move(Proposal));
  m_Condition.notify_one();
  return true;
}

void RaftInbox::add(RaftMessage Message) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Closed)
    return;
  m_Batch.m_Messages.push_back(std::move(Message));
  m_Condition.notify_one();
}

void RaftInbox::addStop(std::function<void()> OnMayStop) {
  const std::lock_guard Lock(m_Mutex);
  m_Batch.m_OnMayStop = std::move(OnMayStop);
  m_Woken = true;
  m_Condition.notify_one();
}

void RaftInbox::wake() {
  const std::lock_guard Lock(m_Mutex);
  m_Woken = true;
  m_Condition.notify_one();
}

void RaftInbox::close() {
  const std::lock_guard Lock(m_Mutex);
  m_Closed = true;
  m_Condition.notify_one();
}

bool RaftInbox::wait(TimePoint Due) {
  std::unique_lock Lock(m_Mutex);
  const bool Idle =
      m_Batch.m_Messages.empty() && m_Batch.m_Proposals.empty() && !m_Woken;
  if (Idle && !m_Closed)
    m_Condition.wait_for(Lock, TimerWaitTraits::to_wait_duration(Due));
  return !m_Closed;
}

bool RaftInbox::waitUnlessClosed(TimePoint Due) {
  std::unique_lock Lock(m_Mutex);
  while (!m_Closed && RuntimeClock::now() < Due)
    m_Condition.wait_for(Lock, TimerWaitTraits::to_wait_duration(Due));
  return !m_Closed;
}

RaftInbox::Batch RaftInbox::take() {
  const std::lock_guard Lock(m_Mutex);
  m_Woken = false;
  return std::exchange(m_Batch, {});
}

} // namespace mangocart
