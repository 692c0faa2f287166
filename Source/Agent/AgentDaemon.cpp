// Start, service and drain of the agent.
#include "Agent/AgentDaemon.h"

#include "Agent/CallCarrier.h"
#include "Daemon/StopSignals.h"
#include "Net/UnaryMethod.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace {

constexpr const char *CallMethod = "/agent/call";
constexpr const char *RevokeMethod = "/agent/revoke";
constexpr Duration DrainLookInterval = std::chrono::milliseconds(50);
// Entries learn of the leaving from the next announcement; calls that they sent
// before are refused with proof, so this is only to spare them a try.
constexpr Duration MinimumDrain = std::chrono::milliseconds(1500);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

} // namespace

AgentDaemon::AgentDaemon(schema::AgentSettings Settings,
                         std::uint64_t Incarnation)
    : m_Settings(std::move(Settings)), m_Workers(m_Settings.workers()),
      m_Events({"agent", m_Settings.name(), m_Settings.availability_zone()},
               m_Settings.log_file()),
      m_Guard(Incarnation,
              [this] {
                GuardLimits Limits;
                Limits.m_MaxOutstanding = m_Settings.max_outstanding();
                return Limits;
              }()),
      m_Clients(m_Workers), m_Context{m_Settings, m_Workers, m_Events,
                                      m_Clients,  m_Guard,   m_Counters},
      m_Peers(m_Workers), m_Server(m_Workers),
      m_Admin(m_Workers, HttpLimits{},
              [this](const std::shared_ptr<HttpExchange> &Exchange) {
                answerAdmin(*Exchange);
              }),
      m_DrainTimer(m_Workers.worker(0)) {
  m_Announcer = std::make_shared<Announcer>(
      m_Settings, m_Workers, m_Peers, m_Configuration, Incarnation,
      [this] { return load(); },
      [this](std::uint64_t Higher) { m_Guard.raiseIncarnation(Higher); });
  m_Probe = std::make_shared<BackendProbe>(
      m_Context, [this] { m_Announcer->announceNow(); });
}

AgentDaemon::~AgentDaemon() { m_Workers.stop(); }

int AgentDaemon::run() {
  addMethods();
  if (!listen())
    return 1;
  StopSignals Signals(
      m_Workers.worker(0), [this] { startLeaving(); },
      [this] { m_Exit.open(1); });
  m_Probe->start();
  m_Announcer->start();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted, {{"address", m_Settings.address()},
                                         {"peer_port", m_Settings.peer_port()},
                                         {"service", m_Settings.service()}});
  const int ExitCode = m_Exit.wait();
  m_Events.write(Event::ProcessStopped, {{"exit_code", ExitCode}});
  m_Workers.stop();
  return ExitCode;
}

bool AgentDaemon::listen() {
  const auto Peers = m_Server.listen(
      m_Settings.address(), static_cast<std::uint16_t>(m_Settings.peer_port()));
  if (!Peers) {
    m_Events.write(Event::ListenFailed, {{"detail", Peers.error().m_Detail}});
    return false;
  }
  const auto Admin =
      m_Admin.listen(m_Settings.address(),
                     static_cast<std::uint16_t>(m_Settings.admin_port()));
  if (!Admin)
    m_Events.write(Event::ListenFailed, {{"detail", Admin.error().m_Detail}});
  return Admin.has_value();
}

void AgentDaemon::addMethods() {
  m_Server.addMethod(CallMethod, [this](std::shared_ptr<PeerStream> Stream) {
    CallCarrier::accept(m_Context, std::move(Stream));
  });
  addUnaryMethod<schema::RevokeRequest>(
      m_Server, RevokeMethod, [this](const schema::RevokeRequest &Request) {
        return m_Guard.revoke(Request);
      });
}

