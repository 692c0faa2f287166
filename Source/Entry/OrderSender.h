// Executes one operator order: allocates a fencing number for the backend
// server through the log, then sends the order with that number to the agent,
// and retries until the answer is final or the time is over. A number is
// allocated only once: an order that was rejected as old is never resent with a
// newer number, because that would undo later orders.
#ifndef MANGOCART_ENTRY_ORDERSENDER_H
#define MANGOCART_ENTRY_ORDERSENDER_H

#include "Core/Timer.h"
#include "Net/PeerStream.h"
#include "Planning/OrderMessages.h"

#include <functional>
#include <memory>

namespace mangocart {

class ReplicatedLog;

// Dependencies of the sender on the entry.
struct OrderDependencies {
  ReplicatedLog &m_Log;
  // The agent of the order's backend server, as currently known.
  std::function<PeerEndpoint()> m_Agent;
  // Sends the order to the agent with the given timeout; the handler may run on
  // any worker.
  std::function<void(const PeerEndpoint &, const schema::Order &, Duration,
                     PeerClient::UnaryHandler)>
      m_Send;
  boost::asio::any_io_executor m_Executor;
};

class OrderSender : public std::enable_shared_from_this<OrderSender> {
public:
  using EndHandler = std::function<void(const OrderEnd &)>;

  // The handler is called exactly once, on the executor.
  static void start(OrderDependencies Dependencies, OrderRequest Request,
                    EndHandler OnEnd);

private:
  OrderSender(OrderDependencies Dependencies, OrderRequest Request,
              EndHandler OnEnd);
  void allocateNumber();
  void send();
  void handleReply(const Result<std::string, PeerError> &Reply);
  void scheduleRetry(schema::OrderAnswer Why);
  void finish(schema::OrderAnswer Answer);

  OrderDependencies m_Dependencies;
  schema::Order m_Order;
  const TimePoint m_Deadline;
  const EndHandler m_OnEnd;
  Timer m_Timer;
  // An earlier attempt may have been carried out although its answer was lost.
  bool m_InDoubt = false;
};

} // namespace mangocart

#endif
