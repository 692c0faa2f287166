// Receives orders from the entries, sends them to the backend server over HTTP,
// and requests the current fencing number from the entries until it is known.
// Runs on worker 0.
#ifndef MANGOCART_AGENT_ORDERSERVICE_H
#define MANGOCART_AGENT_ORDERSERVICE_H

#include "Agent/OrderExecutor.h"
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

  // Must be called before the server listens.
  void addMethod(PeerServer &Server);
  void start();
  // Thread-safe.
  void startLeaving();
  std::size_t running() const { return m_Executor.running(); }

private:
  OrderExecutor::Backend makeBackend();
  bool checksFencingNumbers() const;
  void sendToBackend(const schema::Order &Order,
                     const OrderExecutor::ResultHandler &OnResult);
  void logAnswer(const schema::Order &Order, const schema::OrderAnswer &Answer);
  // Asks the entries in turn until one has answered.
  void requestFencingNumber();
  void handleFenceReply(const std::string &Bytes);

  AgentContext &m_Context;
  PeerClient &m_Peers;
  const ConfigurationHolder &m_Configuration;
  Timer m_Timer;
  OrderExecutor m_Executor;
  int m_NextEntry = 0;
  Duration m_RetryInterval{0};
};

} // namespace mangocart

#endif