AnnouncedLoad AgentDaemon::load() const {
  const BackendReport Report = m_Probe->report();
  AnnouncedLoad Load;
  Load.m_State = m_State;
  if (Load.m_State == schema::Announcement::SERVING && !Report.m_Available)
    Load.m_State = schema::Announcement::UNAVAILABLE;
  Load.m_Outstanding = static_cast<std::uint32_t>(m_Guard.outstanding());
  Load.m_ReportedLoad = Report.m_Load;
  Load.m_ReportAgeMilliseconds = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          RuntimeClock::now() - Report.m_MeasuredAt)
          .count());
  return Load;
}

void AgentDaemon::answerAdmin(HttpExchange &Exchange) const {
  HttpResponse Response;
  Response.m_Head.m_Headers = {{"Content-Type", "text/plain"}};
  if (Exchange.request().m_Target == "/health") {
    const bool Serving = load().m_State == schema::Announcement::SERVING;
    Response.m_Head.m_Status = Serving ? StatusOk : StatusUnavailable;
    Response.m_Body = Serving ? "serving\n" : "not serving\n";
  } else if (Exchange.request().m_Target == "/metrics") {
    Response.m_Body = metricsPage();
  } else {
    Response.m_Head.m_Status = StatusNotFound;
    Response.m_Body = "pages: /health, /metrics\n";
  }
  Exchange.respond(std::move(Response));
}

std::string AgentDaemon::metricsPage() const {
  const PeerClient::Traffic Traffic = m_Peers.traffic();
  return fmt::format("# TYPE mangocart_agent_calls_total counter\n"
                     "mangocart_agent_calls_total {}\n"
                     "# TYPE mangocart_agent_refused_total counter\n"
                     "mangocart_agent_refused_total {}\n"
                     "# TYPE mangocart_agent_broken_total counter\n"
                     "mangocart_agent_broken_total {}\n"
                     "# TYPE mangocart_agent_outstanding gauge\n"
                     "mangocart_agent_outstanding {}\n"
                     "# TYPE mangocart_agent_configuration_version gauge\n"
                     "mangocart_agent_configuration_version {}\n"
                     "# TYPE mangocart_peer_bytes_sent_total counter\n"
                     "mangocart_peer_bytes_sent_total {}\n"
                     "# TYPE mangocart_peer_bytes_received_total counter\n"
                     "mangocart_peer_bytes_received_total {}\n",
                     m_Counters.m_Calls.load(), m_Counters.m_Refused.load(),
                     m_Counters.m_Broken.load(), m_Guard.outstanding(),
                     m_Configuration.version(), Traffic.m_BytesSent,
                     Traffic.m_BytesReceived);
}

void AgentDaemon::startLeaving() {
  m_Events.write(Event::ProcessStopping,
                 {{"outstanding", m_Guard.outstanding()}});
  m_State = schema::Announcement::LEAVING;
  m_Guard.startLeaving();
  m_Announcer->announceNow();
  m_DrainStarted = RuntimeClock::now();
  waitUntilIdle();
}

void AgentDaemon::waitUntilIdle() {
  m_DrainTimer.expires_after(DrainLookInterval);
  m_DrainTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    const Duration Spent = RuntimeClock::now() - m_DrainStarted;
    const bool Idle = m_Guard.outstanding() == 0 && Spent >= MinimumDrain;
    const Duration Longest =
        std::chrono::milliseconds(m_Settings.drain_max_ms());
    if (Idle || Spent >= Longest)
      return stop();
    waitUntilIdle();
  });
}

void AgentDaemon::stop() {
  const bool Clean = m_Guard.outstanding() == 0;
  m_State = schema::Announcement::LEFT;
  m_Announcer->announceNow();
  // Time for the last announcement and the last answers to leave the sockets.
  constexpr Duration LastWords = std::chrono::milliseconds(200);
  m_DrainTimer.expires_after(LastWords);
  m_DrainTimer.async_wait(
      [this, Clean](boost::system::error_code) { m_Exit.open(Clean ? 0 : 1); });
}

} // namespace mangocart
