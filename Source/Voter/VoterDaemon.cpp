// Startup and operation of a voter.
#include "Voter/VoterDaemon.h"

#include "Core/PostTask.h"
#include "Daemon/DaemonParts.h"
#include "Daemon/StartFailure.h"
#include "Daemon/StopSignals.h"
#include "Membership/AnnounceLimits.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftPeers.h"
#include "Settings/SettingsReader.h"

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

constexpr Duration MaintenanceInterval = std::chrono::seconds(1);
// Covers one election and the two changes that replace a voter.
constexpr Duration StopTimeout = std::chrono::seconds(3);
// Operators and backend servers open few connections.
constexpr std::size_t MaxConnections = 1024;
constexpr Duration ReadTimeout = std::chrono::seconds(10);
// One worker, because voters run on machines with a fraction of a core.
constexpr std::size_t Workers = 1;
// Entries are whole configurations, so only few are kept in memory and on disk.
constexpr LogIndex RetainedEntries = 32;
constexpr LogIndex SnapshotEntries = 64;
constexpr std::uint64_t SnapshotLogBytes = std::uint64_t{8} * 1024 * 1024;

HttpLimits controlLimits(const schema::VoterSettings &Settings) {
  HttpLimits Limits;
  Limits.m_MaxConnections = MaxConnections;
  Limits.m_MaxBodyBytes = Settings.max_body_bytes();
  Limits.m_ReadTimeout = ReadTimeout;
  return Limits;
}

} // namespace

VoterDaemon::VoterDaemon(schema::VoterSettings Settings,
                         std::string SettingsFile,
                         const ControlProtocol &Protocol)
    : m_Settings(std::move(Settings)), m_SettingsFile(std::move(SettingsFile)),
      m_Workers(Workers),
      m_Events({"voter", m_Settings.name(), m_Settings.availability_zone()},
               std::string(EventLog::StandardOutput)),
      m_LocalAnnouncements(m_Events, m_Settings.availability_zone(), 1,
                           RuntimeClock::wallMilliseconds()),
      m_AllAnnouncements(m_Events, m_Settings.availability_zone(), 1,
                         RuntimeClock::wallMilliseconds()),
      m_Peers(m_Workers), m_Server(m_Workers),
      m_WatchService(std::make_shared<WatchService>(
          m_Workers.worker(0),
          WatchServiceDependencies{
              m_Events, m_Machine, m_LocalAnnouncements, m_AllAnnouncements,
              [this] { return memberNames(); }, m_Settings.availability_zone(),
              [this] { return m_CatchUp->isCaughtUp(); },
              [this] { return requiredVoters(); },
              [this](ConfirmationHandler Done) {
                whenDeparturesStored(std::move(Done));
              }})),
      m_OtherVoters(std::make_shared<VoterWatch>(
          m_Workers.worker(0), m_Peers,
          WatchTargets{WatcherKind::Voter,
                       m_Events,
                       [](std::uint64_t, std::string_view) {},
                       m_AllAnnouncements,
                       [](const std::set<PeerEndpoint> &) {},
                       {},
                       {},
                       [](const Evacuations &) {},
                       [this](const std::string &BackendServer) {
                         adoptDeparture(BackendServer);
                       },
                       [this](std::function<void()> Confirm) {
                         whenDeparturesStored(
                             [Confirm = std::move(Confirm)](
                                 const Result<void, std::string> &Stored) {
                               if (Stored)
                                 Confirm();
                             });
                       }},
          m_Settings.name())),
      m_Log(openLog()), m_Departures(openDepartures()),
      m_CatchUp(std::make_shared<CatchUpCheck>(
          m_Machine, *m_Log, [this] { m_WatchService->sendChanges(); })),
      m_Front({Protocol, m_Events, m_Machine, *m_Log,
               [this](const Member &Record, ConfirmationHandler Done) {
                 announced(Record, std::move(Done));
               },
               [this](const std::string &Zone) { return isKnownZone(Zone); }}),
      m_ControlServer(m_Workers, controlLimits(m_Settings),
                      [this](const std::shared_ptr<HttpExchange> &Exchange) {
                        m_Front.handle(Exchange);
                      }),
      m_MetricsServer(m_Workers, HttpLimits{},
                      [this](const std::shared_ptr<HttpExchange> &Exchange) {
                        answerMetrics(*Exchange, m_Registry);
                      }),
      m_SettingsWatch(
          m_Workers.worker(0), m_SettingsFile,
          [this](const std::string &Text) { settingsChanged(Text); }),
      m_MaintenanceTimer(m_Workers.worker(0)),
      m_StopTimer(m_Workers.worker(0)) {
  m_Events.limitRequestLines(m_Settings.log_lines_per_second());
  const MembershipLimits Limits =
      announceLimits(milliseconds(m_Settings.announce_interval_ms()));
  m_LocalAnnouncements.setLimits(Limits);
  m_AllAnnouncements.setLimits(Limits);
  m_LocalAnnouncements.onMemberChange(
      [this] { m_WatchService->sendChanges(); });
  recoverDepartures();
  setNamedZones(m_Settings);
  addMetrics();
}

