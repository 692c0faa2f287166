// Opens, reads and reopens streams to voters.
#include "Gateway/VoterWatch.h"

#include "Core/Compression.h"
#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Raft/RaftPeers.h"
#include "Watch.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(100);
// Minimum time before a lost stream is reopened.
constexpr Duration ReopenInterval = std::chrono::milliseconds(200);
// Voters send an update twice a second. Without one for this time the
// connection counts as lost, even if it was never reset.
constexpr Duration UpdateTimeout = std::chrono::milliseconds(2000);
// A larger configuration is rejected; operators' calls are limited to 64 MiB.
constexpr std::size_t MaxConfigurationBytes = std::size_t{64} * 1024 * 1024;

schema::WatchHello::Kind toSchema(WatcherKind Kind) {
  switch (Kind) {
  case WatcherKind::Gateway:
    return schema::WatchHello::GATEWAY;
  case WatcherKind::Voter:
    return schema::WatchHello::VOTER;
  case WatcherKind::Balancer:
    return schema::WatchHello::BALANCER;
  }
  return schema::WatchHello::GATEWAY;
}

} // namespace

VoterWatch::VoterWatch(boost::asio::io_context &Worker, PeerClient &Client,
                       WatchTargets Targets, std::string Name)
    : m_Client(Client), m_Targets(std::move(Targets)), m_Name(std::move(Name)),
      m_Timer(Worker) {}

void VoterWatch::start(std::vector<PeerEndpoint> Seeds, PeerEndpoint Self) {
  m_Self = std::move(Self);
  m_Seeds.insert(Seeds.begin(), Seeds.end());
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->checkStreams(); });
}

void VoterWatch::setSeeds(std::vector<PeerEndpoint> Seeds) {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this(), Seeds = std::move(Seeds)] {
             Self->m_Seeds.clear();
             Self->m_Seeds.insert(Seeds.begin(), Seeds.end());
           });
}

std::size_t VoterWatch::connected() const {
  return static_cast<std::size_t>(
      std::count_if(m_Links.begin(), m_Links.end(), [](const auto &Each) {
        return Each.second.m_Stream && Each.second.m_HasUpdate;
      }));
}

bool VoterWatch::hasMajority() const {
  const auto Connected =
      std::count_if(m_Links.begin(), m_Links.end(), [&](const auto &Each) {
        return Each.second.m_Stream && Each.second.m_HasUpdate &&
               m_Members.contains(Each.first);
      });
  return static_cast<std::size_t>(Connected) * 2 > m_Members.size();
}

bool VoterWatch::isKnown(const PeerEndpoint &Voter) const {
  return m_Seeds.contains(Voter) || m_Members.contains(Voter);
}

void VoterWatch::removeUnknownVoters() {
  std::erase_if(m_Links, [&](const auto &Each) {
    return !Each.second.m_Stream && !isKnown(Each.first);
  });
}

void VoterWatch::checkStreams() {
  const TimePoint Now = RuntimeClock::now();
  for (const PeerEndpoint &Seed : m_Seeds)
    m_Links.try_emplace(Seed);
  for (const PeerEndpoint &Member : m_Members)
    m_Links.try_emplace(Member);
  removeUnknownVoters();
  m_Links.erase(m_Self);
  for (auto &[To, Peer] : m_Links) {
    if (Peer.m_Stream && Now - Peer.m_LastUpdate > UpdateTimeout) {
      m_Client.disconnect(To);
      onLost(To, Peer.m_Number, "no update received within the timeout");
    }
    if (m_Targets.m_PreferredZone.empty() && !Peer.m_Stream &&
        Now - Peer.m_OpenedAt >= ReopenInterval)
      open(To, Peer);
  }
  if (!m_Targets.m_PreferredZone.empty())
    openOneStream(Now);
  m_Timer.expires_after(CheckInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->checkStreams();
  });
}

// Opens a stream to the voter whose last stream was opened longest ago, unless
// there is an open stream.
void VoterWatch::openOneStream(TimePoint Now) {
  auto Next = m_Links.end();
  for (auto Each = m_Links.begin(); Each != m_Links.end(); ++Each) {
    if (Each->second.m_Stream)
      return;
    if (Next == m_Links.end() ||
        Each->second.m_OpenedAt < Next->second.m_OpenedAt)
      Next = Each;
  }
  if (Next != m_Links.end() && Now - Next->second.m_OpenedAt >= ReopenInterval)
    open(Next->first, Next->second);
}

// Whether to try another voter, because this one is in another zone and not all
// voters have been tried.
bool VoterWatch::shouldSkipVoter(const schema::WatchUpdate &Update) {
  if (m_Targets.m_PreferredZone.empty() ||
      Update.availability_zone() == m_Targets.m_PreferredZone ||
      m_SkippedVoters + 1 >= m_Links.size()) {
    m_SkippedVoters = 0;
    return false;
  }
  ++m_SkippedVoters;
  return true;
}

