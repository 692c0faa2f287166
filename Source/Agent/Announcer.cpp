// Sends periodic announcements to the entries and handles their replies.
#include "Agent/Announcer.h"

#include "Configuration/ConfigurationHolder.h"
#include "Core/WorkerPool.h"
#include "Net/PeerStream.h"

#include <boost/asio/post.hpp>

namespace mangocart {

namespace {

constexpr const char *AnnounceMethod = "/entry/announce";
constexpr Duration ReplyTimeout = std::chrono::seconds(1);

void raiseToAtLeast(std::atomic<std::uint64_t> &Value, std::uint64_t Minimum) {
  std::uint64_t Current = Value.load();
  while (Current < Minimum && !Value.compare_exchange_weak(Current, Minimum)) {
  }
}

} // namespace

Announcer::Announcer(const schema::AgentSettings &Settings, WorkerPool &Workers,
                     PeerClient &Peers, ConfigurationHolder &Configuration,
                     std::uint64_t Incarnation, LoadSource Load,
                     IncarnationHandler OnIncarnation)
    : m_Settings(Settings), m_Peers(Peers), m_Configuration(Configuration),
      m_Load(std::move(Load)), m_OnIncarnation(std::move(OnIncarnation)),
      m_Timer(Workers.worker(0)), m_Incarnation(Incarnation) {}

void Announcer::start() {
  boost::asio::post(m_Timer.get_executor(), [Self = shared_from_this()] {
    Self->announcePeriodically();
  });
}

void Announcer::announceNow() {
  boost::asio::post(m_Timer.get_executor(),
                    [Self = shared_from_this()] { Self->announce(); });
}

void Announcer::announcePeriodically() {
  announce();
  m_Timer.expires_after(
      std::chrono::milliseconds(m_Settings.announce_interval_ms()));
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->announcePeriodically();
      });
}

void Announcer::announce() {
  const AnnouncedLoad Load = m_Load();
  schema::Announcement Message;
  Message.set_backend_server(m_Settings.name());
  Message.set_service(m_Settings.service());
  Message.set_availability_zone(m_Settings.availability_zone());
  Message.set_address(m_Settings.address());
  Message.set_peer_port(m_Settings.peer_port());
  Message.set_incarnation(m_Incarnation);
  Message.set_counter(++m_Counter);
  Message.set_state(Load.m_State);
  Message.set_outstanding(Load.m_Outstanding);
  Message.set_reported_load(Load.m_ReportedLoad);
  Message.set_report_age_ms(Load.m_ReportAgeMilliseconds);
  Message.set_configuration_version(m_Configuration.version());
  const std::string Bytes = Message.SerializeAsString();
  for (const schema::PeerAddress &Entry : m_Settings.entries()) {
    const PeerEndpoint Endpoint{Entry.address(),
                                static_cast<std::uint16_t>(Entry.peer_port())};
    m_Peers.call(Endpoint, AnnounceMethod, Bytes, ReplyTimeout,
                 [Self = shared_from_this()](
                     const Result<std::string, PeerError> &Reply) {
                   if (Reply)
                     Self->handleReply(Reply.value());
                 });
  }
}

void Announcer::handleReply(const std::string &Bytes) {
  schema::AnnounceReply Reply;
  if (!Reply.ParseFromString(Bytes))
    return;
  if (Reply.has_configuration())
    m_Configuration.offer(Reply.configuration());
  const std::uint64_t KnownIncarnation = Reply.known_incarnation();
  if (KnownIncarnation <= m_Incarnation)
    return;
  raiseToAtLeast(m_Incarnation, KnownIncarnation + 1);
  m_OnIncarnation(m_Incarnation);
  announceNow();
}

} // namespace mangocart
