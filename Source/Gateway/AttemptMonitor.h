// Probes engines that stopped sending data (see SilenceDetector) and notifies
// the attempts that are waiting for them.
#ifndef MANGOCART_GATEWAY_ATTEMPTMONITOR_H
#define MANGOCART_GATEWAY_ATTEMPTMONITOR_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Gateway/SilenceDetector.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace mangocart {

class CallerProtocol;
class EventLog;
class HttpClients;

// Thread-safe; its mutex is a leaf in the lock order.
class AttemptMonitor : public std::enable_shared_from_this<AttemptMonitor> {
public:
  AttemptMonitor(boost::asio::io_context &Worker, HttpClients &Clients,
                 const CallerProtocol &Protocol, EventLog &Events);

  void start();
  // OnSilent runs on the executor while the attempt is monitored, at most once
  // per probe. Returns the attempt's number, for end().
  std::uint64_t begin(const BackendTarget &Target,
                      boost::asio::any_io_executor Executor,
                      std::function<void()> OnSilent);
  void onDataReceived(const BackendTarget &Target);
  void end(const BackendTarget &Target, std::uint64_t Number);

private:
  struct MonitoredAttempt {
    BackendTarget m_Target;
    boost::asio::any_io_executor m_Executor;
    std::function<void()> m_OnSilent;
  };

  void tick();
  void probe(const std::string &Server, const PeerEndpoint &At);
  void onProbeResult(const std::string &Server, bool Responded);

  HttpClients &m_Clients;
  const CallerProtocol &m_Protocol;
  EventLog &m_Events;
  Timer m_Timer;
  std::mutex m_Mutex;
  // The members below are guarded by m_Mutex.
  SilenceDetector m_Detector;
  std::map<std::uint64_t, MonitoredAttempt> m_Attempts;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
