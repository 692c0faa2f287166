// Cuts the bytes of an event stream into whole events, so that a caller never
// gets a part of one, and notes the number of the last event.
#ifndef MANGOCART_GATEWAY_EVENTSTREAMSPLITTER_H
#define MANGOCART_GATEWAY_EVENTSTREAMSPLITTER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

class EventStreamCutter {
public:
  // The whole events that the bytes complete; empty if none is.
  std::string take(std::string_view Bytes);

  // Bytes of an event that isn't whole yet.
  std::size_t pendingBytes() const { return m_Pending.size(); }
  // Forgets them, before another backend server goes on.
  void dropPending() { m_Pending.clear(); }
  // The `id` field of the last whole event that had one.
  const std::optional<std::string> &lastId() const { return m_LastId; }

private:
  void noteIds(std::string_view Events);

  std::string m_Pending;
  std::optional<std::string> m_LastId;
};

} // namespace mangocart

#endif
