// Startup, request service and drain of a gateway.
#include "Gateway/GatewayDaemon.h"

#include "Daemon/DaemonParts.h"
#include "Daemon/StopSignals.h"
#include "Gateway/BackendClientOptions.h"
#include "Gateway/GatewayDrain.h"
#include "Gateway/GroupMetrics.h"
#include "Membership/AnnounceLimits.h"
#include "Raft/RaftPeers.h"
#include "Settings/SettingsReader.h"

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;
// Interval of membership and ejection checks; several fit into the time in
// which a stall is detected.
constexpr Duration MaintenanceInterval = milliseconds(250);
// Waiting requests are also dispatched when something has changed.
constexpr Duration DispatchInterval = milliseconds(50);
// With cold servers waiting requests are dispatched when the next one is
// permitted, as 50 ms in each second would leave too much unused. Many permits
// shortly after each other share a dispatch.
constexpr Duration MinDispatchInterval = milliseconds(5);

HttpLimits callerLimits(const schema::GatewaySettings &Settings,
                        const CallerLimits &Limits) {
  HttpLimits Out;
  Out.m_MaxConnections = Settings.max_connections();
  Out.m_MaxHeaderBytes = Limits.m_MaxHeaderBytes;
  Out.m_MaxBodyBytes = Limits.m_MaxBodyBytes;
  Out.m_ReadTimeout = Limits.m_HeaderTimeout;
  Out.m_IdleTimeout = Limits.m_IdleTimeout;
  return Out;
}

RetryShareOptions repeatOptions(const schema::GatewaySettings &Settings) {
  RetryShareOptions Options;
  Options.m_Ratio = Settings.retry_ratio();
  Options.m_Slack = Settings.retry_slack();
  Options.m_Window = milliseconds(Settings.retry_window_ms());
  return Options;
}

// Endpoint for other gateways: the address of the caller endpoint with the peer
// port, which is the same for all processes of the system.
PeerEndpoint ownEndpoint(const schema::GatewaySettings &Settings) {
  return peerEndpointFor(Settings.caller_endpoint(), Settings.peer_port())
      .value_or(PeerEndpoint());
}

GatewayList gatewayList(const PeerEndpoint &Self,
                        const std::set<PeerEndpoint> &All) {
  GatewayList List;
  List.m_Self = toString(Self);
  for (const PeerEndpoint &Each : All)
    List.m_All.push_back(toString(Each));
  return List;
}

} // namespace

