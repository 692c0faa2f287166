// Queries the replica on this machine: sends an order, resends it if it was
// lost, then reads the state and the requested counts and experts.
#ifndef MANGOCART_BALANCER_RANKSERVICE_H
#define MANGOCART_BALANCER_RANKSERVICE_H

#include "Balancer.pb.h"
#include "Balancer/EngineProtocol.h"
#include "Balancer/KnownMaps.h"
#include "Balancer/RankSchema.h"
#include "Experts/LoadMeter.h"
#include "Http/HttpClient.h"

#include <functional>
#include <memory>

namespace mangocart {

class EventLog;

// All functions run on the client's worker.
class RankService {
public:
  using Handler = std::function<void(schema::RankReply)>;

  RankService(HttpClient &Client, HttpTarget Replica,
              const EngineProtocol &Protocol, EventLog &Events);

  // The reply omits what the replica didn't answer in time.
  void query(const schema::RankRequest &Request, Handler Done);
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
