// Signals that stop a daemon.
#include "Daemon/StopSignals.h"

#include <csignal>

namespace mangocart {

StopSignals::StopSignals(boost::asio::io_context &Worker,
                         std::function<void()> OnFirst,
                         std::function<void()> OnSecond)
    : m_Signals(Worker, SIGTERM, SIGINT), m_OnFirst(std::move(OnFirst)),
      m_OnSecond(std::move(OnSecond)) {
  wait();
}

void StopSignals::wait() {
  m_Signals.async_wait([this](boost::system::error_code Error, int) {
    if (Error)
      return;
    if (m_OnFirst)
      std::exchange(m_OnFirst, nullptr)();
    else
      return m_OnSecond();
    wait();
  });
}

} // namespace mangocart
