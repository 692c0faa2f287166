// Announces the backend server to the entries, again and again as a heartbeat,
// and takes newer configurations from their replies.
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

// What changes from one announcement to the next.
struct AnnouncedLoad {
  schema::Announcement::State m_State = schema::Announcement::SERVING;
  std::uint32_t m_Outstanding = 0;
  double m_ReportedLoad = 0;
  std::uint32_t m_ReportAgeMilliseconds = 0;
};

class Announcer : public std::enable_shared_from_this<Announcer> {
public:
  using LoadSource = std::function<AnnouncedLoad()>;
  // Called when an entry knows a higher incarnation of this backend server, as
  // after a clock that went back; the argument is the incarnation to go on
  // with.
  using IncarnationHandler = std::function<void(std::uint64_t)>;

  Announcer(const schema::AgentSettings &Settings, WorkerPool &Workers,
            PeerClient &Peers, ConfigurationHolder &Configuration,
            std::uint64_t Incarnation, LoadSource Load,
            IncarnationHandler OnIncarnation);

  void start();
  // Sends an announcement now, out of turn. From any thread.
  void announceNow();

private:
  void tick();
  void announce();
  void takeReply(const std::string &Bytes);

  const schema::AgentSettings &m_Settings;
  PeerClient &m_Peers;
  ConfigurationHolder &m_Configuration;
  const LoadSource m_Load;
  const IncarnationHandler m_OnIncarnation;
  Timer m_Timer;
  std::atomic<std::uint64_t> m_Incarnation;
  // Grows with each announcement of this incarnation.
  std::atomic<std::uint64_t> m_Counter{0};
};

} // namespace mangocart

#endif
