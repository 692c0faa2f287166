// Start, service and drain of the agent.
#include "Agent/AgentDaemon.h"

#include "Agent/CallCarrier.h"
#include "Agent/OrderService.h"
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/StopSignals.h"
#include "Net/UnaryMethod.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace {

constexpr const char *CallMethod = "/agent/call";
constexpr const char *RevokeMethod = "/agent/revoke";
constexpr const char *DrainMethod = "/agent/drain";
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
      m_Drain(
          m_Workers.worker(0),
          [this] {
            DrainLimits Limits;
            Limits.m_Maximum =
                std::chrono::milliseconds(m_Settings.drain_max_ms());
            return Limits;
          }(),
          drainActions()) {
  m_Announcer = std::make_shared<Announcer>(
      m_Settings, m_Workers, m_Peers, m_Configuration, Incarnation,
      [this] { return load(); },
      [this](std::uint64_t Higher) { m_Guard.raiseIncarnation(Higher); });
  m_Probe = std::make_shared<BackendProbe>(
      m_Context, [this] { m_Announcer->announceNow(); });
  m_Orders =
      std::make_shared<OrderService>(m_Context, m_Peers, m_Configuration);
}

AgentDaemon::~AgentDaemon() { m_Workers.stop(); }

int AgentDaemon::run() {
  addMethods();
  if (!listen())
    return ExitFailed;
  StopSignals Signals(
      m_Workers.worker(0), [this] { m_Drain.request(); },
      [this] { m_Exit.open(ExitFailed); });
  m_Probe->start();
  m_Announcer->start();
  m_Orders->start();
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
  m_Orders->addMethod(m_Server);
  m_Server.addMethod(CallMethod, [this](std::shared_ptr<PeerStream> Stream) {
    CallCarrier::accept(m_Context, std::move(Stream));
  });
  addUnaryMethod<schema::RevokeRequest>(
      m_Server, RevokeMethod, [this](const schema::RevokeRequest &Request) {
        return m_Guard.revoke(Request);
      });
  addUnaryMethod<schema::DrainRequest>(m_Server, DrainMethod,
                                       [this](const schema::DrainRequest &) {
                                         m_Drain.request();
                                         return schema::DrainReply();
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

DrainActions AgentDaemon::drainActions() {
  DrainActions Actions;
  Actions.m_Outstanding = [this] {
    return m_Guard.outstanding() + m_Orders->running();
  };
  Actions.m_AnnounceLeaving = [this] {
    m_Events.write(Event::ProcessStopping,
                   {{"outstanding", m_Guard.outstanding()}});
    m_State = schema::Announcement::LEAVING;
    m_Guard.startLeaving();
    m_Orders->startLeaving();
    m_Announcer->announceNow();
  };
  // Entries that have not heard yet are refused with proof, not disconnected.
  Actions.m_CloseListener = [] {};
  Actions.m_AnnounceLeft = [this] {
    m_State = schema::Announcement::LEFT;
    m_Announcer->announceNow();
  };
  Actions.m_Exit = [this](std::size_t CutOff) {
    m_Exit.open(CutOff == 0 ? ExitOk : ExitFailed);
  };
  return Actions;
}

} // namespace mangocart
