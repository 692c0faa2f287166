// Sends updates on the streams of watchers.
#include "Voter/WatchService.h"

#include "Core/Compression.h"
#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Voter/DocumentMachine.h"
#include "Watch.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

// An update is sent even without changes, so that a gateway detects a dead
// connection.
constexpr Duration UpdateInterval = std::chrono::milliseconds(500);
// A watcher with more queued bytes reads too slowly; its next update is
// skipped.
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
                           WatchServiceDependencies Dependencies)
    : m_Dependencies(std::move(Dependencies)), m_Timer(Worker) {}

void WatchService::serve(PeerServer &Server) {
  Server.addMethod(WatchMethod, [Weak = weak_from_this()](
                                    const std::shared_ptr<PeerStream> &Stream) {
    const auto Post = [Weak](std::function<void(WatchService &)> Task) {
      if (const auto Self = Weak.lock())
        postTask(Self->m_Timer.get_executor(),
                 [Self, Task = std::move(Task)] { Task(*Self); });
    };
    const std::weak_ptr<PeerStream> WeakStream = Stream;
    const PeerStream *Key = Stream.get();
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Post, WeakStream](std::string_view Bytes) {
      Post([WeakStream, Hello = std::string(Bytes)](WatchService &Self) {
        if (const auto Live = WeakStream.lock())
          Self.addWatcher(Live, Hello);
      });
    };
    Handlers.m_OnEnd = [Post, Key] {
      Post([Key](WatchService &Self) { Self.removeWatcher(Key); });
    };
    Handlers.m_OnError = [Post, Key](const PeerError &) {
      Post([Key](WatchService &Self) { Self.removeWatcher(Key); });
    };
    Stream->setHandlers(std::move(Handlers));
  });
}

void WatchService::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

void WatchService::sendChanges() {
  if (m_UpdatePosted.exchange(true))
    return;
  postTask(m_Timer.get_executor(), [Self = shared_from_this()] {
    Self->m_UpdatePosted = false;
    Self->sendUpdateToAll();
  });
}

void WatchService::tick() {
  sendUpdateToAll();
  m_Timer.expires_after(UpdateInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

void WatchService::addWatcher(const std::shared_ptr<PeerStream> &Stream,
                              std::string_view Hello) {
  schema::WatchHello Parsed;
  if (!Parsed.ParseFromArray(Hello.data(), static_cast<int>(Hello.size())))
    return Stream->reset();
  m_Dependencies.m_Events.write(Event::WatcherJoined,
                                {{"watcher", Parsed.watcher()}});
  m_Watchers.push_back({Stream, Parsed.watcher(), fromSchema(Parsed.kind()),
                        Parsed.endpoint(), 0, 0, Parsed.accepts_compressed()});
  sendUpdate(m_Watchers.back());
}

void WatchService::removeWatcher(const PeerStream *Stream) {
  const auto Found =
      std::find_if(m_Watchers.begin(), m_Watchers.end(), [&](const Watcher &W) {
        return W.m_Stream.get() == Stream;
      });
  if (Found == m_Watchers.end())
    return;
  m_Dependencies.m_Events.write(Event::WatcherLost,
                                {{"watcher", Found->m_Name}});
  m_Watchers.erase(Found);
}

void WatchService::sendUpdateToAll() {
  for (Watcher &Each : m_Watchers)
    sendUpdate(Each);
}

const std::string &WatchService::compressed(const VersionedDocument &Document) {
  if (m_CompressedVersion != Document.m_Version) {
    m_Compressed = compress(Document.m_Bytes);
    m_CompressedVersion = Document.m_Version;
  }
  return m_Compressed;
}

void WatchService::addConfiguration(Watcher &To, schema::WatchUpdate &Update) {
  if (To.m_Kind == WatcherKind::Gateway && !m_Dependencies.m_IsCaughtUp())
    return;
  const DocumentPtr Document = m_Dependencies.m_Machine.document();
  Update.set_configuration_version(Document->m_Version);
  if (Document->m_Version > To.m_SentVersion &&
      To.m_Kind != WatcherKind::Voter) {
    if (To.m_AcceptsCompressed)
      Update.set_compressed_configuration(compressed(*Document));
    else
      Update.set_configuration(Document->m_Bytes);
    To.m_SentVersion = Document->m_Version;
  }
}

void WatchService::sendUpdate(Watcher &To) {
  if (To.m_Stream->queuedBytes() > MaxQueuedBytes)
    return;
  schema::WatchUpdate Update;
  addConfiguration(To, Update);
  MembershipDirectory &Announcements =
      To.m_Kind == WatcherKind::Balancer ? m_Dependencies.m_AllAnnouncements
                                         : m_Dependencies.m_LocalAnnouncements;
  const DeltaBatch Batch =
      Announcements.differences(To.m_SentChange, MaxRecords);
  const TimePoint Now = RuntimeClock::now();
  for (const MemberDelta &Each : Batch.m_Deltas)
    deltaToSchema(Each, Now, *Update.add_records());
  To.m_SentChange = Batch.m_Next;
  for (std::string &Member : m_Dependencies.m_Members())
    Update.add_members(std::move(Member));
  // Read after the document, so that no document goes out with evacuations that
  // are older than it.
  const Evacuations Evacuated = m_Dependencies.m_Machine.evacuations();
  if (To.m_Kind == WatcherKind::Gateway && Evacuated.m_Change > 0)
    evacuationsToSchema(Evacuated, *Update.mutable_evacuations());
  if (To.m_Kind == WatcherKind::Gateway)
    for (const Watcher &Each : m_Watchers)
      if (Each.m_Kind == WatcherKind::Gateway)
        Update.add_gateways(Each.m_Endpoint);
  Update.set_availability_zone(m_Dependencies.m_AvailabilityZone);
  To.m_Stream->send(Update.SerializeAsString());
}

} // namespace mangocart
