// Finds the ranks of the replica's group, and coordinates the group where no
// balancer of a lower rank does: polls the ranks, plans expert maps, and
// carries out the orders of the switch.
#ifndef MANGOCART_BALANCER_GROUPCOORDINATOR_H
#define MANGOCART_BALANCER_GROUPCOORDINATOR_H

#include "Balancer/RankService.h"
#include "Core/Random.h"
#include "Core/Timer.h"
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

struct CoordinatorSources {
  EventLog &m_Events;
  RankService &m_Service;
  PeerClient &m_Peers;
  // Balancers beside the replicas of this one's service, this one included, and
  // where their replicas answer.
  std::function<std::map<PeerEndpoint, PeerEndpoint>()> m_Balancers;
  // How the experts of the service may be placed; nothing: it has none.
  std::function<std::optional<ExpertLayout>()> m_Layout;
  PeerEndpoint m_Self;
};

// Balancers ask each other by it: a RankRequest, answered with a RankReply.
inline constexpr const char *RankMethod = "/balancer/rank";

// All functions run on the worker.
class GroupCoordinator : public std::enable_shared_from_this<GroupCoordinator> {
public:
  GroupCoordinator(boost::asio::io_context &Worker, CoordinatorSources Sources,
                   std::uint64_t Seed);

  void start();
  // Begins no more changes of the map; Done is called once no pass is held by
  // this balancer, or after 1.5 s.
  void finish(std::function<void()> Done);
  // A question of another balancer, or of this one itself.
  void receive(const schema::RankRequest &Request, RankService::Handler Done);

private:
  // A balancer of the service and what it said last.
  struct Peer {
    PeerEndpoint m_Replica;
    std::optional<RankState> m_State;
    schema::RankReply m_Reply;
    TimePoint m_Heard;
    TimePoint m_Asked;
    bool m_IsWaiting = false;
    // Logged as unreachable; once until it reports again.
    bool m_IsMissed = false;
  };

  void tick();
  void scheduleTick();
  void lookForOwn();
  bool mayCoordinate(TimePoint Now) const;
  // Asks those whose group isn't known, now and then.
  void discover(TimePoint Now);
  void poll();
  bool wantsCounts();
  void takeCounts(TimePoint Now);
  // Counted: the round waits for the answer.
  void ask(const PeerEndpoint &To, const schema::RankRequest &Request,
           bool Counted);
  void call(const PeerEndpoint &To, const schema::RankRequest &Request,
            const RankService::Handler &Take);
  void onReply(const PeerEndpoint &From, schema::RankReply Reply);
  // All answers of the round are there, or its time is over.
  void endRound();
  void decide();
  // Of this round, by rank; nothing for a rank that didn't answer.
  std::vector<std::optional<RankReport>> reportsOfRound();
  void decideWithout(const std::vector<std::optional<RankReport>> &Reports);
  void queueOrders(std::vector<RankOrder> Orders);
  void noteProgress(SwitchPhase Before);
  void plan(const std::vector<RankReport> &Reports, TimePoint Now);
  RankSlowness slowness() const;
  // Part of the group's places that is taken.
  double occupancy(const ExpertLayout &Layout) const;
  void takeExperts();
  // Experts that the ranks hold and, at the ranks that don't say, those that
  // nobody else holds; null if that isn't a map.
  std::shared_ptr<const ExpertMap> mapFromLists() const;
  // By rank; nothing for one that was never heard of.
  std::vector<std::optional<PeerEndpoint>> ranks() const;
  std::uint64_t freshVersion(std::uint64_t Above);
  Duration interval() const;

  const CoordinatorSources m_Sources;
  Timer m_Timer;
  Random m_Random;
  TimePoint m_Started;
  std::optional<RankState> m_Own;
  TimePoint m_OwnAsked;
  // When a balancer that goes before this one last asked here, and what it told
  // then.
  TimePoint m_OtherHeard;
  std::optional<SwitchNotice> m_Told;
  std::map<PeerEndpoint, Peer> m_PeersByEndpoint;
  std::size_t m_WaitingFor = 0;
  std::uint64_t m_Round = 0;
  bool m_Coordinates = false;
  // Set while the process is to end.
  std::function<void()> m_OnFinished;
  TimePoint m_FinishBy;

  GroupSwitch m_Switch;
  // Orders for the next round, by rank.
  std::map<std::uint32_t, RankOrder> m_Orders;
  LoadMeter m_Meter;
  TimePoint m_CountsAsked;
  // The map in force and its version and epoch; null while it isn't known.
  std::shared_ptr<const ExpertMap> m_Map;
  std::uint64_t m_MapVersion = 0;
  std::uint64_t m_MapEpoch = 0;
  bool m_WantsExperts = true;
  std::uint64_t m_LastVersion = 0;
};

} // namespace mangocart

#endif
