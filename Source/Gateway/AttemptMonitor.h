// Asks engines that have gone silent (SilenceWatch) for a sign of life and
// tells the attempts that wait there.
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

// Safe to use from any thread; its mutex is a leaf of the lock order.
class AttemptWatch : public std::enable_shared_from_this<AttemptWatch> {
public:
  AttemptWatch(boost::asio::io_context &Worker, HttpClients &Clients,
               const CallerProtocol &Protocol, EventLog &Events);

  void start();
  // OnSilent runs on the executor, while the attempt is watched, at most once a
  // probe. Returns the attempt's number.
  std::uint64_t begin(const BackendTarget &Target,
                      boost::asio::any_io_executor Executor,
                      std::function<void()> OnSilent);
  void heard(const BackendTarget &Target);
  void end(const BackendTarget &Target, std::uint64_t Number);

private:
  struct Watched {
    BackendTarget m_Target;
    boost::asio::any_io_executor m_Executor;
    std::function<void()> m_OnSilent;
  };

  void tick();
  void probe(const std::string &Server, const PeerEndpoint &At);
  void probed(const std::string &Server, bool Answered);

  HttpClients &m_Clients;
  const CallerProtocol &m_Protocol;
  EventLog &m_Events;
  Timer m_Timer;
  std::mutex m_Mutex;
  // Guarded by m_Mutex, as what follows.
  SilenceWatch m_Watch;
  std::map<std::uint64_t, Watched> m_Attempts;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
