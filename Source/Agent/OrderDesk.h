// What an agent does with an order for its backend server. An order is carried
// out only after the number in force has been learnt from a majority, never
// under an older number, and once per order id while the id is remembered.
//
// A service that doesn't check numbers is given one order at a time: of two on
// the way to it the older could arrive last. One that checks sorts them itself.
#ifndef MANGOCART_AGENT_ORDERDESK_H
#define MANGOCART_AGENT_ORDERDESK_H

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

// How the call to the backend server ended.
struct BackendOrderResult {
  enum class End : std::uint8_t {
    Answered,
    // Proof that the backend server got nothing.
    NeverSent,
    Lost
  };
  End m_End = End::Lost;
  unsigned m_Status = 0;
  // The number in force that the backend server named; absent for none.
  std::optional<std::uint64_t> m_NumberInForce;
  std::string m_Detail;

  bool operator==(const BackendOrderResult &) const = default;
};

// Used on one worker only, but for running().
class OrderDesk {
public:
  using AnswerHandler = std::function<void(const schema::OrderAnswer &)>;
  using ResultHandler = std::function<void(const BackendOrderResult &)>;
  struct Backend {
    // Whether the service's backend servers check numbers themselves.
    std::function<bool()> m_ChecksNumbers;
    // Sends the order now and calls the handler once, not before it returns.
    std::function<void(const schema::Order &, ResultHandler)> m_CarryOut;
  };

  OrderDesk(std::string BackendServer, CallGuard &Guard, Backend To);

  // Answers once, perhaps later.
  void take(const schema::Order &Order, AnswerHandler Answer);
  // A reply to a question that this process asked. False when it teaches
  // nothing.
  bool learn(const schema::FenceReply &Reply);
  bool hasLearnt() const;
  // New orders are put off from here on.
  void startLeaving() { m_Leaving = true; }
  // From any thread.
  std::size_t running() const { return m_Running; }

private:
  struct Known {
    std::uint64_t m_Digest = 0;
    // Absent while the backend server works on it.
    std::optional<schema::OrderAnswer> m_Answer;
    std::vector<AnswerHandler> m_Waiting;
  };

  bool answerKnown(const schema::Order &Order, const AnswerHandler &Answer);
  std::optional<schema::OrderAnswer> refusal(const schema::Order &Order);
  void carryOut(const schema::Order &Order, AnswerHandler Answer);
  void finish(const std::string &OrderId, const BackendOrderResult &Result);
  void forgetOldest();
  schema::OrderAnswer makeAnswer(schema::OrderAnswer::Verdict Verdict) const;

  const std::string m_BackendServer;
  CallGuard &m_Guard;
  const Backend m_Backend;
  bool m_Leaving = false;
  std::atomic<std::size_t> m_Running{0};
  std::map<std::string, Known> m_Orders;
  // Ids of the answered ones in m_Orders, in the order of their answers.
  std::deque<std::string> m_Answered;
};

} // namespace mangocart

#endif
