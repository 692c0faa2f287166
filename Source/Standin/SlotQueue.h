// Limits the number of requests that are processed concurrently. Further
// requests are queued by priority, and within a priority in order of arrival.
#ifndef MANGOCART_STANDIN_SLOTQUEUE_H
#define MANGOCART_STANDIN_SLOTQUEUE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace mangocart {

class SlotQueue {
public:
  explicit SlotQueue(std::size_t Slots) : m_Slots(Slots) {}

  // Queue position of a waiting request; the smallest runs first.
  struct Ticket {
    std::int64_t m_Priority = 0;
    std::uint64_t m_Arrival = 0;

    // Higher priority comes first.
    bool operator<(const Ticket &Other) const {
      if (m_Priority != Other.m_Priority)
        return m_Priority > Other.m_Priority;
      return m_Arrival < Other.m_Arrival;
    }
    bool operator==(const Ticket &) const = default;
  };

  // Calls Start when a slot is free, immediately if one is free now. The slot
  // is held until release().
  Ticket acquire(std::int64_t Priority, std::function<void()> Start);
  void release();
  // Removes a request from the queue; returns false if it was started already.
  bool cancel(const Ticket &Queued) { return m_Waiting.erase(Queued) > 0; }

  std::size_t running() const { return m_Running; }
  std::size_t waiting() const { return m_Waiting.size(); }

private:
  // Invariant: m_Running <= m_Slots, and m_Waiting is empty while a slot is
  // free.
  std::size_t m_Slots;
  std::size_t m_Running = 0;
  std::uint64_t m_Arrivals = 0;
  std::map<Ticket, std::function<void()>> m_Waiting;
};

} // namespace mangocart

#endif
