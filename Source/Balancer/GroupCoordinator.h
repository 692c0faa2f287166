// Coordinator of the rank group of this balancer's replica. It finds the
// group's ranks and coordinates the group unless a balancer of a lower rank
// does: it polls the ranks, plans expert maps, and sends the orders of the
// switch.
#ifndef MANGOCART_BALANCER_GROUPCOORDINATOR_H
#define MANGOCART_BALANCER_GROUPCOORDINATOR_H

#include "Balancer/RankService.h"
#include "Core/Random.h"
#include "Core/Timer.h"
#include "Experts/CountSampling.h"
#include "Experts/GroupSwitch.h"
#include "Experts/LoadMeter.h"
#include "Experts/Placement.h"
#include "Gateway/RoutingPlan.h"
#include "Net/PeerStream.h"

#include <functional>
#include <map>

namespace mangocart {

class EventLog;
class HttpClients;

struct GroupCoordinatorDependencies {
  EventLog &m_Events;
  RankService &m_Service;
  PeerClient &m_Peers;
  // Balancers of the replicas of this service that announce this group or none,
  // including this one, with the endpoints of their replicas.
  std::function<std::map<PeerEndpoint, PeerEndpoint>(const std::string &Group)>
      m_Balancers;
  // Placement limits of the service's experts; nothing if it has no experts.
  std::function<std::optional<ExpertLayout>()> m_Layout;
  PeerEndpoint m_Self;
  // Bandwidth of this VM's network link.
  double m_LinkBytesPerSecond = 0.0;
};

// Method for calls between balancers: takes a RankRequest, returns a RankReply.
inline constexpr const char *RankMethod = "/balancer/rank";

// All functions run on the worker.
class GroupCoordinator : public std::enable_shared_from_this<GroupCoordinator> {
public:
  GroupCoordinator(boost::asio::io_context &Worker,
                   GroupCoordinatorDependencies Dependencies,
                   std::uint64_t Seed);

  void start();
  // Begins no further map changes; calls Done once this balancer holds no pass,
  // or after 1.5 s.
  void finish(std::function<void()> Done);
  // Handles a request of another balancer, or of this one itself.
  void receive(const schema::RankRequest &Request, RankService::Handler Done);

private:
  // A balancer of the service, and its last reply.
  struct Peer {
    PeerEndpoint m_Replica;
    std::optional<RankState> m_State;
    schema::RankReply m_Reply;
    TimePoint m_LastReplyTime;
    TimePoint m_LastRequestTime;
    bool m_IsRequestPending = false;
    // Was logged as unreachable; reset by its next report.
    bool m_IsUnreachable = false;
    // Hashes of the maps that this balancer knows, as of its last reply.
    std::vector<std::uint64_t> m_KnownMaps;

    bool knows(std::uint64_t Map) const;
  };

  // Indexed by rank; nothing for a rank that isn't asked.
  using RequestsByRank = std::vector<std::optional<schema::RankRequest>>;

  void tick();
  void scheduleTick();
  void refreshOwnState();
  bool shouldCoordinate(TimePoint Now) const;
  // Periodically queries balancers whose group isn't known.
  void discover(TimePoint Now);
  void pollRanks();
  bool wantsCounts();
  // Bytes of counts or base maps that may be transferred in a round.
  double bulkBytesPerRound() const;
  // Ranks whose counts are requested in this round.
  std::vector<bool> ranksToCount();
  // Encodes an order for a balancer: a map as the difference to the active one
  // if the balancer knows that.
  schema::RankOrder encodeOrder(const RankOrder &Order, const Peer &To) const;
  // Adds the active map to requests to balancers that don't know it, as many as
  // fit into the link.
  void attachBaseMaps(const std::vector<std::optional<PeerEndpoint>> &Ranks,
                      RequestsByRank &Requests) const;
  // The requests of a round; takes the queued orders.
  RequestsByRank
  requestsOfRound(const std::vector<std::optional<PeerEndpoint>> &Ranks);
  void collectCounts(TimePoint Now);
  // IsAwaited: the round waits for the reply.
  void sendRequest(const PeerEndpoint &To, const schema::RankRequest &Request,
                   bool IsAwaited, Duration Timeout);
  void callBalancer(const PeerEndpoint &To, const schema::RankRequest &Request,
                    Duration Timeout, const RankService::Handler &OnReply);
  void onReply(const PeerEndpoint &From, schema::RankReply Reply);
  // Called when all replies of the round have arrived or its time is over.
  void endRound();
  void decide();
  // Reports of this round by rank; nothing for a rank that didn't answer.
  std::vector<std::optional<RankReport>> reportsOfRound();
  void
  decideWithMissingRanks(const std::vector<std::optional<RankReport>> &Reports);
  void queueOrders(std::vector<RankOrder> Orders);
  void logPhaseChange(SwitchPhase Before);
  void planChange(const std::vector<RankReport> &Reports, TimePoint Now);
  RankSlowness slowness() const;
  // Used fraction of the group's request slots.
  double occupancy(const ExpertLayout &Layout) const;
  void updateActiveMap();
  // Builds a map from the expert lists of the ranks. Ranks without a list get
  // the experts that no other rank holds. Returns null if the result isn't a
  // valid map.
  std::shared_ptr<const ExpertMap> buildMapFromReplies() const;
  // Indexed by rank; nothing for a rank without any reply so far.
  std::vector<std::optional<PeerEndpoint>> balancersByRank() const;
  std::uint64_t nextUnusedVersion(std::uint64_t Above);
  Duration interval() const;
  // Time that the bytes take through this VM's link.
  Duration transferTime(double Bytes) const;

  const GroupCoordinatorDependencies m_Dependencies;
  Timer m_Timer;
  Random m_Random;
  TimePoint m_Started;
  std::optional<RankState> m_OwnState;
  TimePoint m_LastOwnQuery;
  // Time of the last request from a balancer with precedence over this one, and
  // its notice.
  TimePoint m_LastCoordinatorRequest;
  std::optional<SwitchNotice> m_LastNotice;
  std::map<PeerEndpoint, Peer> m_PeersByEndpoint;
  TimePoint m_LastPeerListUpdate;
  std::size_t m_AwaitedReplies = 0;
  std::uint64_t m_Round = 0;
  bool m_IsCoordinating = false;
  // Set while the process is stopping.
  std::function<void()> m_OnFinished;
  TimePoint m_FinishDeadline;

  GroupSwitch m_Switch;
  // Orders for the next round, by rank.
  std::map<std::uint32_t, RankOrder> m_Orders;
  LoadMeter m_Meter;
  TimePoint m_LastCountsRequest;
  CountSampler m_CountSampler;
  // Size of the largest reply with counts in the previous round; 0: unknown.
  std::size_t m_CountReplyBytes = 0;
  // The active map with its version and epoch; null if unknown.
  std::shared_ptr<const ExpertMap> m_Map;
  std::uint64_t m_MapHash = 0;
  std::uint64_t m_MapVersion = 0;
  std::uint64_t m_MapEpoch = 0;
  bool m_WantsExperts = true;
  std::uint64_t m_LastVersion = 0;
};

} // namespace mangocart

#endif