VoterDaemon::~VoterDaemon() { m_Workers.stop(); }

PeerEndpoint VoterDaemon::ownEndpoint() const {
  return peerEndpointFor(m_Settings.control_endpoint(), m_Settings.peer_port())
      .value_or(PeerEndpoint());
}

std::vector<PeerEndpoint> VoterDaemon::seeds() const {
  return peerEndpointsFor(m_Settings.seeds(), m_Settings.peer_port());
}

// A member of the log learns its members from the log; a process that is not a
// member yet keeps using the seeds of its start.
void VoterDaemon::settingsChanged(const std::string &Text) {
  if (const auto Changed =
          settingsAgain(parseVoterSettings, m_SettingsFile, Text, m_Events)) {
    m_OtherVoters->setSeeds(
        peerEndpointsFor(Changed->seeds(), Changed->peer_port()));
    setNamedZones(*Changed);
  }
}

void VoterDaemon::setNamedZones(const schema::VoterSettings &Settings) {
  m_NamedZones = {Settings.availability_zones().begin(),
                  Settings.availability_zones().end()};
}

std::unique_ptr<RaftRunner> VoterDaemon::openLog() {
  m_Machine.onChange([this] { m_WatchService->sendChanges(); });
  RaftRunnerOptions Options;
  Options.m_Name = toString(ownEndpoint());
  Options.m_DataFolder = m_Settings.data_folder();
  for (const PeerEndpoint &Seed : seeds())
    Options.m_Peers.push_back({toString(Seed), Seed, true});
  OpenMembership Open;
  Open.m_TargetVoters = 2 * m_Settings.tolerated_losses() + 1;
  Options.m_OpenMembership = Open;
  Options.m_MayBootstrap = m_Settings.first_start();
  Options.m_Limits.m_RetainedEntries = RetainedEntries;
  Options.m_SnapshotEntries = SnapshotEntries;
  Options.m_SnapshotLogBytes = SnapshotLogBytes;
  auto Runner = RaftRunner::start(
      std::move(Options), m_Machine, m_Workers, m_Peers, m_Server,
      [this](const StorageError &) { m_Exit.open(ExitCode::Failed); },
      &m_Events);
  if (!Runner)
    throw StartFailure(Runner.error().m_Message);
  return std::move(Runner).value();
}

