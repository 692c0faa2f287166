#include "Entry/GossipService.h"

#include "Configuration/ConfigurationHolder.h"
#include "Core/WorkerPool.h"
#include "Entry/MembershipDirectory.h"
#include "Net/PeerStream.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace mangocart {

namespace {

constexpr const char *GossipMethod = "/entry/gossip";
constexpr Duration RoundInterval = std::chrono::milliseconds(500);
constexpr Duration ExchangeTimeout = std::chrono::seconds(2);
// Number of entries contacted per round, and for each new configuration.
constexpr std::size_t FanOut = 3;
constexpr std::size_t MaxRecordsPerMessage = 200;

std::uint32_t millisecondsSince(TimePoint Then) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          RuntimeClock::now() - Then)
          .count());
}

} // namespace

GossipService::GossipService(const schema::EntrySettings &Settings,
                             WorkerPool &Workers, PeerClient &Peers,
                             ConfigurationHolder &Configuration,
                             MembershipDirectory &Directory, std::uint64_t Seed)
    : m_Settings(Settings), m_Peers(Peers), m_Configuration(Configuration),
      m_Directory(Directory), m_Timer(Workers.worker(0)), m_Random(Seed) {
  for (const schema::PeerAddress &Entry : Settings.entries()) {
    if (Entry.name() == Settings.name())
      continue;
    Peer Other;
    Other.m_Name = Entry.name();
    Other.m_Address = Entry.address();
    Other.m_Port = static_cast<std::uint16_t>(Entry.peer_port());
    m_PeersByName.emplace(Entry.name(), std::move(Other));
  }
}

void GossipService::start() {
  boost::asio::post(m_Timer.get_executor(),
                    [Self = shared_from_this()] { Self->tick(); });
}

void GossipService::tick() {
  m_Directory.sweepMembers();
  {
    const std::lock_guard Lock(m_Mutex);
    for (Peer *Each : samplePeers(false))
      exchange(*Each, Each->m_Version < m_Configuration.version());
  }
  m_Timer.expires_after(RoundInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->tick();
      });
}

void GossipService::propagateConfiguration() {
  const std::lock_guard Lock(m_Mutex);
  for (Peer *Each : samplePeers(true))
    exchange(*Each, true);
}

std::vector<GossipService::Peer *> GossipService::samplePeers(bool OnlyOlder) {
  const std::uint64_t Version = m_Configuration.version();
  std::vector<Peer *> Peers;
  for (auto &[Name, Each] : m_PeersByName) {
    if (OnlyOlder ? Each.m_Version < Version : !Each.m_Busy)
      Peers.push_back(&Each);
  }
  const std::size_t Wanted = std::min(FanOut, Peers.size());
  for (std::size_t I = 0; I < Wanted; ++I)
    std::swap(Peers[I], Peers[uniform(m_Random, I, Peers.size() - 1)]);
  Peers.resize(Wanted);
  return Peers;
}

void GossipService::exchange(Peer &With, bool WithConfiguration) {
  schema::GossipMessage Message;
  Message.set_from(m_Settings.name());
  const ConfigurationPtr Configuration = m_Configuration.current();
  Message.set_configuration_version(Configuration->version());
  if (WithConfiguration)
    *Message.mutable_configuration() = *Configuration;
  const DifferenceBatch Batch =
      m_Directory.differences(With.m_Acknowledged, MaxRecordsPerMessage);
  for (const Difference &Change : Batch.m_Differences)
    differenceToSchema(Change, RuntimeClock::now(), *Message.add_members());
  addVersions(Message);
  With.m_Busy = true;
  m_Peers.call({With.m_Address, With.m_Port}, GossipMethod,
               Message.SerializeAsString(), ExchangeTimeout,
               [Self = shared_from_this(), Name = With.m_Name,
                Next = Batch.m_Next](const Result<std::string, PeerError> &R) {
                 Self->handleReply(Name, Next, R ? R.value() : std::string());
               });
}

void GossipService::addVersions(schema::GossipMessage &Message) const {
  for (const auto &[Name, Each] : m_PeersByName) {
    if (Each.m_Version == 0)
      continue;
    schema::ProcessVersion *Version = Message.add_versions();
    Version->set_process(Name);
    Version->set_role("entry");
    Version->set_configuration_version(Each.m_Version);
    Version->set_heard_ms_ago(millisecondsSince(Each.m_HeardAt));
  }
}

void GossipService::handleReply(const std::string &Name,
                                std::uint64_t AcknowledgedUpTo,
                                const std::string &Bytes) {
  schema::GossipReply Reply;
  const bool Answered = !Bytes.empty() && Reply.ParseFromString(Bytes);
  {
    const std::lock_guard Lock(m_Mutex);
    Peer &From = m_PeersByName.at(Name);
    From.m_Busy = false;
    if (!Answered) {
      // The peer may have restarted and lost the acknowledged records.
      From.m_Acknowledged = 0;
      return;
    }
    From.m_Acknowledged = AcknowledgedUpTo;
    From.m_Version = Reply.configuration_version();
    From.m_HeardAt = RuntimeClock::now();
  }
  if (Reply.has_configuration())
    m_Configuration.offer(Reply.configuration());
}

void GossipService::handleVersion(const schema::ProcessVersion &Version) {
  const auto Known = m_PeersByName.find(Version.process());
  if (Known == m_PeersByName.end())
    return;
  const TimePoint HeardAt =
      RuntimeClock::now() - std::chrono::milliseconds(Version.heard_ms_ago());
  if (HeardAt <= Known->second.m_HeardAt)
    return;
  Known->second.m_HeardAt = HeardAt;
  Known->second.m_Version = Version.configuration_version();
}

schema::GossipReply
GossipService::receive(const schema::GossipMessage &Message) {
  if (Message.has_configuration())
    m_Configuration.offer(Message.configuration());
  for (const schema::MemberRecord &Record : Message.members())
    m_Directory.heard(Record);
  const ConfigurationPtr Configuration = m_Configuration.current();
  schema::GossipReply Reply;
  Reply.set_configuration_version(Configuration->version());
  if (Configuration->version() > Message.configuration_version())
    *Reply.mutable_configuration() = *Configuration;
  const std::lock_guard Lock(m_Mutex);
  const auto From = m_PeersByName.find(Message.from());
  if (From != m_PeersByName.end()) {
    From->second.m_Version = Message.configuration_version();
    From->second.m_HeardAt = RuntimeClock::now();
  }
  for (const schema::ProcessVersion &Version : Message.versions())
    handleVersion(Version);
  return Reply;
}

std::vector<VersionView> GossipService::versions() const {
  const TimePoint Now = RuntimeClock::now();
  std::vector<VersionView> Views;
  Views.push_back(
      {m_Settings.name(), "entry", m_Configuration.version(), Duration(0)});
  const std::lock_guard Lock(m_Mutex);
  for (const auto &[Name, Each] : m_PeersByName)
    Views.push_back({Name, "entry", Each.m_Version, Now - Each.m_HeardAt});
  for (const MemberView &View : m_Directory.members())
    Views.push_back({View.m_Member.m_BackendServer, "agent",
                     View.m_Member.m_ConfigurationVersion, Duration(0)});
  return Views;
}

} // namespace mangocart
