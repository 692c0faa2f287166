#include "Entry/EntryDaemon.h"

#include "Daemon/DaemonParts.h"
#include "Daemon/StartEvents.h"
#include "Daemon/StopSignals.h"
#include "Entry/OrderApi.h"
#include "Entry/OrphanSettler.h"
#include "Entry/ShareExchange.h"
#include "Entry/StatusPage.h"
#include "Net/UnaryMethod.h"
#include "Raft/RaftRunner.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace mangocart {

namespace {

constexpr Duration CapacityInterval = std::chrono::milliseconds(100);

HttpLimits callerLimits(const schema::EntrySettings &Settings) {
  HttpLimits Limits;
  Limits.m_MaxConnections = Settings.max_connections();
  Limits.m_MaxHeaderBytes = Settings.max_header_bytes();
  Limits.m_MaxBodyBytes = Settings.max_body_bytes();
  Limits.m_ReadTimeout =
      std::chrono::milliseconds(Settings.request_read_timeout_ms());
  return Limits;
}

// Index of this entry among all entries, for the limit shares.
std::uint32_t entryIndex(const schema::EntrySettings &Settings) {
  std::uint32_t Index = 0;
  for (const schema::PeerAddress &Entry : Settings.entries())
    if (Entry.name() < Settings.name())
      ++Index;
  return Index;
}

DrainLimits drainLimits(const schema::EntrySettings &Settings) {
  DrainLimits Limits;
  Limits.m_ListenDuration =
      std::chrono::milliseconds(Settings.drain_accept_ms());
  Limits.m_MaxDuration = std::chrono::milliseconds(Settings.drain_max_ms());
  return Limits;
}

} // namespace

EntryDaemon::EntryDaemon(schema::EntrySettings Settings,
                         std::uint64_t Incarnation,
                         const SettingsWarnings &Warnings)
    : m_Settings(std::move(Settings)), m_Workers(m_Settings.workers()),
      m_Events({"entry", m_Settings.name(), m_Settings.availability_zone()},
               m_Settings.log_file()),
      m_Directory(m_Events, m_Settings.availability_zone(),
                  static_cast<std::uint32_t>(m_Settings.entries_size()),
                  Incarnation),
      m_Peers(m_Workers), m_Server(m_Workers), m_Log(openLog()),
      m_Admission(std::make_shared<AdmissionController>(
          Incarnation, entryIndex(m_Settings),
          static_cast<std::uint32_t>(m_Settings.entries_size()))),
      m_Context{m_Settings,      m_Workers,   m_Events, m_Peers,
                m_Configuration, m_Directory, *m_Log,   *m_Admission,
                m_Counters,      m_Metrics},
      m_Callers(m_Context, Incarnation),
      m_Admin(m_Context, adminCallbacks(adminToken(
                             m_Events, m_Settings.admin_token_file()))),
      m_CallerServer(m_Workers, callerLimits(m_Settings),
                     [this](const std::shared_ptr<HttpExchange> &Exchange) {
                       m_Callers.handle(Exchange);
                     }),
      m_AdminServer(m_Workers, HttpLimits{},
                    [this](const std::shared_ptr<HttpExchange> &Exchange) {
                      m_Admin.handle(Exchange);
                    }),
      m_CapacityTimer(m_Workers.worker(0)),
      m_Gossip(std::make_shared<GossipService>(m_Settings, m_Workers, m_Peers,
                                               m_Configuration, m_Directory,
                                               Incarnation)),
      m_Settler(std::make_shared<OrphanSettler>(m_Context, *m_Log, m_Machine)),
      m_Shares(std::make_shared<ShareExchange>(m_Context, *m_Log)),
      m_Drain(m_Workers.worker(0), drainLimits(m_Settings), drainActions()) {
  noteDeprecated(m_Events, Warnings);
  m_Configuration.onChange([this](const ConfigurationPtr &InForce) {
    configurationChanged(*InForce);
  });
}

EntryDaemon::~EntryDaemon() { m_Workers.stop(); }

