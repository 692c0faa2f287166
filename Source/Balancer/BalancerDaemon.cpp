// Startup and services of the balancer process.
#include "Balancer/BalancerDaemon.h"

#include "Daemon/DaemonParts.h"
#include "Daemon/StopSignals.h"
#include "Membership/AnnounceLimits.h"
#include "Net/UnaryMethod.h"
#include "Raft/RaftPeers.h"
#include "Settings/SettingsReader.h"

namespace mangocart {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::seconds(2);
// One worker thread, because the machine has only a fraction of a core for it.
constexpr std::size_t Workers = 1;
constexpr double BytesPerSecondPerMbps = 1e6 / 8;
// The service of the replica is looked up this often; it almost never changes.
constexpr Duration OwnServiceInterval = std::chrono::seconds(1);

HttpTarget toTarget(const PeerEndpoint &Endpoint) {
  return {Endpoint.m_Address, Endpoint.m_Port};
}

} // namespace

BalancerDaemon::BalancerDaemon(schema::BalancerSettings Settings,
                               std::string SettingsFile,
                               const CallerProtocol &Callers,
                               const EngineProtocol &Engines)
    : m_Settings(std::move(Settings)), m_SettingsFile(std::move(SettingsFile)),
      m_Replica(parseEndpoint(m_Settings.replica_endpoint())
                    .value_or(PeerEndpoint())),
      m_Self(
          peerEndpointFor(m_Settings.replica_endpoint(), m_Settings.peer_port())
              .value_or(PeerEndpoint())),
      m_Workers(Workers),
      m_Events({"balancer", m_Settings.name(), m_Settings.availability_zone()},
               std::string(EventLog::StandardOutput)),
      m_Plans(Callers, m_Events),
      m_Directory(m_Events, m_Settings.availability_zone(), 1,
                  RuntimeClock::wallMilliseconds()),
      m_Client(m_Workers.worker(0)),
      m_Service(m_Client, toTarget(m_Replica), Engines, m_Events),
      m_Peers(m_Workers), m_Server(m_Workers),
      m_MetricsServer(m_Workers, HttpLimits{},
                      [this](const std::shared_ptr<HttpExchange> &Exchange) {
                        answerMetrics(*Exchange, m_Registry);
                      }),
      m_Watch(std::make_shared<VoterWatch>(
          m_Workers.worker(0), m_Peers,
          WatchTargets{
              WatcherKind::Balancer,
              m_Events,
              [this](std::uint64_t Version, std::string_view Document) {
                m_Plans.offer(Version, Document);
              },
              m_Directory,
              [](const std::set<PeerEndpoint> &) {},
              {},
              m_Settings.availability_zone()},
          m_Settings.name())),
      m_Coordinator(std::make_shared<GroupCoordinator>(
          m_Workers.worker(0),
          GroupCoordinatorDependencies{
              m_Events, m_Service, m_Peers,
              [this](const std::string &Group) { return balancers(Group); },
              [this] { return layout(); }, m_Self,
              m_Settings.link_mbps() * BytesPerSecondPerMbps},
          RuntimeClock::wallMilliseconds())),
      m_SettingsWatch(
          m_Workers.worker(0), m_SettingsFile,
          [this](const std::string &Text) { settingsChanged(Text); }),
      m_MaintenanceTimer(m_Workers.worker(0)) {
  m_Events.limitRequestLines(m_Settings.log_lines_per_second());
  m_Directory.setLimits(announceLimits(
      std::chrono::milliseconds(m_Settings.announce_interval_ms())));
}

BalancerDaemon::~BalancerDaemon() { m_Workers.stop(); }

ExitCode BalancerDaemon::run() {
  serve();
  if (!listen())
    return ExitCode::Failed;
  StopSignals Signals(
      m_Workers.worker(0),
      [this] { m_Coordinator->finish([this] { m_Exit.open(ExitCode::Ok); }); },
      [this] { m_Exit.open(ExitCode::Failed); });
  m_SettingsWatch.start();
  m_Watch->start(peerEndpointsFor(m_Settings.seeds(), m_Settings.peer_port()));
  m_Coordinator->start();
  runMaintenance();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted,
                 {{"address", m_Settings.replica_endpoint()}});
  return serveUntilExit(m_Exit, m_Events, m_Workers);
}

void BalancerDaemon::serve() {
  addAsyncMethod(m_Server, RankMethod,
                 [this](std::string_view Bytes, const UnaryAnswer &Answer) {
                   schema::RankRequest Request;
                   if (!Request.ParseFromArray(Bytes.data(),
                                               static_cast<int>(Bytes.size())))
                     return false;
                   m_Coordinator->receive(Request,
                                          [Answer](const schema::RankReply &R) {
                                            Answer(R.SerializeAsString());
                                          });
                   return true;
                 });
}

bool BalancerDaemon::listen() {
  const auto Port = static_cast<std::uint16_t>(m_Settings.metrics_port());
  return isListening(m_Events,
                     m_Server.listen(m_Self.m_Address, m_Self.m_Port)) &&
         isListening(m_Events, m_MetricsServer.listen(m_Self.m_Address, Port));
}

void BalancerDaemon::runMaintenance() {
  m_Directory.sweepMembers();
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

const std::string &BalancerDaemon::ownService() {
  const TimePoint Now = RuntimeClock::now();
  if (!m_OwnService.empty() && Now - m_OwnServiceReadAt < OwnServiceInterval)
    return m_OwnService;
  m_OwnServiceReadAt = Now;
  m_OwnService.clear();
  for (const MemberView &Each : m_Directory.members())
    if (Each.m_Member.m_Address == m_Replica.m_Address &&
        Each.m_Member.m_PeerPort == m_Replica.m_Port &&
        Each.m_Member.m_State != MemberState::Left)
      m_OwnService = Each.m_Member.m_Service;
  return m_OwnService;
}

std::map<PeerEndpoint, PeerEndpoint>
BalancerDaemon::balancers(const std::string &Group) {
  const std::string &Service = ownService();
  std::map<PeerEndpoint, PeerEndpoint> Found;
  if (Service.empty())
    return Found;
  for (const MemberView &Each : m_Directory.members())
    if (Each.m_Member.m_Service == Service &&
        (Each.m_Member.m_Group.empty() || Each.m_Member.m_Group == Group) &&
        Each.m_Member.m_State != MemberState::Left)
      Found[{Each.m_Member.m_Address, m_Self.m_Port}] = {
          Each.m_Member.m_Address, Each.m_Member.m_PeerPort};
  return Found;
}

std::optional<ExpertLayout> BalancerDaemon::layout() {
  const RoutingPlanPtr Plan = m_Plans.current();
  const ServiceConfig *Service =
      Plan ? Plan->findService(ownService()) : nullptr;
  if (!Service || !Service->m_Engine)
    return std::nullopt;
  return Service->m_Engine->m_Experts;
}

void BalancerDaemon::settingsChanged(const std::string &Text) {
  if (const auto Changed =
          settingsAgain(parseBalancerSettings, m_SettingsFile, Text, m_Events))
    m_Watch->setSeeds(peerEndpointsFor(Changed->seeds(), m_Self.m_Port));
}

} // namespace mangocart
