// Reads the monotonic clock, or a hand-moved reading while paused.
#include "Core/RuntimeClock.h"

#include <atomic>
#include <ctime>

namespace mangocart {

namespace {

constexpr std::int64_t NotPaused = -1;

// Microseconds shown while paused, or NotPaused.
std::atomic<std::int64_t> PausedReading{NotPaused};

std::int64_t monotonicMicroseconds() {
  constexpr std::int64_t MicrosecondsPerSecond = 1000000;
  constexpr std::int64_t NanosecondsPerMicrosecond = 1000;
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  return Reading.tv_sec * MicrosecondsPerSecond +
         Reading.tv_nsec / NanosecondsPerMicrosecond;
}

} // namespace

TimePoint RuntimeClock::now() {
  const std::int64_t Reading = PausedReading.load(std::memory_order_relaxed);
  if (Reading != NotPaused)
    return TimePoint(Duration(Reading));
  return TimePoint(Duration(monotonicMicroseconds()));
}

std::uint64_t RuntimeClock::wallMilliseconds() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  if (paused())
    return duration_cast<milliseconds>(now().time_since_epoch()).count();
  return duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void RuntimeClock::pause() { PausedReading = monotonicMicroseconds(); }

void RuntimeClock::advance(duration By) { PausedReading += By.count(); }

void RuntimeClock::resume() { PausedReading = NotPaused; }

bool RuntimeClock::paused() { return PausedReading != NotPaused; }

} // namespace mangocart
