// One order of an operator at an entry: draws a fencing number for the backend
// server through the log, then sends the order under it to the agent, again and
// again until the answer is final or the time is over. A number is drawn once:
// an order that was refused as old is never sent under a newer one, as that
// would undo what came after it.
#ifndef MANGOCART_ENTRY_ORDERSENDER_H
#define MANGOCART_ENTRY_ORDERSENDER_H

#include "Core/Timer.h"
#include "Net/PeerStream.h"
#include "Planning/OrderMessages.h"

#include <functional>
#include <memory>

namespace mangocart {

class ReplicatedLog;

// What the sender uses of the entry.
struct OrderOutside {
  ReplicatedLog &m_Log;
  // The agent beside the order's backend server, as known at this moment.
  std::function<PeerEndpoint()> m_Agent;
  // One call to the agent that waits so long; the handler runs on some worker.
  std::function<void(const PeerEndpoint &, const schema::Order &, Duration,
                     PeerClient::UnaryHandler)>
      m_Send;
  boost::asio::any_io_executor m_Executor;
};

class OrderSender : public std::enable_shared_from_this<OrderSender> {
public:
  using EndHandler = std::function<void(const OrderEnd &)>;

  // The handler is called once, on the executor.
  static void start(OrderOutside Outside, OrderRequest Request,
                    EndHandler OnEnd);

private:
  OrderSender(OrderOutside Outside, OrderRequest Request, EndHandler OnEnd);
  void draw();
  void send();
  void take(const Result<std::string, PeerError> &Reply);
  void tryAgain(schema::OrderAnswer Why);
  void end(schema::OrderAnswer Answer);

  OrderOutside m_Outside;
  schema::Order m_Order;
  const TimePoint m_Due;
  const EndHandler m_OnEnd;
  Timer m_Timer;
  // An earlier sending may have been carried out without its answer arriving.
  bool m_InDoubt = false;
};

} // namespace mangocart

#endif
