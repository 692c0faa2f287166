// Decides whether an agent sends an order to its backend server. An order is
// sent only after a majority has reported the current fencing number, never
// with an older number, and only once per order id while the id is remembered.
//
// A service that doesn't check fencing numbers gets one order at a time: of two
// orders in flight the older could arrive last. A service that checks them
// rejects the older one itself.
#ifndef MANGOCART_AGENT_ORDEREXECUTOR_H
#define MANGOCART_AGENT_ORDEREXECUTOR_H

#include "Peer.pb.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangocart {

class CallGuard;

// Result of sending an order to the backend server.
struct BackendOrderResult {
  enum class Outcome : std::uint8_t {
    Answered,
    // It is certain that the backend server received nothing.
    NeverSent,
    Lost
  };
  Outcome m_Outcome = Outcome::Lost;
  unsigned m_Status = 0;
  // Current fencing number as reported by the backend server, if any.
  std::optional<std::uint64_t> m_CurrentFencingNumber;
  std::string m_Detail;

  bool operator==(const BackendOrderResult &) const = default;
};

// Confined to one worker, except for running().
class OrderExecutor {
public:
  using AnswerHandler = std::function<void(const schema::OrderAnswer &)>;
  using ResultHandler = std::function<void(const BackendOrderResult &)>;
  struct Backend {
    // Whether the service's backend servers check fencing numbers themselves.
    std::function<bool()> m_ChecksFencingNumbers;
    // Sends the order immediately and calls the handler exactly once, after
    // returning.
    std::function<void(const schema::Order &, ResultHandler)> m_Send;
  };

  OrderExecutor(std::string BackendServer, CallGuard &Guard, Backend Target);

  // Calls the handler exactly once: immediately, or when the request to the
  // backend server has ended.
  void execute(const schema::Order &Order, AnswerHandler Answer);
  // Handles the reply to a fencing number request of this process. Returns
  // false if the entry could not answer it.
  bool recordFenceReply(const schema::FenceReply &Reply);
  bool hasFencingNumber() const;
  // From this call on, new orders are answered with NOT_YET.
  void startLeaving() { m_Leaving = true; }
  // Thread-safe.
  std::size_t running() const { return m_Running; }

private:
  struct OrderRecord {
    std::uint64_t m_Digest = 0;
    // Absent while the order is in progress at the backend server.
    std::optional<schema::OrderAnswer> m_Answer;
    std::vector<AnswerHandler> m_PendingHandlers;
  };

  bool answerDuplicate(const schema::Order &Order, const AnswerHandler &Answer);
  std::optional<schema::OrderAnswer> rejectionFor(const schema::Order &Order);
  void sendToBackend(const schema::Order &Order, AnswerHandler Answer);
  void finish(const std::string &OrderId, const BackendOrderResult &Result);
  void evictOldest();
  schema::OrderAnswer makeAnswer(schema::OrderAnswer::Verdict Verdict) const;

  const std::string m_BackendServer;
  CallGuard &m_Guard;
  const Backend m_Backend;
  bool m_Leaving = false;
  std::atomic<std::size_t> m_Running{0};
  std::map<std::string, OrderRecord> m_Orders;
  // Ids of the answered orders in m_Orders, oldest answer first.
  std::deque<std::string> m_AnsweredIds;
};

} // namespace mangocart

#endif
