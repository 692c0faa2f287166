// Streams of updates.
#include "Voter/WatchService.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Voter/DocumentMachine.h"
#include "Watch.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

// Also without news, so that a gateway notices a dead connection.
constexpr Duration TellInterval = std::chrono::milliseconds(500);
// A gateway that reads too slowly is told later.
constexpr std::size_t MaxQueuedBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxRecords = 1000;

WatcherKind fromSchema(schema::WatchHello::Kind Kind) {
  switch (Kind) {
  case schema::WatchHello::VOTER:
    return WatcherKind::Voter;
  case schema::WatchHello::BALANCER:
    return WatcherKind::Balancer;
  default:
    return WatcherKind::Gateway;
  }
}

} // namespace

WatchService::WatchService(boost::asio::io_context &Worker,
                           WatchSources Sources)
    : m_Sources(std::move(Sources)), m_Timer(Worker) {}

void WatchService::serve(PeerServer &Server) {
  Server.addMethod(WatchMethod, [Weak = weak_from_this()](
                                    const std::shared_ptr<PeerStream> &Stream) {
    const auto Post = [Weak](std::function<void(WatchService &)> Task) {
      if (const auto Self = Weak.lock())
        postTask(Self->m_Timer.get_executor(),
                 [Self, Task = std::move(Task)] { Task(*Self); });
    };
    const std::weak_ptr<PeerStream> Held = Stream;
    const PeerStream *Key = Stream.get();
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Post, Held](std::string_view Bytes) {
      Post([Held, Hello = std::string(Bytes)](WatchService &Self) {
        if (const auto Live = Held.lock())
          Self.join(Live, Hello);
      });
    };
    Handlers.m_OnEnd = [Post, Key] {
      Post([Key](WatchService &Self) { Self.leave(Key); });
    };
    Handlers.m_OnError = [Post, Key](const PeerError &) {
      Post([Key](WatchService &Self) { Self.leave(Key); });
    };
    Stream->setHandlers(std::move(Handlers));
  });
}

void WatchService::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

void WatchService::news() {
  if (m_NewsPosted.exchange(true))
    return;
  postTask(m_Timer.get_executor(), [Self = shared_from_this()] {
    Self->m_NewsPosted = false;
    Self->tellAll();
  });
}

void WatchService::tick() {
  tellAll();
  m_Timer.expires_after(TellInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

void WatchService::join(const std::shared_ptr<PeerStream> &Stream,
                        std::string_view Hello) {
  schema::WatchHello Parsed;
  if (!Parsed.ParseFromArray(Hello.data(), static_cast<int>(Hello.size())))
    return Stream->reset();
  m_Sources.m_Events.write(Event::WatcherJoined,
                           {{"watcher", Parsed.watcher()}});
  m_Watchers.push_back({Stream, Parsed.watcher(), fromSchema(Parsed.kind()),
                        Parsed.endpoint(), 0, 0});
  tell(m_Watchers.back());
}

void WatchService::leave(const PeerStream *Stream) {
  const auto Found =
      std::find_if(m_Watchers.begin(), m_Watchers.end(), [&](const Watcher &W) {
        return W.m_Stream.get() == Stream;
      });
  if (Found == m_Watchers.end())
    return;
  m_Sources.m_Events.write(Event::WatcherLost, {{"watcher", Found->m_Name}});
  m_Watchers.erase(Found);
}

void WatchService::tellAll() {
  for (Watcher &Each : m_Watchers)
    tell(Each);
}

void WatchService::tell(Watcher &To) {
  if (To.m_Stream->queuedBytes() > MaxQueuedBytes)
    return;
  schema::WatchUpdate Update;
  const DocumentPtr Document = m_Sources.m_Machine.document();
  Update.set_configuration_version(Document->m_Version);
  if (Document->m_Version > To.m_ToldVersion &&
      To.m_Kind != WatcherKind::Voter) {
    Update.set_configuration(Document->m_Bytes);
    To.m_ToldVersion = Document->m_Version;
  }
  MembershipDirectory &Heard = To.m_Kind == WatcherKind::Balancer
                                   ? m_Sources.m_HeardAnywhere
                                   : m_Sources.m_HeardHere;
  const DeltaBatch News = Heard.differences(To.m_ToldChange, MaxRecords);
  const TimePoint Now = RuntimeClock::now();
  for (const MemberDelta &Each : News.m_Deltas)
    deltaToSchema(Each, Now, *Update.add_records());
  To.m_ToldChange = News.m_Next;
  for (std::string &Member : m_Sources.m_Members())
    Update.add_members(std::move(Member));
  if (To.m_Kind == WatcherKind::Gateway)
    for (const Watcher &Each : m_Watchers)
      if (Each.m_Kind == WatcherKind::Gateway)
        Update.add_gateways(Each.m_Endpoint);
  Update.set_availability_zone(m_Sources.m_AvailabilityZone);
  To.m_Stream->send(Update.SerializeAsString());
}

} // namespace mangocart
