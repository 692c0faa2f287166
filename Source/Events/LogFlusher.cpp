// The flushing thread of the event log.
#include "Events/LogFlusher.h"

#include <utility>

namespace mangocart {

LogFlusher::LogFlusher(std::function<void()> Flush)
    : m_Flush(std::move(Flush)),
      m_Thread([this](const std::stop_token &Stop) { run(Stop); }) {}

LogFlusher::~LogFlusher() = default;

void LogFlusher::run(const std::stop_token &Stop) {
  std::unique_lock Lock(m_Mutex);
  while (!Stop.stop_requested()) {
    m_Wakeup.wait_for(Lock, Stop, Interval, [] { return false; });
    if (m_Dirty.exchange(false, std::memory_order_acq_rel))
      m_Flush();
  }
}

} // namespace mangocart