std::unique_ptr<DepartureStore> VoterDaemon::openDepartures() {
  DepartureFileOptions Options;
  Options.m_Folder = m_Settings.data_folder();
  Options.m_Retention = tombstoneLifetime(
      announceLimits(milliseconds(m_Settings.announce_interval_ms())));
  auto Store =
      DepartureStore::open(makePosixFileSystem(), std::move(Options),
                           [this](const FileError &Error) {
                             m_Events.write(Event::DepartureFileFailed,
                                            {{"file", Error.m_Path},
                                             {"operation", Error.m_Operation},
                                             {"reason", Error.m_Detail}});
                             m_Exit.open(ExitCode::Failed);
                           });
  if (!Store)
    throw StartFailure(Store.error().m_Message);
  return std::move(Store).value();
}

void VoterDaemon::recoverDepartures() {
  const std::uint64_t NowMs = RuntimeClock::wallMilliseconds();
  for (const StoredDeparture &Each : m_Departures->recovered()) {
    const MemberDelta Departure{
        Each.m_Member, milliseconds(NowMs - std::min(NowMs, Each.m_HeardAtMs))};
    m_AllAnnouncements.heard(Departure);
    m_LocalAnnouncements.heard(Departure);
  }
  m_Events.write(Event::DeparturesRecovered,
                 {{"departures", m_Departures->recovered().size()}});
}

ExitCode VoterDaemon::run() {
  m_WatchService->serve(m_Server);
  if (!listen())
    return ExitCode::Failed;
  StopSignals Signals(
      m_Workers.worker(0), [this] { stop(); },
      [this] { m_Exit.open(ExitCode::Failed); });
  m_SettingsWatch.start();
  m_CatchUp->start();
  m_WatchService->start();
  m_OtherVoters->start(seeds(), ownEndpoint());
  runMaintenance();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted,
                 {{"address", m_Settings.control_endpoint()}});
  return serveUntilExit(m_Exit, m_Events, m_Workers);
}

void VoterDaemon::stop() {
  m_StopBegin = RuntimeClock::now();
  m_Events.write(Event::ProcessStopping, {});
  m_StopTimer.expires_after(StopTimeout);
  m_StopTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      exitAfterStop(true);
  });
  m_Log->prepareStop([this] {
    // The timer may be gone already if the stop has timed out.
    postTask(m_Workers.worker(0).get_executor(),
             [this] { exitAfterStop(false); });
  });
}

void VoterDaemon::exitAfterStop(bool IsTimeout) {
  const RaftStatus Status = m_Log->status();
  const auto WaitedFor = std::chrono::duration_cast<milliseconds>(
      RuntimeClock::now() - m_StopBegin);
  m_Events.write(Event::VoterReleased,
                 {{"has_vote", isVoter(Status.m_Members, Status.m_Self)},
                  {"leader", Status.m_Leader},
                  {"waited_ms", WaitedFor.count()},
                  {"timed_out", IsTimeout}});
  m_Exit.open(ExitCode::Ok);
}

bool VoterDaemon::listen() {
  const PeerEndpoint Own = ownEndpoint();
  const PeerEndpoint Control =
      parseEndpoint(m_Settings.control_endpoint()).value_or(PeerEndpoint());
  return isListening(m_Events, m_Server.listen(Own.m_Address, Own.m_Port)) &&
         isListening(m_Events, m_ControlServer.listen(Control.m_Address,
                                                      Control.m_Port)) &&
         isListening(m_Events,
                     m_MetricsServer.listen(Own.m_Address,
                                            static_cast<std::uint16_t>(
                                                m_Settings.metrics_port())));
}

void VoterDaemon::runMaintenance() {
  m_LocalAnnouncements.sweepMembers();
  m_AllAnnouncements.sweepMembers();
  m_MaintenanceTimer.expires_after(MaintenanceInterval);
  m_MaintenanceTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      runMaintenance();
  });
}

void VoterDaemon::announced(const Member &Record, ConfirmationHandler Done) {
  m_AllAnnouncements.announced(Record);
  if (!adoptDeparture(Record.m_BackendServer)) {
    m_LocalAnnouncements.announced(Record);
    return Done(success());
  }
  // A late heartbeat of a backend server that has departed promises nothing.
  if (!hasDeparted(Record.m_State))
    return Done(success());
  m_WatchService->confirmChange(
      m_LocalAnnouncements.changeNumber(Record.m_BackendServer),
      std::move(Done));
}

