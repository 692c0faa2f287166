// Orders in, verdicts out.
#include "Agent/OrderDesk.h"

#include "Agent/CallGuard.h"
#include "Core/Hash.h"

#include <utility>

namespace mangocart {

namespace {

constexpr std::size_t MaxRemembered = 256;
constexpr std::size_t MaxDetailBytes = 256;
constexpr std::uint32_t RetryAfterNotLearntMilliseconds = 300;
constexpr std::uint32_t RetryAfterBusyMilliseconds = 100;
constexpr std::uint32_t RetryAfterUnreachableMilliseconds = 500;
constexpr std::uint32_t RetryAfterLeavingMilliseconds = 1000;
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirection = 300;
constexpr unsigned Conflict = 409;

// What an order is, apart from its number, which a resend may draw anew.
std::uint64_t digestOf(const schema::Order &Order) {
  return hash64(Order.payload(), static_cast<std::uint64_t>(Order.kind()));
}

void putOff(schema::OrderAnswer &Answer, std::uint32_t Milliseconds,
            std::string Why) {
  Answer.set_verdict(schema::OrderAnswer::NOT_YET);
  Answer.set_retry_after_ms(Milliseconds);
  Answer.set_detail(std::move(Why));
}

schema::OrderAnswer::Verdict verdictOf(const BackendOrderResult &Result) {
  if (Result.m_End == BackendOrderResult::End::NeverSent)
    return schema::OrderAnswer::NOT_YET;
  if (Result.m_End == BackendOrderResult::End::Lost)
    return schema::OrderAnswer::IN_DOUBT;
  if (Result.m_Status >= FirstSuccess && Result.m_Status < FirstRedirection)
    return schema::OrderAnswer::CARRIED_OUT;
  if (Result.m_Status == Conflict && Result.m_NumberInForce)
    return schema::OrderAnswer::OLD_NUMBER;
  return schema::OrderAnswer::REFUSED;
}

} // namespace

OrderDesk::OrderDesk(std::string BackendServer, CallGuard &Guard, Backend To)
    : m_BackendServer(std::move(BackendServer)), m_Guard(Guard),
      m_Backend(std::move(To)) {}

bool OrderDesk::learn(const schema::FenceReply &Reply) {
  if (!Reply.answered())
    return false;
  m_Guard.learnFence(m_BackendServer, Reply.fencing_number());
  return true;
}

bool OrderDesk::hasLearnt() const {
  return m_Guard.fenceInForce(m_BackendServer).has_value();
}

void OrderDesk::take(const schema::Order &Order, AnswerHandler Answer) {
  if (answerKnown(Order, Answer))
    return;
  if (const auto Refused = refusal(Order))
    return Answer(*Refused);
  carryOut(Order, std::move(Answer));
}

// Nothing is carried out for a known id, so its number doesn't matter.
bool OrderDesk::answerKnown(const schema::Order &Order,
                            const AnswerHandler &Answer) {
  const auto Found = m_Orders.find(Order.order_id());
  if (Found == m_Orders.end())
    return false;
  Known &Earlier = Found->second;
  if (Earlier.m_Digest != digestOf(Order)) {
    schema::OrderAnswer Wrong = makeAnswer(schema::OrderAnswer::WRONG_ORDER);
    Wrong.set_detail("the id names another order");
    Answer(Wrong);
  } else if (Earlier.m_Answer) {
    Answer(*Earlier.m_Answer);
  } else {
    Earlier.m_Waiting.push_back(Answer);
  }
  return true;
}

std::optional<schema::OrderAnswer>
OrderDesk::refusal(const schema::Order &Order) {
  schema::OrderAnswer Answer = makeAnswer(schema::OrderAnswer::NOT_YET);
  if (Order.backend_server() != m_BackendServer || Order.order_id().empty()) {
    Answer.set_verdict(schema::OrderAnswer::WRONG_ORDER);
    Answer.set_detail("this agent is beside " + m_BackendServer);
    return Answer;
  }
  switch (m_Guard.checkOrder(Order)) {
  case OrderVerdict::NotLearnt:
    putOff(Answer, RetryAfterNotLearntMilliseconds,
           "the number in force hasn't been learnt yet");
    return Answer;
  case OrderVerdict::OldNumber:
    Answer.set_verdict(schema::OrderAnswer::OLD_NUMBER);
    return Answer;
  case OrderVerdict::CarryOut:
    break;
  }
  if (m_Leaving) {
    putOff(Answer, RetryAfterLeavingMilliseconds, "the agent leaves");
    return Answer;
  }
  if (m_Running > 0 && !m_Backend.m_ChecksNumbers()) {
    putOff(Answer, RetryAfterBusyMilliseconds, "another order is carried out");
    return Answer;
  }
  return std::nullopt;
}

void OrderDesk::carryOut(const schema::Order &Order, AnswerHandler Answer) {
  Known &Entry = m_Orders[Order.order_id()];
  Entry.m_Digest = digestOf(Order);
  Entry.m_Waiting.push_back(std::move(Answer));
  ++m_Running;
  m_Backend.m_CarryOut(
      Order, [this, Id = Order.order_id()](const BackendOrderResult &Result) {
        finish(Id, Result);
      });
}

void OrderDesk::finish(const std::string &OrderId,
                       const BackendOrderResult &Result) {
  --m_Running;
  schema::OrderAnswer Answer = makeAnswer(verdictOf(Result));
  Answer.set_backend_status(Result.m_Status);
  Answer.set_detail(Result.m_Detail.substr(0, MaxDetailBytes));
  if (Result.m_NumberInForce)
    Answer.set_number_in_force(*Result.m_NumberInForce);
  const auto Found = m_Orders.find(OrderId);
  const std::vector<AnswerHandler> Waiting =
      std::exchange(Found->second.m_Waiting, {});
  if (Result.m_End == BackendOrderResult::End::NeverSent) {
    Answer.set_retry_after_ms(RetryAfterUnreachableMilliseconds);
    m_Orders.erase(Found);
  } else {
    Found->second.m_Answer = Answer;
    m_Answered.push_back(OrderId);
    forgetOldest();
  }
  for (const AnswerHandler &Each : Waiting)
    Each(Answer);
}

void OrderDesk::forgetOldest() {
  if (m_Answered.size() <= MaxRemembered)
    return;
  m_Orders.erase(m_Answered.front());
  m_Answered.pop_front();
}

schema::OrderAnswer
OrderDesk::makeAnswer(schema::OrderAnswer::Verdict Verdict) const {
  schema::OrderAnswer Answer;
  Answer.set_verdict(Verdict);
  Answer.set_number_in_force(m_Guard.fenceInForce(m_BackendServer).value_or(0));
  return Answer;
}

} // namespace mangocart
