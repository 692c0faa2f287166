// Announces the backend server to the entries periodically, as a heartbeat, and
// applies newer configurations from their replies.
#ifndef MANGOCART_AGENT_ANNOUNCER_H
#define MANGOCART_AGENT_ANNOUNCER_H

#include "Core/Timer.h"
#include "Peer.pb.h"
#include "Settings.pb.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace mangocart {

class ConfigurationHolder;
class PeerClient;
class WorkerPool;

// The part of an announcement that varies over time.
struct AnnouncedLoad {
  schema::Announcement::State m_State = schema::Announcement::SERVING;
  std::uint32_t m_Outstanding = 0;
  double m_ReportedLoad = 0;
  std::uint32_t m_ReportAgeMilliseconds = 0;
};

class Announcer : public std::enable_shared_from_this<Announcer> {
public:
  using LoadSource = std::function<AnnouncedLoad()>;
  // Called when an entry knows a higher incarnation of this backend server, for
  // example because the local clock was set back. The argument is the
  // incarnation to use from then on.
  using IncarnationHandler = std::function<void(std::uint64_t)>;

  Announcer(const schema::AgentSettings &Settings, WorkerPool &Workers,
            PeerClient &Peers, ConfigurationHolder &Configuration,
            std::uint64_t Incarnation, LoadSource Load,
            IncarnationHandler OnIncarnation);

  void start();
  // Sends an additional announcement immediately. Thread-safe.
  void announceNow();

private:
  void announcePeriodically();
  void announce();
  void handleReply(const std::string &Bytes);

  const schema::AgentSettings &m_Settings;
  PeerClient &m_Peers;
  ConfigurationHolder &m_Configuration;
  const LoadSource m_Load;
  const IncarnationHandler m_OnIncarnation;
  Timer m_Timer;
  std::atomic<std::uint64_t> m_Incarnation;
  // Incremented with each announcement of this incarnation.
  std::atomic<std::uint64_t> m_Counter{0};
};

} // namespace mangocart

#endif
