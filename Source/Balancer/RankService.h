// Queries the replica on this machine: sends an order, resends it if it was
// lost, then reads the state and the requested counts and experts.
#ifndef MANGOCART_BALANCER_RANKSERVICE_H
#define MANGOCART_BALANCER_RANKSERVICE_H

#include "Balancer.pb.h"
#include "Balancer/EngineProtocol.h"
#include "Experts/LoadMeter.h"
#include "Http/HttpClient.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace mangocart {

class EventLog;

schema::RankReport toSchema(const RankState &State);
RankState fromSchema(const schema::RankReport &Report);
schema::RankOrder toSchema(const RankOrder &Order);
// Encodes the order's map as the difference to the base.
schema::RankOrder toSchema(const RankOrder &Order, const ExpertMap &Base,
                           std::uint64_t BaseVersion);
RankOrder fromSchema(const schema::RankOrder &Order);

// The maps of the latest orders, as bases of differences.
class KnownMaps {
public:
  // Decodes an order and remembers its map. Returns nothing if the order names
  // a base that isn't known.
  std::optional<RankOrder> decode(const schema::RankOrder &Order,
                                  std::size_t MaxMaps);

private:
  // Newest last.
  std::deque<std::pair<std::uint64_t, std::shared_ptr<const ExpertMap>>> m_Maps;
};

// All functions run on the client's worker.
class RankService {
public:
  using Handler = std::function<void(schema::RankReply)>;
  // Number of maps that a balancer keeps as bases.
  static constexpr std::size_t MaxKnownMaps = 4;

  RankService(HttpClient &Client, HttpTarget Replica,
              const EngineProtocol &Protocol, EventLog &Events);

  // The reply omits what the replica didn't answer in time.
  void query(const schema::RankRequest &Request, Handler Done) {
    queryReplica(m_Replica, Request, std::move(Done));
  }
  // Same for another replica, whose own balancer doesn't answer. The result may
  // be a few hundred ms old.
  void queryReplica(const HttpTarget &Replica,
                    const schema::RankRequest &Request, Handler Done);
  // Sends the order to another replica once, without resending.
  void sendOrderTo(const HttpTarget &Replica, const schema::RankOrder &Order,
                   const std::function<void()> &Done);

private:
  struct PendingRequest;
  // Parameters: whether an answer arrived, and its body.
  using AnswerHandler = std::function<void(bool, const std::string &)>;
  void send(const std::shared_ptr<PendingRequest> &Pending, HttpRequest Request,
            Duration Timeout, const AnswerHandler &OnAnswer);
  void sendOrder(const std::shared_ptr<PendingRequest> &Pending);
  void fetchState(const std::shared_ptr<PendingRequest> &Pending);
  void fetchCounts(const std::shared_ptr<PendingRequest> &Pending);
  void fetchExperts(const std::shared_ptr<PendingRequest> &Pending);

  HttpClient &m_Client;
  const HttpTarget m_Replica;
  const EngineProtocol &m_Protocol;
  EventLog &m_Events;
  bool m_Reachable = true;
  CountReader m_Counts;
  KnownMaps m_KnownMaps;
};

} // namespace mangocart

#endif
