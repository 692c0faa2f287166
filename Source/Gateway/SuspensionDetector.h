// Detects that this process was suspended, with its machine or alone, or got no
// processor time. What arrived meanwhile is read late, so that the end of a
// connection may be much older than it seems.
#ifndef MANGOCART_GATEWAY_SUSPENSIONDETECTOR_H
#define MANGOCART_GATEWAY_SUSPENSIONDETECTOR_H

#include "Core/Timer.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>

namespace mangocart {

struct SuspensionState {
  TimePoint m_LastTick;
  // End of the last gap between ticks that was a suspension; the lowest time if
  // there was none.
  TimePoint m_LastEnd = TimePoint::min();

  bool operator==(const SuspensionState &) const = default;
};

constexpr Duration SuspensionTickInterval = std::chrono::milliseconds(100);

void recordTick(SuspensionState &State, TimePoint Now);
// Whether the process was suspended and went on after Since, or is only just
// going on: then the last tick is too old.
bool wasSuspended(const SuspensionState &State, TimePoint Since, TimePoint Now);

// Thread-safe.
class SuspensionDetector
    : public std::enable_shared_from_this<SuspensionDetector> {
public:
  explicit SuspensionDetector(boost::asio::io_context &Worker);
  void start();
  bool wasSuspended(TimePoint Since) const;

private:
  void tick();

  Timer m_Timer;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  SuspensionState m_State;
};

} // namespace mangocart

#endif
