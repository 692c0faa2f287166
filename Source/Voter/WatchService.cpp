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
// A watcher that is suspended must not hold up an acknowledgement for longer.
constexpr Duration ConfirmationByAllTimeout = std::chrono::milliseconds(200);
// Callers try another voter after a second without a response.
constexpr Duration ConfirmationTimeout = std::chrono::milliseconds(900);

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
    : m_Dependencies(std::move(Dependencies)), m_Timer(Worker),
      m_PendingTimer(Worker) {}

void WatchService::serve(PeerServer &Server) {
  Server.addMethod(WatchMethod, [Weak = weak_from_this()](
                                    const std::shared_ptr<PeerStream> &Stream) {
    if (const auto Self = Weak.lock())
      Self->accept(Stream);
  });
}

void WatchService::accept(const std::shared_ptr<PeerStream> &Stream) {
  const auto Post =
      [Weak = weak_from_this()](std::function<void(WatchService &)> Task) {
        if (const auto Self = Weak.lock())
          postTask(Self->m_Timer.get_executor(),
                   [Self, Task = std::move(Task)] { Task(*Self); });
      };
  const std::weak_ptr<PeerStream> WeakStream = Stream;
  const PeerStream *Key = Stream.get();
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [Post, WeakStream](std::string_view Bytes) {
    Post([WeakStream, Message = std::string(Bytes)](WatchService &Self) {
      if (const auto Live = WeakStream.lock())
        Self.onMessage(Live, Message);
    });
  };
  Handlers.m_OnEnd = [Post, Key] {
    Post([Key](WatchService &Self) { Self.removeWatcher(Key); });
  };
  Handlers.m_OnError = [Post, Key](const PeerError &) {
    Post([Key](WatchService &Self) { Self.removeWatcher(Key); });
  };
  Stream->setHandlers(std::move(Handlers));
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

std::list<WatchService::Watcher>::iterator
WatchService::findWatcher(const PeerStream *Stream) {
  return std::find_if(
      m_Watchers.begin(), m_Watchers.end(),
      [&](const Watcher &Each) { return Each.m_Stream.get() == Stream; });
}

void WatchService::onMessage(const std::shared_ptr<PeerStream> &Stream,
                             std::string_view Bytes) {
  const auto Known = findWatcher(Stream.get());
  if (Known == m_Watchers.end())
    addWatcher(Stream, Bytes);
  else
    onConfirmation(*Known, Bytes);
}

void WatchService::addWatcher(const std::shared_ptr<PeerStream> &Stream,
                              std::string_view Hello) {
  schema::WatchHello Parsed;
  if (!Parsed.ParseFromArray(Hello.data(), static_cast<int>(Hello.size())))
    return Stream->reset();
  m_Dependencies.m_Events.write(Event::WatcherJoined,
                                {{"watcher", Parsed.watcher()}});
  Watcher &Added = m_Watchers.emplace_back();
  Added.m_Stream = Stream;
  Added.m_Name = Parsed.watcher();
  Added.m_Kind = fromSchema(Parsed.kind());
  Added.m_Endpoint = Parsed.endpoint();
  Added.m_AcceptsCompressed = Parsed.accepts_compressed();
  Added.m_ConfirmsChanges = Parsed.confirms_changes();
  sendUpdate(Added);
}

void WatchService::onConfirmation(Watcher &From, std::string_view Bytes) {
  schema::WatchConfirmation Parsed;
  if (!Parsed.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return From.m_Stream->reset();
  From.m_ConfirmedChange =
      std::max(From.m_ConfirmedChange,
               std::min<std::uint64_t>(Parsed.change(), From.m_SentChange));
  // One update doesn't hold any number of records.
  if (From.m_SentChange < lastPendingChange())
    sendUpdate(From);
  settlePendingChanges();
}

void WatchService::removeWatcher(const PeerStream *Stream) {
  const auto Found = findWatcher(Stream);
  if (Found == m_Watchers.end())
    return;
  m_Dependencies.m_Events.write(Event::WatcherLost,
                                {{"watcher", Found->m_Name}});
  m_Watchers.erase(Found);
  settlePendingChanges();
}

void WatchService::sendUpdateToAll() {
  for (Watcher &Each : m_Watchers)
    sendUpdate(Each);
  // Watchers that don't confirm changes have been sent them now.
  settlePendingChanges();
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
  requestConfirmation(To, Update);
  To.m_Stream->send(Update.SerializeAsString());
}

// ---- Confirmations.

void WatchService::confirmChange(std::uint64_t Change,
                                 ConfirmationHandler Done) {
  const TimePoint Now = RuntimeClock::now();
  const std::uint64_t Number = ++m_LastPendingNumber;
  m_PendingChanges.push_back({Number, Change, Now + ConfirmationByAllTimeout,
                              Now + ConfirmationTimeout, std::move(Done)});
  m_Dependencies.m_WhenStored(
      [Weak = weak_from_this(), Number](const Result<void, std::string> &R) {
        if (const auto Self = Weak.lock())
          Self->onStored(Number, R);
      });
  sendChanges();
  settlePendingChanges();
}

void WatchService::onStored(std::uint64_t Number,
                            const Result<void, std::string> &Stored) {
  for (PendingChange &Each : m_PendingChanges)
    if (Each.m_Number == Number)
      Each.m_Stored = Stored;
  settlePendingChanges();
}

void WatchService::requestConfirmation(Watcher &To,
                                       schema::WatchUpdate &Update) {
  if (To.m_Kind == WatcherKind::Balancer ||
      To.m_ConfirmedChange >= lastPendingChange())
    return;
  if (To.m_ConfirmsChanges)
    Update.set_confirm_change(To.m_SentChange);
  else
    To.m_ConfirmedChange = To.m_SentChange;
}

std::uint64_t WatchService::lastPendingChange() const {
  std::uint64_t Last = 0;
  for (const PendingChange &Each : m_PendingChanges)
    Last = std::max(Last, Each.m_Change);
  return Last;
}

std::vector<WatcherProgress> WatchService::progress() const {
  std::vector<WatcherProgress> Watchers;
  for (const Watcher &Each : m_Watchers)
    Watchers.push_back({Each.m_Name, Each.m_Kind, Each.m_ConfirmedChange});
  return Watchers;
}

std::optional<Result<void, std::string>>
WatchService::resultOf(const PendingChange &Pending,
                       const std::vector<WatcherProgress> &Watchers,
                       std::size_t RequiredVoters, TimePoint Now) {
  if (Pending.m_Stored && !*Pending.m_Stored)
    return Pending.m_Stored;
  const ConfirmationState State = confirmationState(
      Watchers, Pending.m_Change, RequiredVoters, Now < Pending.m_AllDeadline);
  switch (State) {
  case ConfirmationState::Confirmed:
    if (Pending.m_Stored)
      return success();
    break;
  case ConfirmationState::OutOfReach:
    return std::string("too few other voters are connected");
  case ConfirmationState::Pending:
    break;
  }
  if (Now < Pending.m_Deadline)
    return std::nullopt;
  return std::string(
      State == ConfirmationState::Confirmed
          ? "this voter's disk has not stored the change in time"
          : "too few other voters have confirmed the change in time");
}

void WatchService::settlePendingChanges() {
  if (m_PendingChanges.empty())
    return;
  const std::vector<WatcherProgress> Watchers = progress();
  const std::size_t RequiredVoters = m_Dependencies.m_RequiredVoters();
  const TimePoint Now = RuntimeClock::now();
  // Handlers are called last: they may add pending changes.
  std::vector<std::function<void()>> Handlers;
  for (auto Each = m_PendingChanges.begin(); Each != m_PendingChanges.end();) {
    auto Settled = resultOf(*Each, Watchers, RequiredVoters, Now);
    if (!Settled) {
      ++Each;
      continue;
    }
    Handlers.push_back([Done = std::move(Each->m_Done),
                        Result = std::move(*Settled)] { Done(Result); });
    Each = m_PendingChanges.erase(Each);
  }
  armPendingTimer(Now);
  for (const auto &Handler : Handlers)
    Handler();
}

void WatchService::armPendingTimer(TimePoint Now) {
  if (m_PendingChanges.empty())
    return;
  TimePoint Due = TimePoint::max();
  for (const PendingChange &Each : m_PendingChanges)
    Due = std::min(Due, Now < Each.m_AllDeadline ? Each.m_AllDeadline
                                                 : Each.m_Deadline);
  m_PendingTimer.expires_at(Due);
  m_PendingTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code E) {
        if (!E)
          Self->settlePendingChanges();
      });
}

} // namespace mangocart