GatewayDaemon::GatewayDaemon(schema::GatewaySettings Settings,
                             std::string SettingsFile,
                             const CallerProtocol &Protocol)
    : m_Settings(std::move(Settings)), m_SettingsFile(std::move(SettingsFile)),
      m_Workers(m_Settings.workers()),
      m_Events({"gateway", m_Settings.name(), m_Settings.availability_zone()},
               std::string(EventLog::StandardOutput)),
      m_Metrics(m_Registry), m_Plans(Protocol, m_Events),
      m_Directory(m_Events, m_Settings.availability_zone(), 1,
                  RuntimeClock::wallMilliseconds()),
      m_Clients(m_Workers, backendClientOptions()),
      m_Dispatcher(m_Directory, m_Events, RuntimeClock::wallMilliseconds()),
      m_RetryBudgets(repeatOptions(m_Settings)),
      m_AttemptMonitor(std::make_shared<AttemptMonitor>(
          m_Workers.worker(0), m_Clients, Protocol, m_Events)),
      m_CrashGuard(std::make_shared<CrashGuard>(
          m_Workers.worker(0), m_Clients, Protocol, m_Directory, m_Events,
          m_Metrics, m_Settings.name(), ownEndpoint(m_Settings))),
      m_Suspensions(std::make_shared<SuspensionDetector>(m_Workers.worker(0))),
      m_DrainLimits(
          gatewayDrainLimits(milliseconds(m_Settings.drain_max_ms()))),
      m_Context{m_Settings,    m_Events,       Protocol,
                m_Plans,       m_Directory,    m_Clients,
                m_Dispatcher,  m_RetryBudgets, *m_AttemptMonitor,
                *m_CrashGuard, *m_Suspensions, m_Metrics,
                m_DrainEnd},
      m_Router(m_Context, RuntimeClock::wallMilliseconds()),
      m_CallerServer(m_Workers, callerLimits(m_Settings, {}),
                     [this](const std::shared_ptr<HttpExchange> &Exchange) {
                       m_Router.handle(Exchange);
                     }),
      m_HealthServer(m_Workers, HttpLimits{},
                     [this](const std::shared_ptr<HttpExchange> &Exchange) {
                       answerHealth(*Exchange);
                     }),
      m_MetricsServer(m_Workers, HttpLimits{},
                      [this](const std::shared_ptr<HttpExchange> &Exchange) {
                        answerMetrics(*Exchange, m_Registry);
                      }),
      m_Peers(m_Workers), m_PeerServer(m_Workers),
      m_LoadExchange(std::make_shared<LoadExchange>(
          m_Workers.worker(0), m_Peers, m_Directory, *m_CrashGuard,
          m_Settings.name(), ownEndpoint(m_Settings),
          [this] { m_Dispatcher.dispatchWaiting(); })),
      m_VoterWatch(std::make_shared<VoterWatch>(
          m_Workers.worker(0), m_Peers,
          WatchTargets{
              WatcherKind::Gateway,
              m_Events,
              [this](std::uint64_t Version, std::string_view Document) {
                m_Plans.offer(Version, Document);
              },
              m_Directory,
              [this](const std::set<PeerEndpoint> &Gateways) {
                const auto Count = static_cast<std::uint32_t>(Gateways.size());
                m_Directory.setEntryCount(Count);
                m_RetryBudgets.setGateways(Count);
                m_LoadExchange->setGateways(Gateways);
                m_CrashGuard->setGateways(Gateways);
                m_Directory.setGateways(
                    gatewayList(ownEndpoint(m_Settings), Gateways),
                    m_VoterWatch->hasMajority());
              },
              toString(ownEndpoint(m_Settings)),
              {},
              [this](const Evacuations &Evacuated) {
                if (m_Directory.setEvacuations(Evacuated))
                  m_Dispatcher.dispatchWaiting();
              }},
          m_Settings.name())),
      m_SettingsWatch(
          m_Workers.worker(0), m_SettingsFile,
          [this](const std::string &Text) { settingsChanged(Text); }),
      m_Drain(m_Workers.worker(0), m_DrainLimits, drainActions()),
      m_MaintenanceTimer(m_Workers.worker(0)),
      m_DispatchTimer(m_Workers.worker(0)) {
  m_Registry.gaugeFrom(
      "mangocart_gateway_pending_prompt_tokens",
      "Prompt tokens of requests at backend servers without an answer yet.",
      [this] {
        return static_cast<double>(m_Directory.ownPendingPromptTokens());
      });
  m_Events.limitRequestLines(m_Settings.log_lines_per_second());
  m_Directory.setColdBurst(m_Settings.cold_burst_factor(),
                           m_Settings.cold_burst_slack());
  addColdMetrics(m_Registry, m_Directory);
  m_Directory.setLimits(
      announceLimits(milliseconds(m_Settings.announce_interval_ms())));
  m_Directory.onMemberChange([this] { m_Dispatcher.dispatchWaiting(); });
  addEvacuationMetrics(m_Registry, m_Directory);
  m_CrashGuard->onUpdate([this] { m_LoadExchange->reportNow(); });
  m_Plans.onChange([this](const RoutingPlan &Plan) { planChanged(Plan); });
}

GatewayDaemon::~GatewayDaemon() { m_Workers.stop(); }

ExitCode GatewayDaemon::run() {
  if (!listen())
    return ExitCode::Failed;
  StopSignals Signals(
      m_Workers.worker(0), [this] { m_Drain.request(); },
      [this] { m_Exit.open(ExitCode::Failed); });
  m_SettingsWatch.start();
  m_VoterWatch->start(
      peerEndpointsFor(m_Settings.seeds(), m_Settings.peer_port()));
  m_LoadExchange->start();
  m_AttemptMonitor->start();
  m_Suspensions->start();
  runMaintenance();
  dispatchPeriodically();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted,
                 {{"address", m_Settings.caller_endpoint()}});
  return serveUntilExit(m_Exit, m_Events, m_Workers);
}

