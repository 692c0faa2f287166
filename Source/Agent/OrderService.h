// Orders at the agent: takes them from the entries, carries them to the backend
// server by HTTP, and asks the entries for the number in force until it is
// learnt. All on worker 0.
#ifndef MANGOCART_AGENT_ORDERSERVICE_H
#define MANGOCART_AGENT_ORDERSERVICE_H

#include "Agent/OrderDesk.h"
#include "Core/Timer.h"

#include <memory>

namespace mangocart {

struct AgentContext;
class ConfigurationHolder;
class PeerClient;
class PeerServer;

class OrderService : public std::enable_shared_from_this<OrderService> {
public:
  OrderService(AgentContext &Context, PeerClient &Peers,
               const ConfigurationHolder &Configuration);

  // Before the server listens.
  void addMethod(PeerServer &Server);
  void start();
  // From any thread.
  void startLeaving();
  std::size_t running() const { return m_Desk.running(); }

private:
  OrderDesk::Backend backend();
  bool checksNumbers() const;
  void carryOut(const schema::Order &Order,
                const OrderDesk::ResultHandler &Done);
  void report(const schema::Order &Order, const schema::OrderAnswer &Answer);
  // Asks one entry after the other until one has answered.
  void askForNumber();
  void takeReply(const std::string &Bytes);

  AgentContext &m_Context;
  PeerClient &m_Peers;
  const ConfigurationHolder &m_Configuration;
  Timer m_Timer;
  OrderDesk m_Desk;
  int m_NextEntry = 0;
  Duration m_AskInterval{0};
};

} // namespace mangocart

#endif