bool VoterDaemon::adoptDeparture(const std::string &BackendServer) {
  const auto Departure = m_AllAnnouncements.departure(BackendServer);
  if (!Departure)
    return false;
  const auto Known = m_LocalAnnouncements.departure(BackendServer);
  m_LocalAnnouncements.heard(*Departure);
  const Member &Record = Departure->m_Member;
  if (!Known || Known->m_Member.m_State != Record.m_State ||
      Known->m_Member.m_Incarnation != Record.m_Incarnation)
    m_Departures->store(*Departure);
  return true;
}

void VoterDaemon::whenDeparturesStored(ConfirmationHandler Done) {
  m_Departures->whenStored([this, Done = std::move(Done)](
                               const Result<void, std::string> &Stored) {
    if (!Stored)
      m_Events.write(Event::DepartureNotStored, {{"reason", Stored.error()}});
    postTask(m_Workers.worker(0).get_executor(),
             [Done, Stored] { Done(Stored); });
  });
}

// So many that, with this voter, one more knows a departure than may be lost at
// once.
std::size_t VoterDaemon::requiredVoters() const {
  const std::vector<std::string> Members = memberNames();
  const std::size_t Tolerated = m_Settings.tolerated_losses();
  if (Members.empty())
    return Tolerated;
  const auto Own = static_cast<std::size_t>(
      std::count(Members.begin(), Members.end(), toString(ownEndpoint())));
  return std::min(Tolerated, Members.size() - Own);
}

bool VoterDaemon::isKnownZone(const std::string &Zone) const {
  if (m_NamedZones.contains(Zone))
    return true;
  const std::vector<MemberView> Members = m_AllAnnouncements.members();
  return std::any_of(Members.begin(), Members.end(),
                     [&](const MemberView &Each) {
                       return Each.m_Member.m_AvailabilityZone == Zone;
                     });
}

std::vector<std::string> VoterDaemon::memberNames() const {
  std::vector<std::string> Names;
  if (!m_Log)
    return Names;
  for (const RaftMember &Each : m_Log->status().m_Members)
    Names.push_back(Each.m_Id.m_Name);
  return Names;
}

void VoterDaemon::addMetrics() {
  m_Registry.gaugeFrom(
      "mangocart_configuration_version",
      "Version of the configuration in force.",
      [this] { return static_cast<double>(m_Machine.document()->m_Version); });
  m_Registry.gaugeFrom("mangocart_evacuated_zones",
                       "Availability zones that are evacuated.", [this] {
                         return static_cast<double>(
                             m_Machine.evacuations().m_Zones.size());
                       });
  m_Registry.gaugeFrom(
      "mangocart_evacuations_change",
      "Number of the last change of the evacuated zones.",
      [this] { return static_cast<double>(m_Machine.evacuations().m_Change); });
  m_Registry.gaugeFrom("mangocart_log_leads", "1 while this voter leads.",
                       [this] { return m_Log->isLeader() ? 1.0 : 0.0; });
  m_Registry.gaugeFrom(
      "mangocart_log_has_vote",
      "1 while majorities of the log count this voter.", [this] {
        const RaftStatus Status = m_Log->status();
        return isVoter(Status.m_Members, Status.m_Self) ? 1.0 : 0.0;
      });
  m_Registry.counterFrom("mangocart_log_syncs_total", "Syncs of the disk.",
                         [this] { return m_Log->counters().m_Syncs; });
  m_Registry.counterFrom("mangocart_log_proposals_total",
                         "Commands appended as leader.",
                         [this] { return m_Log->counters().m_Proposals; });
}

} // namespace mangocart
