// Splits the bytes of an event stream at event boundaries, so that only
// complete events are forwarded, and tracks the ID of the last complete event.
#ifndef MANGOCART_GATEWAY_EVENTSTREAMSPLITTER_H
#define MANGOCART_GATEWAY_EVENTSTREAMSPLITTER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

class EventStreamSplitter {
public:
  // Appends the bytes and returns all events that are now complete; empty if
  // none is.
  std::string take(std::string_view Bytes);

  // Size of the incomplete event at the end.
  std::size_t pendingBytes() const { return m_Pending.size(); }
  // Discards the incomplete event before another backend server continues the
  // stream.
  void discardPending() { m_Pending.clear(); }
  // The `id` field of the last complete event that had one.
  const std::optional<std::string> &lastId() const { return m_LastId; }

private:
  void noteIds(std::string_view Events);

  std::string m_Pending;
  std::optional<std::string> m_LastId;
};

} // namespace mangocart

#endif