void VoterWatch::open(const PeerEndpoint &To, Link &Peer) {
  Peer.m_Number = ++m_LastNumber;
  Peer.m_OpenedAt = Peer.m_LastUpdate = RuntimeClock::now();
  Peer.m_HasUpdate = false;
  const auto Post = [Self = shared_from_this()](std::function<void()> Task) {
    postTask(Self->m_Timer.get_executor(), std::move(Task));
  };
  PeerStreamHandlers Handlers;
  const std::uint64_t Number = Peer.m_Number;
  Handlers.m_OnMessage = [Self = shared_from_this(), Post, To,
                          Number](std::string_view Bytes) {
    Post([Self, To, Number, Copy = std::string(Bytes)] {
      Self->onUpdate(To, Number, Copy);
    });
  };
  Handlers.m_OnEnd = [Self = shared_from_this(), Post, To, Number] {
    Post([Self, To, Number] {
      Self->onLost(To, Number, "the voter closed the stream");
    });
  };
  Handlers.m_OnError = [Self = shared_from_this(), Post, To,
                        Number](const PeerError &Error) {
    Post([Self, To, Number, Reason = Error.m_Detail] {
      Self->onLost(To, Number, Reason);
    });
  };
  Peer.m_Stream = m_Client.open(To, WatchMethod, std::move(Handlers));
  schema::WatchHello Hello;
  Hello.set_watcher(m_Name);
  Hello.set_kind(toSchema(m_Targets.m_Kind));
  Hello.set_endpoint(m_Targets.m_Endpoint);
  Hello.set_accepts_compressed(true);
  Hello.set_confirms_changes(true);
  Peer.m_Stream->send(Hello.SerializeAsString());
}

void VoterWatch::onUpdate(const PeerEndpoint &From, std::uint64_t Number,
                          std::string_view Bytes) {
  const auto Found = m_Links.find(From);
  if (Found == m_Links.end() || Found->second.m_Number != Number)
    return;
  schema::WatchUpdate Update;
  if (!Update.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return onLost(From, Number, "received an update that cannot be parsed");
  if (!Found->second.m_HasUpdate && shouldSkipVoter(Update)) {
    onLost(From, Number, "the voter is in another availability zone");
    return openOneStream(RuntimeClock::now());
  }
  applyUpdate(From, Found->second, Update);
}

void VoterWatch::applyUpdate(const PeerEndpoint &From, Link &Peer,
                             const schema::WatchUpdate &Update) {
  Peer.m_LastUpdate = RuntimeClock::now();
  if (!Peer.m_HasUpdate) {
    Peer.m_HasUpdate = true;
    m_Targets.m_Events.write(
        Event::VoterConnected,
        {{"voter", toString(From)},
         {"configuration", Update.configuration_version()}});
  }
  if (Update.has_evacuations())
    m_Targets.m_OnEvacuations(evacuationsFromSchema(Update.evacuations()));
  for (const schema::MemberRecord &Record : Update.records()) {
    m_Targets.m_Directory.heard(Record);
    m_Targets.m_OnRecord(Record.announcement().backend_server());
  }
  if (Update.confirm_change() != 0)
    m_Targets.m_BeforeConfirmation([Weak = weak_from_this(), From,
                                    Number = Peer.m_Number,
                                    Change = Update.confirm_change()] {
      if (const auto Self = Weak.lock())
        Self->confirm(From, Number, Change);
    });
  applyConfiguration(From, Update);
  Peer.m_Gateways.clear();
  for (const std::string &Gateway : Update.gateways())
    if (const auto Endpoint = parseEndpoint(Gateway))
      Peer.m_Gateways.insert(*Endpoint);
  std::set<PeerEndpoint> Gateways;
  for (const auto &[To, Each] : m_Links)
    if (Each.m_Stream)
      Gateways.insert(Each.m_Gateways.begin(), Each.m_Gateways.end());
  m_Targets.m_OnGateways(Gateways);
  if (Update.members().empty())
    return;
  m_Members.clear();
  for (const std::string &Member : Update.members())
    if (const auto Endpoint = parseEndpoint(Member))
      m_Members.insert(*Endpoint);
}

void VoterWatch::confirm(const PeerEndpoint &To, std::uint64_t Number,
                         std::uint64_t Change) {
  // The stream may have been lost meanwhile.
  const auto Found = m_Links.find(To);
  if (Found == m_Links.end() || Found->second.m_Number != Number ||
      !Found->second.m_Stream)
    return;
  schema::WatchConfirmation Confirmation;
  Confirmation.set_change(Change);
  Found->second.m_Stream->send(Confirmation.SerializeAsString());
}

void VoterWatch::applyConfiguration(const PeerEndpoint &From,
                                    const schema::WatchUpdate &Update) {
  const std::uint64_t Version = Update.configuration_version();
  if (!Update.configuration().empty())
    return m_Targets.m_OnConfiguration(Version, Update.configuration());
  // Several voters send each version; only the first copy is needed.
  if (Update.compressed_configuration().empty() ||
      (m_HasConfiguration && Version <= m_ConfigurationVersion))
    return;
  const auto Document =
      decompress(Update.compressed_configuration(), MaxConfigurationBytes);
  if (!Document) {
    m_Targets.m_Events.write(
        Event::ConfigurationUnusable,
        {{"version", Version},
         {"detail",
          "cannot decompress the update of voter " + toString(From)}});
    return;
  }
  m_HasConfiguration = true;
  m_ConfigurationVersion = Version;
  m_Targets.m_OnConfiguration(Version, *Document);
}

void VoterWatch::onLost(const PeerEndpoint &From, std::uint64_t Number,
                        const std::string &Reason) {
  const auto Found = m_Links.find(From);
  if (Found == m_Links.end() || Found->second.m_Number != Number ||
      !Found->second.m_Stream)
    return;
  Link &Peer = Found->second;
  Peer.m_Stream->reset();
  Peer.m_Stream.reset();
  Peer.m_OpenedAt = RuntimeClock::now();
  if (!Peer.m_HasUpdate)
    return;
  Peer.m_HasUpdate = false;
  m_Targets.m_Events.write(Event::VoterLost,
                           {{"voter", toString(From)}, {"detail", Reason}});
}

} // namespace mangocart
