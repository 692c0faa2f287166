// Startup, request handling and drain of the agent process.
#include "Agent/AgentDaemon.h"

#include "Agent/CallForwarder.h"
#include "Agent/OrderService.h"
#include "Daemon/DaemonParts.h"
#include "Daemon/StartEvents.h"
#include "Daemon/StopSignals.h"
#include "Net/UnaryMethod.h"

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
                         std::uint64_t Incarnation,
                         const SettingsWarnings &Warnings)
    : m_Settings(std::move(Settings)), m_Workers(m_Settings.workers()),
      m_Events({"agent", m_Settings.name(), m_Settings.availability_zone()},
               m_Settings.log_file()),
      m_Guard(Incarnation,
              [this] {
                GuardLimits Limits;
                Limits.m_MaxOutstanding = m_Settings.max_outstanding();
                return Limits;
              }()),
      m_Counters(m_Metrics),
      m_Clients(m_Workers, agentClientOptions()), m_Context{m_Settings,
                                                            m_Workers,
                                                            m_Events,
                                                            m_Clients,
                                                            m_Guard,
                                                            m_Counters},
      m_Peers(m_Workers), m_Server(m_Workers),
      m_Admin(m_Workers, HttpLimits{},
              [this](const std::shared_ptr<HttpExchange> &Exchange) {
                handleAdminRequest(*Exchange);
              }),
      m_Drain(
          m_Workers.worker(0),
          [this] {
            DrainLimits Limits;
            Limits.m_MaxDuration =
                std::chrono::milliseconds(m_Settings.drain_max_ms());
            return Limits;
          }(),
          drainActions()) {
  noteDeprecated(m_Events, Warnings);
  addMetrics();
  m_Announcer = std::make_shared<Announcer>(
      m_Settings, m_Workers, m_Peers, m_Configuration, Incarnation,
      [this] { return currentLoad(); },
      [this](std::uint64_t Newer) { m_Guard.raiseIncarnation(Newer); });
  m_Probe = std::make_shared<BackendProbe>(
      m_Context, [this] { m_Announcer->announceNow(); });
  m_Orders =
      std::make_shared<OrderService>(m_Context, m_Peers, m_Configuration);
}

AgentDaemon::~AgentDaemon() { m_Workers.stop(); }

ExitCode AgentDaemon::run() {
  addMethods();
  if (!listen())
    return ExitCode::Failed;
  StopSignals Signals(
      m_Workers.worker(0), [this] { m_Drain.request(); },
      [this] { m_Exit.open(ExitCode::Failed); });
  m_Probe->start();
  m_Announcer->start();
  m_Orders->start();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted, {{"address", m_Settings.address()},
                                         {"peer_port", m_Settings.peer_port()},
                                         {"service", m_Settings.service()}});
  return serveUntilExit(m_Exit, m_Events, m_Workers);
}

bool AgentDaemon::listen() {
  const auto Open = [this](auto &Server, std::uint32_t Port) {
    return isListening(
        m_Events,
        Server.listen(m_Settings.address(), static_cast<std::uint16_t>(Port)));
  };
  return Open(m_Server, m_Settings.peer_port()) &&
         Open(m_Admin, m_Settings.admin_port());
}

void AgentDaemon::addMethods() {
  m_Orders->addMethod(m_Server);
  m_Server.addMethod(CallMethod, [this](std::shared_ptr<PeerStream> Stream) {
    CallForwarder::accept(m_Context, std::move(Stream));
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

AnnouncedLoad AgentDaemon::currentLoad() const {
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

void AgentDaemon::handleAdminRequest(HttpExchange &Exchange) const {
  HttpResponse Response;
  Response.m_Head.m_Headers = {{"Content-Type", "text/plain"}};
  if (Exchange.request().m_Target == "/health") {
    const bool Serving = currentLoad().m_State == schema::Announcement::SERVING;
    Response.m_Head.m_Status = Serving ? StatusOk : StatusUnavailable;
    Response.m_Body = Serving ? "serving\n" : "not serving\n";
  } else if (Exchange.request().m_Target == "/metrics") {
    Response.m_Body = m_Metrics.expose(RuntimeClock::now());
  } else {
    Response.m_Head.m_Status = StatusNotFound;
    Response.m_Body = "pages: /health, /metrics\n";
  }
  Exchange.respond(std::move(Response));
}

void AgentDaemon::addMetrics() {
  AgentMetricSources Sources;
  Sources.m_Outstanding = [this] { return m_Guard.outstanding(); };
  Sources.m_ConfigurationVersion = [this] { return m_Configuration.version(); };
  Sources.m_BytesSent = [this] { return m_Peers.traffic().m_BytesSent; };
  Sources.m_BytesReceived = [this] {
    return m_Peers.traffic().m_BytesReceived;
  };
  addMetricSources(m_Metrics, std::move(Sources));
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
  // The listener stays open: an entry that has not yet received the
  // announcement gets a refusal which proves that the call was not run, rather
  // than a connection failure.
  Actions.m_CloseListener = [] {};
  Actions.m_AnnounceLeft = [this] {
    m_State = schema::Announcement::LEFT;
    m_Announcer->announceNow();
  };
  Actions.m_Exit = [this](std::size_t AbortedCalls) {
    m_Exit.open(AbortedCalls == 0 ? ExitCode::Ok : ExitCode::Failed);
  };
  return Actions;
}

} // namespace mangocart
