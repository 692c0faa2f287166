// Opening, reading and losing of streams.
#include "Gateway/VoterWatch.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Raft/RaftPeers.h"
#include "Watch.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr Duration LookInterval = std::chrono::milliseconds(250);
// A stream that was lost is not opened again sooner.
constexpr Duration ReopenInterval = std::chrono::milliseconds(500);
// Voters send an update twice a second: without one for so long the connection
// is dead, even if it was never reset.
constexpr Duration SilenceLimit = std::chrono::milliseconds(2000);

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
           [Self = shared_from_this()] { Self->look(); });
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
        return Each.second.m_Stream && Each.second.m_Updated;
      }));
}

bool VoterWatch::isKnown(const PeerEndpoint &Voter) const {
  return m_Seeds.contains(Voter) || m_Members.contains(Voter);
}

void VoterWatch::dropUnknown() {
  std::erase_if(m_Links, [&](const auto &Each) {
    return !Each.second.m_Stream && !isKnown(Each.first);
  });
}

void VoterWatch::look() {
  const TimePoint Now = RuntimeClock::now();
  for (const PeerEndpoint &Seed : m_Seeds)
    m_Links.try_emplace(Seed);
  for (const PeerEndpoint &Member : m_Members)
    m_Links.try_emplace(Member);
  dropUnknown();
  m_Links.erase(m_Self);
  for (auto &[To, Through] : m_Links) {
    if (Through.m_Stream && Now - Through.m_LastUpdate > SilenceLimit) {
      m_Client.disconnect(To);
      onLost(To, Through.m_Number, "no update in time");
    }
    if (m_Targets.m_OneOfZone.empty() && !Through.m_Stream &&
        Now - Through.m_Opened >= ReopenInterval)
      open(To, Through);
  }
  if (!m_Targets.m_OneOfZone.empty())
    lookForOne(Now);
  m_Timer.expires_after(LookInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->look();
  });
}

// The one that was opened longest ago is next.
void VoterWatch::lookForOne(TimePoint Now) {
  auto Next = m_Links.end();
  for (auto Each = m_Links.begin(); Each != m_Links.end(); ++Each) {
    if (Each->second.m_Stream)
      return;
    if (Next == m_Links.end() || Each->second.m_Opened < Next->second.m_Opened)
      Next = Each;
  }
  if (Next != m_Links.end() && Now - Next->second.m_Opened >= ReopenInterval)
    open(Next->first, Next->second);
}

// Whether another voter may be nearer.
bool VoterWatch::isMisplaced(const schema::WatchUpdate &Update) {
  if (m_Targets.m_OneOfZone.empty() ||
      Update.availability_zone() == m_Targets.m_OneOfZone ||
      m_PassedOver + 1 >= m_Links.size()) {
    m_PassedOver = 0;
    return false;
  }
  ++m_PassedOver;
  return true;
}

void VoterWatch::open(const PeerEndpoint &To, Link &Through) {
  Through.m_Number = ++m_LastNumber;
  Through.m_Opened = Through.m_LastUpdate = RuntimeClock::now();
  Through.m_Updated = false;
  const auto Post = [Self = shared_from_this()](std::function<void()> Task) {
    postTask(Self->m_Timer.get_executor(), std::move(Task));
  };
  PeerStreamHandlers Handlers;
  const std::uint64_t Number = Through.m_Number;
  Handlers.m_OnMessage = [Self = shared_from_this(), Post, To,
                          Number](std::string_view Bytes) {
    Post([Self, To, Number, Copy = std::string(Bytes)] {
      Self->onUpdate(To, Number, Copy);
    });
  };
  Handlers.m_OnEnd = [Self = shared_from_this(), Post, To, Number] {
    Post(
        [Self, To, Number] { Self->onLost(To, Number, "the voter ended it"); });
  };
  Handlers.m_OnError = [Self = shared_from_this(), Post, To,
                        Number](const PeerError &Error) {
    Post([Self, To, Number, Why = Error.m_Detail] {
      Self->onLost(To, Number, Why);
    });
  };
  Through.m_Stream = m_Client.open(To, WatchMethod, std::move(Handlers));
  schema::WatchHello Hello;
  Hello.set_watcher(m_Name);
  Hello.set_kind(toSchema(m_Targets.m_Kind));
  Hello.set_endpoint(m_Targets.m_Endpoint);
  Through.m_Stream->send(Hello.SerializeAsString());
}

void VoterWatch::onUpdate(const PeerEndpoint &From, std::uint64_t Number,
                          std::string_view Bytes) {
  const auto Found = m_Links.find(From);
  if (Found == m_Links.end() || Found->second.m_Number != Number)
    return;
  schema::WatchUpdate Update;
  if (!Update.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return onLost(From, Number, "an update can't be read");
  if (!Found->second.m_Updated && isMisplaced(Update)) {
    onLost(From, Number, "it is in another availability zone");
    return lookForOne(RuntimeClock::now());
  }
  take(From, Found->second, Update);
}

void VoterWatch::take(const PeerEndpoint &From, Link &Through,
                      const schema::WatchUpdate &Update) {
  Through.m_LastUpdate = RuntimeClock::now();
  if (!Through.m_Updated) {
    Through.m_Updated = true;
    m_Targets.m_Events.write(
        Event::VoterConnected,
        {{"voter", toString(From)},
         {"configuration", Update.configuration_version()}});
  }
  for (const schema::MemberRecord &Record : Update.records())
    m_Targets.m_Directory.heard(Record);
  if (!Update.configuration().empty())
    m_Targets.m_OnConfiguration(Update.configuration_version(),
                                Update.configuration());
  Through.m_Gateways.clear();
  for (const std::string &Gateway : Update.gateways())
    if (const auto Endpoint = parseEndpoint(Gateway))
      Through.m_Gateways.insert(*Endpoint);
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

void VoterWatch::onLost(const PeerEndpoint &From, std::uint64_t Number,
                        const std::string &Why) {
  const auto Found = m_Links.find(From);
  if (Found == m_Links.end() || Found->second.m_Number != Number ||
      !Found->second.m_Stream)
    return;
  Link &Through = Found->second;
  Through.m_Stream->reset();
  Through.m_Stream.reset();
  Through.m_Opened = RuntimeClock::now();
  if (!Through.m_Updated)
    return;
  Through.m_Updated = false;
  m_Targets.m_Events.write(Event::VoterLost,
                           {{"voter", toString(From)}, {"detail", Why}});
}

} // namespace mangocart
