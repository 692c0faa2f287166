// Streams of load reports.
#include "Gateway/LoadExchange.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Gateway.pb.h"

namespace mangocart {

namespace {

constexpr const char *LoadMethod = "/gateway/load";
// Between two reports that differ, and at most between two.
constexpr Duration TellInterval = std::chrono::milliseconds(40);
constexpr Duration RepeatInterval = std::chrono::milliseconds(500);
constexpr Duration ReopenInterval = std::chrono::milliseconds(500);
// A gateway that doesn't read is told no more; only the newest report counts.
constexpr std::size_t MaxQueuedBytes = std::size_t{16} * 1024;

} // namespace

LoadExchange::LoadExchange(boost::asio::io_context &Worker, PeerClient &Client,
                           MembershipDirectory &Directory, std::string Name,
                           PeerEndpoint Self, std::function<void()> OnHeard)
    : m_Client(Client), m_Directory(Directory), m_Name(std::move(Name)),
      m_Self(std::move(Self)), m_OnHeard(std::move(OnHeard)), m_Timer(Worker) {}

void LoadExchange::serve(PeerServer &Server) {
  Server.addMethod(LoadMethod, [Weak = weak_from_this()](
                                   const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Weak](std::string_view Bytes) {
      const auto Self = Weak.lock();
      if (!Self)
        return;
      postTask(Self->m_Timer.get_executor(),
               [Self, Copy = std::string(Bytes)] { Self->heard(Copy); });
    };
    Handlers.m_OnEnd = [Held = std::weak_ptr(Stream)] {
      if (const auto Live = Held.lock())
        Live->finish();
    };
    Stream->setHandlers(std::move(Handlers));
  });
}

void LoadExchange::start() {
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
  OutstandingCalls Own = m_Directory.ownCalls();
  if (Own.m_Requests != m_Told || Now - m_ToldAt >= RepeatInterval) {
    const std::string Changes =
        report(workChanges(m_Told, Own.m_Requests), true);
    for (auto &[To, Through] : m_Links)
      tell(To, Through, Own.m_Requests, Changes);
    m_Told = std::move(Own.m_Requests);
    m_ToldAt = Now;
  }
  m_Timer.expires_after(TellInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

std::string LoadExchange::report(const WorkByServer &Work,
                                 bool ChangesOnly) const {
  schema::LoadReport Report;
  Report.set_gateway(m_Name);
  Report.set_changes_only(ChangesOnly);
  for (const auto &[Server, Requests] : Work) {
    Report.add_servers(Server);
    Report.add_requests(Requests);
  }
  return Report.SerializeAsString();
}

void LoadExchange::tell(const PeerEndpoint &To, Link &Through,
                        const WorkByServer &Work, const std::string &Changes) {
  if (Through.m_Stream && *Through.m_Lost)
    Through.m_Stream.reset();
  const TimePoint Now = RuntimeClock::now();
  if (!Through.m_Stream) {
    Through.m_NeedsWhole = true;
    if (Now - Through.m_Opened < ReopenInterval)
      return;
    Through.m_Opened = Now;
    Through.m_Lost = std::make_shared<bool>(false);
    const auto Lose = [Lost = Through.m_Lost, Self = shared_from_this()] {
      postTask(Self->m_Timer.get_executor(), [Lost] { *Lost = true; });
    };
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [](std::string_view) {};
    Handlers.m_OnEnd = Lose;
    Handlers.m_OnError = [Lose](const PeerError &) { Lose(); };
    Through.m_Stream = m_Client.open(To, LoadMethod, std::move(Handlers));
  }
  if (Through.m_Stream->queuedBytes() > MaxQueuedBytes) {
    Through.m_NeedsWhole = true;
    return;
  }
  Through.m_Stream->send(std::exchange(Through.m_NeedsWhole, false)
                             ? report(Work, false)
                             : Changes);
}

void LoadExchange::heard(std::string_view Bytes) {
  schema::LoadReport Report;
  if (!Report.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Report.servers_size() != Report.requests_size())
    return;
  WorkByServer Told;
  for (int I = 0; I < Report.servers_size(); ++I)
    Told[Report.servers(I)] = Report.requests(I);
  WorkByServer &Known = m_Heard[Report.gateway()];
  if (!Report.changes_only())
    Known.clear();
  applyWorkChanges(Known, Told);
  OutstandingCalls Work;
  Work.m_Heard = RuntimeClock::now();
  Work.m_Requests = Known;
  m_Directory.setOtherEntryCalls(Report.gateway(), std::move(Work));
  m_OnHeard();
}

} // namespace mangocart
