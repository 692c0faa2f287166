// Assigns free slots to waiting requests.
#include "Standin/SlotQueue.h"

namespace mangocart {

SlotQueue::Ticket SlotQueue::acquire(std::int64_t Priority,
                                     std::function<void()> Start) {
  const Ticket NewTicket{Priority, m_Arrivals++};
  if (m_Running < m_Slots) {
    ++m_Running;
    Start();
  } else {
    m_Waiting.emplace(NewTicket, std::move(Start));
  }
  return NewTicket;
}

void SlotQueue::release() {
  if (m_Waiting.empty()) {
    --m_Running;
    return;
  }
  // The slot is handed to the next request, so m_Running stays the same.
  const auto Start = std::move(m_Waiting.begin()->second);
  m_Waiting.erase(m_Waiting.begin());
  Start();
}

} // namespace mangocart