bool GatewayDaemon::listen() {
  const auto Open = [this](HttpServer &Server, const PeerEndpoint &At) {
    return isListening(m_Events, Server.listen(At.m_Address, At.m_Port));
  };
  const PeerEndpoint Callers =
      parseEndpoint(m_Settings.caller_endpoint()).value_or(PeerEndpoint());
  const PeerEndpoint Health =
      parseEndpoint(m_Settings.health_endpoint()).value_or(PeerEndpoint());
  const PeerEndpoint Own = ownEndpoint(m_Settings);
  m_LoadExchange->serve(m_PeerServer);
  return isListening(m_Events,
                     m_PeerServer.listen(Own.m_Address, Own.m_Port)) &&
         Open(m_CallerServer, Callers) && Open(m_HealthServer, Health) &&
         Open(m_MetricsServer,
              {Callers.m_Address,
               static_cast<std::uint16_t>(m_Settings.metrics_port())});
}

void GatewayDaemon::dispatchPeriodically() {
  m_Dispatcher.dispatchWaiting();
  Duration Interval = DispatchInterval;
  if (const auto Permit = m_Directory.nextColdPermit())
    Interval = std::clamp(*Permit - RuntimeClock::now(), MinDispatchInterval,
                          DispatchInterval);
  m_DispatchTimer.expires_after(Interval);
  m_DispatchTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      dispatchPeriodically();
  });
}

// Backend servers need no check: their announcements arrive on the same
// streams, after the first plan.
bool GatewayDaemon::isReady() const {
  return m_Plans.current() && !m_Context.isDraining();
}

void GatewayDaemon::runMaintenance() {
  m_Directory.sweepMembers();
  updateGroupMetrics(m_Registry, m_Directory.groupPasses());
  const bool Ready = isReady();
  if (Ready != m_WasReady)
    m_Events.write(Event::ReadinessChanged,
                   {{"ready", Ready},
                    {"configuration", m_Plans.version()},
                    {"voters", m_VoterWatch->connected()},
                    {"leaving", m_Context.isDraining()}});
  m_WasReady = Ready;
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

void GatewayDaemon::answerHealth(HttpExchange &Exchange) const {
  const bool Ready = isReady();
  Exchange.respond(
      {{Ready ? StatusOk : StatusUnavailable, {{"Content-Type", "text/plain"}}},
       Ready ? "ready\n" : "not ready\n"});
}

void GatewayDaemon::planChanged(const RoutingPlan &Plan) {
  m_Directory.setColdRates(coldRates(Plan));
  m_CallerServer.setLimits(callerLimits(m_Settings, Plan.m_Limits));
}

void GatewayDaemon::settingsChanged(const std::string &Text) {
  if (const auto Changed =
          settingsAgain(parseGatewaySettings, m_SettingsFile, Text, m_Events))
    m_VoterWatch->setSeeds(
        peerEndpointsFor(Changed->seeds(), Changed->peer_port()));
}

DrainActions GatewayDaemon::drainActions() {
  DrainActions Actions;
  Actions.m_Outstanding = [this] { return m_CallerServer.pendingCount(); };
  Actions.m_AnnounceLeaving = [this] {
    m_Events.write(Event::ProcessStopping,
                   {{"outstanding", m_CallerServer.exchangeCount()}});
    m_DrainEnd = RuntimeClock::now() + m_DrainLimits.m_MaxDuration;
  };
  Actions.m_CloseListener = [this] { m_CallerServer.closeListener(); };
  Actions.m_EndOutstanding = [this] { m_CallerServer.endExchanges(); };
  Actions.m_AnnounceLeft = [] {};
  Actions.m_Exit = [this](std::size_t CutOff) {
    m_Exit.open(CutOff == 0 ? ExitCode::Ok : ExitCode::Failed);
  };
  return Actions;
}

} // namespace mangocart
