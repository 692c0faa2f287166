// Keeps requests that crash backend servers away from them. Watches
// the requests of this gateway, finds out whether a server whose connection was
// lost has ended, and exchanges the evidence with the other gateways. The
// decisions are those of Routing/CrashEvidence.
#ifndef MANGOCART_GATEWAY_CRASHGUARD_H
#define MANGOCART_GATEWAY_CRASHGUARD_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Routing/CrashEvidence.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

namespace schema {
class LoadReport;
} // namespace schema
class CallerProtocol;
class EventLog;
class HttpClients;
class MembershipDirectory;
struct GatewayMetrics;

// A request to be watched.
struct GuardedRequest {
  std::string m_Service;
  // What may make it crash a server.
  std::vector<SuspectId> m_Suspects;
  boost::asio::any_io_executor m_Executor;
  // Called on the executor when one of the suspects is held or on probation
  // because of a crash, with the rank group of the server that crashed (empty:
  // none). At most once per report of a crash.
  std::function<void(SuspectState State, std::string CrashedGroup)>
      m_OnRestricted;
};

struct GuardDecision {
  bool m_Allowed = true;
  // How long the request should stay away if it isn't allowed, and why.
  Duration m_RetryAfter = Duration::zero();
  std::optional<SuspectId> m_Suspect;
};

// Whether a server still runs.
enum class ServerLiveness {
  // Nothing answers at its address, or another incarnation does.
  Ended,
  // What answers at its address gives no valid response.
  Unknown,
  // Something answers at its address, perhaps another incarnation.
  Answering,
  // This very incarnation answers.
  Running
};

// Thread-safe. Its mutex is locked before the directory's; handlers run on
// their executors without holding it.
class CrashGuard : public std::enable_shared_from_this<CrashGuard> {
public:
  // Number of a watched request, from 1 on. For one that is not watched, all
  // functions do nothing but call Done.
  using Number = std::uint64_t;

  CrashGuard(boost::asio::io_context &Worker, HttpClients &Clients,
             const CallerProtocol &Protocol, MembershipDirectory &Directory,
             EventLog &Events, GatewayMetrics &Metrics, std::string Name,
             PeerEndpoint Self);

  Number begin(GuardedRequest Request);
  void end(Number Request);

  // Whether an attempt may be made. With Reserve, a request on probation is
  // counted as the one that is under way until its attempt ends.
  GuardDecision decide(Number Request, bool Reserve);
  void attemptSent(Number Request, const BackendTarget &Target);
  void dataReceived(Number Request);
  // The attempt's answer was sound and whole.
  void answered(Number Request);
  void attemptEnded(Number Request);
  // The attempt's connection was lost. Done is called on the request's executor
  // once it is known whether the server has ended, if that matters.
  void connectionLost(Number Request, std::function<void()> Done);
  // Finds out whether the server still runs. Done is called on the executor.
  void verifyRunning(const BackendTarget &Target,
                     boost::asio::any_io_executor Executor,
                     std::function<void(ServerLiveness)> Done);

  // All known gateways, this one included.
  void setGateways(std::set<PeerEndpoint> Gateways);
  // Called without a lock when there is something new for other gateways.
  void onUpdate(std::function<void()> Handler) {
    m_OnUpdate = std::move(Handler);
  }
  // Adds what is new since the last call, or all that another gateway must
  // know.
  void addNews(schema::LoadReport &Report);
  void addAll(schema::LoadReport &Report);
  void merge(const schema::LoadReport &Report);

private:
  struct Watched {
    GuardedRequest m_Request;
    // The attempt under way.
    std::optional<BackendTarget> m_Target;
    std::optional<TimePoint> m_FirstData;
    // The request is counted in a report about the crash of the attempt's
    // server, or will be if the server has ended.
    bool m_IsCounted = false;
    // The request itself has had a sound answer, or a part of one.
    bool m_IsSound = false;
  };
  // Requests whose answers a server was beginning, and what they have in common
  // with others.
  struct Implicated {
    std::uint32_t m_Requests = 0;
    std::set<SuspectId> m_Suspects;
  };
  // Lost connections that the result of one probe decides on.
  struct LostConnections {
    // When the first of them was lost.
    TimePoint m_At;
    // Requests whose attempts ended with their connections.
    Implicated m_Implicated;
    std::vector<std::function<void(ServerLiveness)>> m_Waiting;
  };
  // A server run of which a connection was lost, until a probe has ended.
  struct LostServer {
    BackendTarget m_Target;
    // Lost before the probe was sent.
    LostConnections m_Probed;
    // Lost since: if the server runs, another probe follows, as it may have
    // answered the first one before it ended.
    LostConnections m_Later;
  };
  // Calls that are made after the mutex is released.
  using Calls = std::vector<std::function<void()>>;

  static ServerRun runOf(const BackendTarget &Target);
  bool isBeginning(const Watched &Each, TimePoint Now) const;
  GuardDecision decideLocked(const Watched &Each, Number Request, bool Reserve,
                             TimePoint Now);
  bool mayTry(const Suspect &Of, Number Request) const;
  void releaseTrials(Number Request);
  void recordSound(Watched &Each, TimePoint Now, Calls &After);
  LostConnections &probe(const BackendTarget &Target, TimePoint Now,
                         std::function<void(ServerLiveness)> Done,
                         Calls &After);
  void sendProbe(const BackendTarget &Target, unsigned Retries, Calls &After);
  ServerLiveness livenessOf(const BackendTarget &Target,
                            std::string_view ProbeBody) const;
  void onProbed(const ServerRun &Run, ServerLiveness Liveness);
  static void implicate(Watched &Each, Implicated &By);
  void recordCrash(const BackendTarget &Target, TimePoint At, TimePoint Now,
                   Implicated By, Calls &After);
  void logRestriction(const Suspect &Of, SuspectState State, TimePoint Now,
                      Calls &After);
  void applyCrash(const ServerRun &Run, const ServerCrash &Crash, TimePoint Now,
                  Calls &After);
  void addAcquittal(const Suspect &Of, TimePoint At, Calls &After);

  HttpClients &m_Clients;
  const CallerProtocol &m_Protocol;
  MembershipDirectory &m_Directory;
  EventLog &m_Events;
  GatewayMetrics &m_Metrics;
  const std::string m_Name;
  const PeerEndpoint m_Self;
  const boost::asio::any_io_executor m_Executor;
  std::function<void()> m_OnUpdate;
  std::mutex m_Mutex;
  // The members below are guarded by m_Mutex.
  CrashEvidence m_Evidence;
  std::map<Number, Watched> m_Watched;
  Number m_LastNumber = 0;
  std::map<ServerRun, LostServer> m_Lost;
  // The request on probation that is under way.
  std::map<Suspect, Number> m_Trials;
  std::set<PeerEndpoint> m_Gateways;
  // Not yet sent to other gateways.
  std::set<ServerRun> m_NewCrashes;
  std::map<Suspect, TimePoint> m_NewAcquittals;
};

} // namespace mangocart

#endif
