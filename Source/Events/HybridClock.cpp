// Stamps that order events over several machines.
#include "Events/HybridClock.h"

#include "Core/RuntimeClock.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace mangocart {

std::string toString(HybridStamp Stamp) {
  return fmt::format("{}.{:06}", Stamp.m_WallMilliseconds, Stamp.m_Counter);
}

std::optional<HybridStamp> parseHybridStamp(std::string_view Text) {
  HybridStamp Stamp;
  const char *End = Text.data() + Text.size();
  const auto Wall = std::from_chars(Text.data(), End, Stamp.m_WallMilliseconds);
  if (Wall.ec != std::errc() || Wall.ptr == End || *Wall.ptr != '.')
    return std::nullopt;
  const auto Counter = std::from_chars(Wall.ptr + 1, End, Stamp.m_Counter);
  if (Counter.ec != std::errc() || Counter.ptr != End)
    return std::nullopt;
  return Stamp;
}

HybridStamp HybridClock::now() {
  const std::uint64_t Wall = RuntimeClock::wallMilliseconds();
  const std::lock_guard Lock(m_Mutex);
  if (Wall > m_Last.m_WallMilliseconds)
    m_Last = {Wall, 0};
  else
    ++m_Last.m_Counter;
  return m_Last;
}

void HybridClock::observe(HybridStamp Seen) {
  const std::lock_guard Lock(m_Mutex);
  m_Last = std::max(m_Last, Seen);
}

} // namespace mangocart
