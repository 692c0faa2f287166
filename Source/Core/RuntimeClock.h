// The clock that every timer and every decision of the system reads. Tests
// pause it and advance it by hand; in a running process it is the monotonic
// clock that goes on while the machine is suspended, so that a lease or a
// deadline has passed when the machine wakes.
#ifndef MANGOCART_CORE_RUNTIMECLOCK_H
#define MANGOCART_CORE_RUNTIMECLOCK_H

#include <chrono>
#include <cstdint>

namespace mangocart {

class RuntimeClock {
public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;

  static time_point now();

  // Wall time in milliseconds since 1970, for stamps in logs and for expiry in
  // the replicated state; follows now() while the clock is paused.
  static std::uint64_t wallMilliseconds();

  // Stops the clock at its present reading; only advance() moves it then.
  static void pause();
  static void advance(duration By);
  static void resume();
  static bool paused();
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

} // namespace mangocart

#endif
