// Asio timer on the runtime's clock. While tests hold the clock still, a
// waiting timer looks again at short intervals so that an advance is noticed.
#ifndef MANGOCART_CORE_TIMER_H
#define MANGOCART_CORE_TIMER_H

#include "Core/RuntimeClock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace mangocart {

struct TimerWaitTraits {
  static constexpr Duration PausedLookInterval = std::chrono::milliseconds(1);
  // Asio waits by a clock that stands still while the machine is suspended:
  // timers are looked at this often, so that one that came due meanwhile fires
  // soon after the machine wakes.
  static constexpr Duration LongestWait = std::chrono::milliseconds(500);

  static Duration to_wait_duration(const Duration &Left) {
    return std::min(Left,
                    RuntimeClock::paused() ? PausedLookInterval : LongestWait);
  }
  static Duration to_wait_duration(const TimePoint &Due) {
    const TimePoint Now = RuntimeClock::now();
    return Due <= Now ? Duration::zero() : to_wait_duration(Due - Now);
  }
};

using Timer = boost::asio::basic_waitable_timer<RuntimeClock, TimerWaitTraits>;

} // namespace mangocart

#endif
