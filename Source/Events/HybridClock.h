// Hybrid logical clock: wall time in milliseconds and a counter. A stamp taken
// after another one was observed is always greater, even when the machines'
// wall clocks differ.
#ifndef MANGOCART_EVENTS_HYBRIDCLOCK_H
#define MANGOCART_EVENTS_HYBRIDCLOCK_H

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

struct HybridStamp {
  std::uint64_t m_WallMilliseconds = 0;
  std::uint32_t m_Counter = 0;

  auto operator<=>(const HybridStamp &) const = default;
};

// "<milliseconds>.<counter>"; the counter has six digits, so that equal
// milliseconds sort as text too.
std::string toString(HybridStamp Stamp);
std::optional<HybridStamp> parseHybridStamp(std::string_view Text);

class HybridClock {
public:
  HybridStamp now();
  // Moves the clock past a stamp that another process sent.
  void observe(HybridStamp Seen);

private:
  std::mutex m_Mutex;
  // Never goes back; guarded by m_Mutex.
  HybridStamp m_Last;
};

} // namespace mangocart

#endif