std::unique_ptr<RaftRunner> EntryDaemon::openLog() {
  // Must be registered first: opening the folder may restore a configuration.
  m_Machine.onConfiguration([this](const schema::Configuration &Applied) {
    m_Configuration.offer(Applied);
  });
  RaftRunnerOptions Options;
  Options.m_Name = m_Settings.name();
  Options.m_DataFolder = m_Settings.data_folder();
  for (const schema::PeerAddress &Entry : m_Settings.entries())
    Options.m_Peers.push_back(
        {Entry.name(),
         {Entry.address(), static_cast<std::uint16_t>(Entry.peer_port())},
         Entry.voter()});
  Options.m_CommandTimeMs = [this](std::uint64_t Term) {
    return m_Machine.commandTimeMs(Term);
  };
  auto Runner = RaftRunner::start(
      std::move(Options), m_Machine, m_Workers, m_Peers, m_Server,
      [this](const StorageError &) { m_Exit.open(ExitCode::Failed); },
      &m_Events);
  if (!Runner)
    throw StartFailure(Runner.error().m_Message);
  return std::move(Runner).value();
}

ExitCode EntryDaemon::run() {
  addMethods();
  if (!listen())
    return ExitCode::Failed;
  StopSignals Signals(
      m_Workers.worker(0), [this] { m_Drain.request(); },
      [this] { m_Exit.open(ExitCode::Failed); });
  m_Gossip->start();
  m_Settler->start();
  m_Shares->start();
  updateCapacity();
  m_Workers.start();
  m_Events.write(Event::ProcessStarted,
                 {{"address", m_Settings.address()},
                  {"caller_port", m_Settings.caller_port()},
                  {"admin_port", m_Settings.admin_port()},
                  {"peer_port", m_Settings.peer_port()}});
  return serveUntilExit(m_Exit, m_Events, m_Workers);
}

bool EntryDaemon::listen() {
  const auto Open = [this](auto &Server, std::uint32_t Port) {
    return isListening(
        m_Events,
        Server.listen(m_Settings.address(), static_cast<std::uint16_t>(Port)));
  };
  return Open(m_Server, m_Settings.peer_port()) &&
         Open(m_AdminServer, m_Settings.admin_port()) &&
         Open(m_CallerServer, m_Settings.caller_port());
}

void EntryDaemon::updateCapacity() {
  const ConfigurationPtr InForce = m_Configuration.current();
  for (const schema::Service &Service : InForce->services()) {
    ChoiceRequest Any;
    Any.m_Service = Service.name();
    Any.m_MaxOutstanding = Service.max_outstanding_per_backend_server();
    const std::size_t Waiting = m_Admission->load(Service.name()).m_Waiting;
    Any.m_OtherQueuedRequests = Waiting - std::min<std::size_t>(Waiting, 1);
    // A capacity of at least 1: without servers a request is rejected
    // immediately instead of being queued.
    const std::size_t Slots = m_Directory.slots(Any).value_or(
        std::numeric_limits<std::size_t>::max());
    m_Admission->setCapacity(Service.name(), std::max<std::size_t>(Slots, 1));
  }
  m_Admission->tick();
  m_CapacityTimer.expires_after(CapacityInterval);
  m_CapacityTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      updateCapacity();
  });
}

void EntryDaemon::addMethods() {
  addFenceMethod(m_Server, *m_Log);
  addUnaryMethod<schema::Announcement>(
      m_Server, "/entry/announce", [this](const schema::Announcement &Message) {
        return announced(Message);
      });
  addUnaryMethod<schema::GossipMessage>(
      m_Server, "/entry/gossip", [this](const schema::GossipMessage &Message) {
        return m_Gossip->receive(Message);
      });
  addUnaryMethod<schema::ShareReportMessage>(
      m_Server, "/entry/shares",
      [this](const schema::ShareReportMessage &Message) {
        return m_Shares->receive(Message);
      });
  addUnaryMethod<schema::DrainRequest>(m_Server, "/entry/drain",
                                       [this](const schema::DrainRequest &) {
                                         m_Drain.request();
                                         return schema::DrainReply();
                                       });
}

void EntryDaemon::configurationChanged(
    const schema::Configuration &Configuration) {
  m_Events.write(Event::ConfigurationInForce,
                 {{"version", Configuration.version()}});
  m_Gossip->propagateConfiguration();
}

schema::AnnounceReply
EntryDaemon::announced(const schema::Announcement &Message) {
  schema::AnnounceReply Reply;
  Reply.set_known_incarnation(m_Directory.announced(Message));
  const ConfigurationPtr InForce = m_Configuration.current();
  if (InForce->version() > Message.configuration_version())
    *Reply.mutable_configuration() = *InForce;
  return Reply;
}

