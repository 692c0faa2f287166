// Waits for SIGTERM and SIGINT: the first begins a graceful stop, the second
// ends the process at once.
#ifndef MANGOCART_DAEMON_STOPSIGNALS_H
#define MANGOCART_DAEMON_STOPSIGNALS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>

namespace mangocart {

class StopSignals {
public:
  // Both handlers run on the worker.
  StopSignals(boost::asio::io_context &Worker, std::function<void()> OnFirst,
              std::function<void()> OnSecond);

private:
  void wait();

  boost::asio::signal_set m_Signals;
  std::function<void()> m_OnFirst;
  std::function<void()> m_OnSecond;
};

} // namespace mangocart

#endif
