// Deduplication, fencing checks and verdicts of orders.
#include "Agent/OrderExecutor.h"

#include "Agent/CallGuard.h"
#include "Core/Hash.h"
#include "Core/PrintableText.h"

#include <utility>

namespace mangocart {

namespace {

constexpr std::size_t MaxAnsweredOrders = 256;
constexpr std::size_t MaxDetailBytes = 256;
constexpr std::uint32_t RetryAfterNoFencingNumberMilliseconds = 300;
constexpr std::uint32_t RetryAfterBusyMilliseconds = 100;
constexpr std::uint32_t RetryAfterUnreachableMilliseconds = 500;
constexpr std::uint32_t RetryAfterLeavingMilliseconds = 1000;
constexpr unsigned FirstSuccessStatus = 200;
constexpr unsigned FirstRedirectStatus = 300;
constexpr unsigned StatusConflict = 409;

// Identifies the content of an order. The fencing number is left out, since a
// resend may carry a new one.
std::uint64_t contentDigest(const schema::Order &Order) {
  return hash64(Order.payload(), static_cast<std::uint64_t>(Order.kind()));
}

void setRetryLater(schema::OrderAnswer &Answer, std::uint32_t Milliseconds,
                   std::string Detail) {
  Answer.set_verdict(schema::OrderAnswer::NOT_YET);
  Answer.set_retry_after_ms(Milliseconds);
  Answer.set_detail(std::move(Detail));
}

schema::OrderAnswer::Verdict verdictOf(const BackendOrderResult &Result) {
  if (Result.m_Outcome == BackendOrderResult::Outcome::NeverSent)
    return schema::OrderAnswer::NOT_YET;
  if (Result.m_Outcome == BackendOrderResult::Outcome::Lost)
    return schema::OrderAnswer::IN_DOUBT;
  if (Result.m_Status >= FirstSuccessStatus &&
      Result.m_Status < FirstRedirectStatus)
    return schema::OrderAnswer::CARRIED_OUT;
  if (Result.m_Status == StatusConflict && Result.m_CurrentFencingNumber)
    return schema::OrderAnswer::OLD_NUMBER;
  return schema::OrderAnswer::REFUSED;
}

} // namespace

OrderExecutor::OrderExecutor(std::string BackendServer, CallGuard &Guard,
                             Backend Target)
    : m_BackendServer(std::move(BackendServer)), m_Guard(Guard),
      m_Backend(std::move(Target)) {}

bool OrderExecutor::recordFenceReply(const schema::FenceReply &Reply) {
  if (!Reply.answered())
    return false;
  m_Guard.learnFence(m_BackendServer, Reply.fencing_number());
  return true;
}

bool OrderExecutor::hasFencingNumber() const {
  return m_Guard.fenceInForce(m_BackendServer).has_value();
}

void OrderExecutor::execute(const schema::Order &Order, AnswerHandler Answer) {
  if (answerDuplicate(Order, Answer))
    return;
  if (const auto Rejection = rejectionFor(Order))
    return Answer(*Rejection);
  sendToBackend(Order, std::move(Answer));
}

// A known order id is never sent again, so its fencing number isn't checked.
bool OrderExecutor::answerDuplicate(const schema::Order &Order,
                                    const AnswerHandler &Answer) {
  const auto Found = m_Orders.find(Order.order_id());
  if (Found == m_Orders.end())
    return false;
  OrderRecord &Existing = Found->second;
  if (Existing.m_Digest != contentDigest(Order)) {
    schema::OrderAnswer Mismatch = makeAnswer(schema::OrderAnswer::WRONG_ORDER);
    Mismatch.set_detail("the id names another order");
    Answer(Mismatch);
  } else if (Existing.m_Answer) {
    Answer(*Existing.m_Answer);
  } else {
    Existing.m_PendingHandlers.push_back(Answer);
  }
  return true;
}

std::optional<schema::OrderAnswer>
OrderExecutor::rejectionFor(const schema::Order &Order) {
  schema::OrderAnswer Answer = makeAnswer(schema::OrderAnswer::NOT_YET);
  if (Order.backend_server() != m_BackendServer || Order.order_id().empty()) {
    Answer.set_verdict(schema::OrderAnswer::WRONG_ORDER);
    Answer.set_detail("this agent is beside " + m_BackendServer);
    return Answer;
  }
  switch (m_Guard.checkOrder(Order)) {
  case OrderVerdict::NotLearnt:
    setRetryLater(Answer, RetryAfterNoFencingNumberMilliseconds,
                  "the number in force hasn't been learnt yet");
    return Answer;
  case OrderVerdict::OldNumber:
    Answer.set_verdict(schema::OrderAnswer::OLD_NUMBER);
    return Answer;
  case OrderVerdict::CarryOut:
    break;
  }
  if (m_Leaving) {
    setRetryLater(Answer, RetryAfterLeavingMilliseconds, "the agent leaves");
    return Answer;
  }
  if (m_Running > 0 && !m_Backend.m_ChecksFencingNumbers()) {
    setRetryLater(Answer, RetryAfterBusyMilliseconds,
                  "another order is carried out");
    return Answer;
  }
  return std::nullopt;
}

void OrderExecutor::sendToBackend(const schema::Order &Order,
                                  AnswerHandler Answer) {
  OrderRecord &Entry = m_Orders[Order.order_id()];
  Entry.m_Digest = contentDigest(Order);
  Entry.m_PendingHandlers.push_back(std::move(Answer));
  ++m_Running;
  m_Backend.m_Send(
      Order, [this, Id = Order.order_id()](const BackendOrderResult &Result) {
        finish(Id, Result);
      });
}

void OrderExecutor::finish(const std::string &OrderId,
                           const BackendOrderResult &Result) {
  --m_Running;
  schema::OrderAnswer Answer = makeAnswer(verdictOf(Result));
  Answer.set_backend_status(Result.m_Status);
  Answer.set_detail(toPrintable(Result.m_Detail, MaxDetailBytes));
  if (Result.m_CurrentFencingNumber)
    Answer.set_number_in_force(*Result.m_CurrentFencingNumber);
  const auto Found = m_Orders.find(OrderId);
  const std::vector<AnswerHandler> PendingHandlers =
      std::exchange(Found->second.m_PendingHandlers, {});
  if (Result.m_Outcome == BackendOrderResult::Outcome::NeverSent) {
    Answer.set_retry_after_ms(RetryAfterUnreachableMilliseconds);
    m_Orders.erase(Found);
  } else {
    Found->second.m_Answer = Answer;
    m_AnsweredIds.push_back(OrderId);
    evictOldest();
  }
  for (const AnswerHandler &Each : PendingHandlers)
    Each(Answer);
}

void OrderExecutor::evictOldest() {
  if (m_AnsweredIds.size() <= MaxAnsweredOrders)
    return;
  m_Orders.erase(m_AnsweredIds.front());
  m_AnsweredIds.pop_front();
}

schema::OrderAnswer
OrderExecutor::makeAnswer(schema::OrderAnswer::Verdict Verdict) const {
  schema::OrderAnswer Answer;
  Answer.set_verdict(Verdict);
  Answer.set_number_in_force(m_Guard.fenceInForce(m_BackendServer).value_or(0));
  return Answer;
}

} // namespace mangocart