AdminCallbacks EntryDaemon::adminCallbacks(std::string Token) {
  AdminCallbacks Callbacks;
  Callbacks.m_Serving = [this] {
    return !m_Leaving && m_Configuration.version() > 0;
  };
  Callbacks.m_Status = [this] { return statusPage(); };
  Callbacks.m_Metrics = [this] { return metricsPage(); };
  Callbacks.m_DrainSelf = [this] { m_Drain.request(); };
  Callbacks.m_Token = std::move(Token);
  return Callbacks;
}

DrainActions EntryDaemon::drainActions() {
  DrainActions Actions;
  Actions.m_Outstanding = [this] { return m_CallerServer.pendingCount(); };
  Actions.m_AnnounceLeaving = [this] {
    m_Events.write(Event::ProcessStopping,
                   {{"outstanding", m_CallerServer.exchangeCount()}});
    m_Leaving = true;
    m_Callers.startLeaving();
  };
  Actions.m_CloseListener = [this] { m_CallerServer.closeListener(); };
  Actions.m_EndOutstanding = [this] { m_CallerServer.endExchanges(); };
  Actions.m_AnnounceLeft = [] {};
  Actions.m_Exit = [this](std::size_t CutOff) {
    m_Exit.open(CutOff == 0 ? ExitCode::Ok : ExitCode::Failed);
  };
  return Actions;
}

std::string EntryDaemon::statusPage() const {
  StatusView Status;
  Status.m_Entry = m_Settings.name();
  Status.m_ConfigurationVersion = m_Configuration.version();
  Status.m_Versions = m_Gossip->versions();
  Status.m_Members = m_Directory.members();
  const RaftStatus Log = m_Log->status();
  Status.m_Log.m_Leader = m_Log->leader();
  Status.m_Log.m_Term = Log.m_Term;
  Status.m_Log.m_LastApplied = Log.m_LastApplied;
  for (const RaftMember &Member : Log.m_Members)
    Status.m_Log.m_Members.push_back({Member.m_Id.m_Name, Member.m_Voter});
  Status.m_Log.m_LedgerRecords = m_Machine.ledgerRecords();
  Status.m_Log.m_LedgerBytes = m_Machine.ledgerBytes();
  return toJson(Status);
}

std::string EntryDaemon::metricsPage() const {
  const PeerClient::Traffic Traffic = m_Peers.traffic();
  std::string Page;
  const auto Add = [&](std::string_view Name, std::string_view Type,
                       std::uint64_t Value) {
    Page += fmt::format("# TYPE {0} {1}\n{0} {2}\n", Name, Type, Value);
  };
  Add("mangocart_requests_total", "counter", m_Counters.m_Requests);
  Add("mangocart_answered_total", "counter", m_Counters.m_Answered);
  Add("mangocart_refused_total", "counter", m_Counters.m_Refused);
  Add("mangocart_broken_total", "counter", m_Counters.m_Broken);
  Add("mangocart_attempts_total", "counter", m_Counters.m_Attempts);
  Add("mangocart_hung_up_total", "counter", m_Counters.m_HungUp);
  Add("mangocart_resumed_total", "counter", m_Counters.m_Resumed);
  Add("mangocart_in_flight", "gauge", m_CallerServer.exchangeCount());
  Add("mangocart_caller_connections", "gauge",
      m_CallerServer.connectionCount());
  Add("mangocart_configuration_version", "gauge", m_Configuration.version());
  Add("mangocart_ledger_records", "gauge", m_Machine.ledgerRecords());
  Add("mangocart_ledger_bytes", "gauge", m_Machine.ledgerBytes());
  const RaftCounters Log = m_Log->counters();
  Add("mangocart_log_proposals_total", "counter", Log.m_Proposals);
  Add("mangocart_log_batches_total", "counter", Log.m_Batches);
  Add("mangocart_log_syncs_total", "counter", Log.m_Syncs);
  Add("mangocart_log_messages_total", "counter", Log.m_Messages);
  Add("mangocart_log_bytes_total", "counter", Log.m_Bytes);
  Add("mangocart_peer_bytes_sent_total", "counter", Traffic.m_BytesSent);
  Add("mangocart_peer_bytes_received_total", "counter",
      Traffic.m_BytesReceived);
  return Page + m_Metrics.expose(RuntimeClock::now());
}

} // namespace mangocart
