// Probes of silent engines.
#include "Gateway/AttemptMonitor.h"

#include "Core/PostTask.h"
#include "Events/EventLog.h"
#include "Gateway/CallerProtocol.h"
#include "Http/HttpClients.h"

namespace mangocart {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(100);
// 200 times the network delay between zones, and below the 1 s after which a
// lost packet is retransmitted.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

} // namespace

AttemptMonitor::AttemptMonitor(boost::asio::io_context &Worker,
                               HttpClients &Clients,
                               const CallerProtocol &Protocol, EventLog &Events)
    : m_Clients(Clients), m_Protocol(Protocol), m_Events(Events),
      m_Timer(Worker) {}

void AttemptMonitor::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

std::uint64_t AttemptMonitor::begin(const BackendTarget &Target,
                                    boost::asio::any_io_executor Executor,
                                    std::function<void()> OnSilent) {
  const std::lock_guard Lock(m_Mutex);
  recordAttempt(m_Detector, Target.m_Name, Target.m_Service,
                RuntimeClock::now());
  m_Attempts.emplace(
      ++m_LastNumber,
      MonitoredAttempt{Target, std::move(Executor), std::move(OnSilent)});
  return m_LastNumber;
}

void AttemptMonitor::onDataReceived(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  recordActivity(m_Detector, Target.m_Name, RuntimeClock::now());
}

void AttemptMonitor::end(const BackendTarget &Target, std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Attempts.erase(Number) > 0)
    recordAttemptEnd(m_Detector, Target.m_Name);
}

void AttemptMonitor::tick() {
  std::map<std::string, PeerEndpoint> Suspects;
  {
    const std::lock_guard Lock(m_Mutex);
    for (const std::string &Server :
         serversToProbe(m_Detector, RuntimeClock::now()))
      for (const auto &[Number, Each] : m_Attempts)
        if (Each.m_Target.m_Name == Server)
          Suspects[Server] = Each.m_Target.m_Agent;
  }
  for (const auto &[Server, At] : Suspects)
    probe(Server, At);
  m_Timer.expires_after(CheckInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

// Any response shows that the engine is running. An accepted connection does
// not: the kernel of a machine whose processes are frozen may still accept
// connections.
void AttemptMonitor::probe(const std::string &Server, const PeerEndpoint &At) {
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [](const HttpHead &) {};
  Handlers.m_OnBody = [](std::string_view) {};
  Handlers.m_OnEnd = [Self = shared_from_this(), Server] {
    Self->onProbeResult(Server, true);
  };
  Handlers.m_OnError = [Self = shared_from_this(), Server](const HttpError &) {
    Self->onProbeResult(Server, false);
  };
  m_Clients.on(m_Timer.get_executor())
      .send({At.m_Address, At.m_Port}, m_Protocol.livenessProbe(), ProbeTimeout,
            std::move(Handlers));
}

void AttemptMonitor::onProbeResult(const std::string &Server, bool Responded) {
  const std::lock_guard Lock(m_Mutex);
  if (!recordProbeResult(m_Detector, Server, Responded, RuntimeClock::now()))
    return;
  std::uint64_t Attempts = 0;
  for (const auto &[Number, Each] : m_Attempts)
    if (Each.m_Target.m_Name == Server) {
      ++Attempts;
      postTask(Each.m_Executor, Each.m_OnSilent);
    }
  m_Events.write(Event::BackendServerSilent,
                 {{"backend_server", Server}, {"attempts", Attempts}});
}

} // namespace mangocart
