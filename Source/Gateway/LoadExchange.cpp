// Streams of load reports.
#include "Gateway/LoadExchange.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Gateway.pb.h"
#include "Gateway/CrashGuard.h"
#include "Gateway/LimitMessages.h"
#include "Gateway/LoadReportInterval.h"

namespace mangocart {

namespace {

constexpr const char *LoadMethod = "/gateway/load";
// A report is sent after this time even if nothing has changed.
constexpr Duration MaxReportInterval = std::chrono::milliseconds(500);
constexpr Duration ReopenInterval = std::chrono::milliseconds(500);
// No reports are queued beyond this for a gateway that does not read, as only
// the newest one matters.
constexpr std::size_t MaxQueuedBytes = std::size_t{16} * 1024;

} // namespace

LoadExchange::LoadExchange(boost::asio::io_context &Worker, PeerClient &Client,
                           MembershipDirectory &Directory, CrashGuard &Guard,
                           std::string Name, PeerEndpoint Self,
                           std::function<void()> OnReport)
    : m_Client(Client), m_Directory(Directory), m_Guard(Guard),
      m_Name(std::move(Name)), m_Self(std::move(Self)),
      m_OnReport(std::move(OnReport)), m_Timer(Worker) {}

void LoadExchange::serve(PeerServer &Server) {
  Server.addMethod(LoadMethod, [Weak = weak_from_this()](
                                   const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Weak](std::string_view Bytes) {
      const auto Self = Weak.lock();
      if (!Self)
        return;
      postTask(Self->m_Timer.get_executor(),
               [Self, Copy = std::string(Bytes)] { Self->onReport(Copy); });
    };
    Handlers.m_OnEnd = [WeakStream = std::weak_ptr(Stream)] {
      if (const auto Locked = WeakStream.lock())
        Locked->finish();
    };
    Stream->setHandlers(std::move(Handlers));
  });
}

void LoadExchange::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

void LoadExchange::reportNow() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

void LoadExchange::setGateways(const std::set<PeerEndpoint> &Gateways) {
  for (auto Each = m_Links.begin(); Each != m_Links.end();) {
    if (Gateways.contains(Each->first)) {
      ++Each;
      continue;
    }
    if (Each->second.m_Stream)
      Each->second.m_Stream->reset();
    Each = m_Links.erase(Each);
  }
  for (const PeerEndpoint &Each : Gateways)
    if (Each != m_Self)
      m_Links.try_emplace(Each);
}

void LoadExchange::tick() {
  const TimePoint Now = RuntimeClock::now();
  OutstandingCalls Calls = m_Directory.ownCalls();
  GatewayLoad Own{std::move(Calls.m_Requests),
                  std::move(Calls.m_PendingPromptTokens)};
  schema::LoadReport Changes = makeReport(true);
  addLoadChanges(Changes, m_LastReported, Own);
  m_Guard.addNews(Changes);
  addLimits(Changes, m_Directory.takeLimitNews(), Now);
  if (Changes.servers_size() > 0 || Changes.crashes_size() > 0 ||
      Changes.acquittals_size() > 0 || Changes.limits_size() > 0 ||
      Now - m_LastReportTime >= MaxReportInterval) {
    const std::string Delta = Changes.SerializeAsString();
    for (auto &[To, Peer] : m_Links)
      sendReport(To, Peer, Own, Delta);
    m_LastReported = std::move(Own);
    m_LastReportTime = Now;
  }
  m_Timer.expires_after(loadReportInterval(m_Links.size() + 1));
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

schema::LoadReport LoadExchange::makeReport(bool ChangesOnly) const {
  schema::LoadReport Report;
  Report.set_gateway(m_Name);
  Report.set_changes_only(ChangesOnly);
  return Report;
}

void LoadExchange::sendReport(const PeerEndpoint &To, Link &Peer,
                              const GatewayLoad &Load,
                              const std::string &Delta) {
  if (Peer.m_Stream && *Peer.m_Lost)
    Peer.m_Stream.reset();
  const TimePoint Now = RuntimeClock::now();
  if (!Peer.m_Stream) {
    Peer.m_NeedsFullReport = true;
    if (Now - Peer.m_OpenedAt < ReopenInterval)
      return;
    Peer.m_OpenedAt = Now;
    Peer.m_Lost = std::make_shared<bool>(false);
    const auto MarkLost = [Lost = Peer.m_Lost, Self = shared_from_this()] {
      postTask(Self->m_Timer.get_executor(), [Lost] { *Lost = true; });
    };
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [](std::string_view) {};
    Handlers.m_OnEnd = MarkLost;
    Handlers.m_OnError = [MarkLost](const PeerError &) { MarkLost(); };
    Peer.m_Stream = m_Client.open(To, LoadMethod, std::move(Handlers));
  }
  if (Peer.m_Stream->queuedBytes() > MaxQueuedBytes) {
    Peer.m_NeedsFullReport = true;
    return;
  }
  if (!std::exchange(Peer.m_NeedsFullReport, false))
    return Peer.m_Stream->send(Delta);
  schema::LoadReport Full = makeReport(false);
  addLoad(Full, Load);
  m_Guard.addAll(Full);
  addLimits(Full, m_Directory.knownLimits(), Now);
  Peer.m_Stream->send(Full.SerializeAsString());
}

void LoadExchange::onReport(std::string_view Bytes) {
  schema::LoadReport Report;
  if (!Report.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return;
  GatewayLoad &Known = m_ReportedLoads[Report.gateway()];
  if (!applyLoad(Known, Report))
    return;
  OutstandingCalls Load;
  Load.m_Heard = RuntimeClock::now();
  Load.m_Requests = Known.m_Requests;
  Load.m_PendingPromptTokens = Known.m_PendingPromptTokens;
  m_Directory.setOtherEntryCalls(Report.gateway(), std::move(Load));
  m_Guard.merge(Report);
  for (const schema::ServerLimit &Each : Report.limits())
    m_Directory.heardLimit(Each.backend_server(),
                           limitFromSchema(Each, RuntimeClock::now()));
  m_OnReport();
}

} // namespace mangocart
