// Asks the replica beside this process: sends an order, again if it was lost,
// then reads the state, the counts and the experts that were asked for.
#ifndef MANGOCART_BALANCER_RANKSERVICE_H
#define MANGOCART_BALANCER_RANKSERVICE_H

#include "Balancer.pb.h"
#include "Balancer/EngineProtocol.h"
#include "Experts/LoadMeter.h"
#include "Http/HttpClient.h"

#include <functional>
#include <memory>

namespace mangocart {

class EventLog;

schema::RankReport toSchema(const RankState &State);
RankState fromSchema(const schema::RankReport &Report);
schema::RankOrder toSchema(const RankOrder &Order);
RankOrder fromSchema(const schema::RankOrder &Order);

// All functions run on the client's worker.
class RankService {
public:
  using Handler = std::function<void(schema::RankReply)>;

  RankService(HttpClient &Client, HttpTarget Replica,
              const EngineProtocol &Protocol, EventLog &Events);

  // The reply lacks what the replica didn't answer in time.
  void ask(const schema::RankRequest &Request, Handler Done) {
    askAt(m_Replica, Request, std::move(Done));
  }
  // The same of another replica, whose own balancer doesn't answer. What it
  // says may be some hundred ms old.
  void askAt(const HttpTarget &Replica, const schema::RankRequest &Request,
             Handler Done);
  // Sends the order to another replica, once.
  void orderAt(const HttpTarget &Replica, const schema::RankOrder &Order,
               const std::function<void()> &Done);

private:
  struct Question;
  // Whether an answer came, and its body.
  using AnswerHandler = std::function<void(bool, const std::string &)>;
  void send(const std::shared_ptr<Question> &For, HttpRequest Request,
            Duration Timeout, const AnswerHandler &Next);
  void sendOrder(const std::shared_ptr<Question> &For);
  void askState(const std::shared_ptr<Question> &For);
  void askCounts(const std::shared_ptr<Question> &For);
  void askExperts(const std::shared_ptr<Question> &For);

  HttpClient &m_Client;
  const HttpTarget m_Replica;
  const EngineProtocol &m_Protocol;
  EventLog &m_Events;
  bool m_Reachable = true;
  CountReader m_Counts;
};

} // namespace mangocart

#endif
