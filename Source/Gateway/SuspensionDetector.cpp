// Ticks at a steady interval, and gaps between them.
#include "Gateway/SuspensionDetector.h"

#include "Core/PostTask.h"

namespace mangocart {

namespace {

// A longer gap is no delay of a timer.
constexpr Duration MaxGap = std::chrono::milliseconds(250);

} // namespace

void recordTick(SuspensionState &State, TimePoint Now) {
  if (Now - State.m_LastTick > MaxGap)
    State.m_LastEnd = Now;
  State.m_LastTick = Now;
}

bool wasSuspended(const SuspensionState &State, TimePoint Since,
                  TimePoint Now) {
  return Now - State.m_LastTick > MaxGap || State.m_LastEnd >= Since;
}

SuspensionDetector::SuspensionDetector(boost::asio::io_context &Worker)
    : m_Timer(Worker) {
  m_State.m_LastTick = RuntimeClock::now();
}

void SuspensionDetector::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

bool SuspensionDetector::wasSuspended(TimePoint Since) const {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::wasSuspended(m_State, Since, RuntimeClock::now());
}

void SuspensionDetector::tick() {
  {
    const std::lock_guard Lock(m_Mutex);
    recordTick(m_State, RuntimeClock::now());
  }
  m_Timer.expires_after(SuspensionTickInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

} // namespace mangocart
