#include "Entry/OrderSender.h"

#include "Core/PostTask.h"
#include "Raft/ReplicatedLog.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr Duration MinCallTimeout = std::chrono::milliseconds(100);
constexpr Duration MaxAllocationTime = std::chrono::seconds(5);

schema::OrderAnswer makeAnswer(schema::OrderAnswer::Verdict Verdict,
                               const std::string &Detail) {
  schema::OrderAnswer Answer;
  Answer.set_verdict(Verdict);
  Answer.set_detail(Detail);
  return Answer;
}

schema::Outcome outcomeOf(schema::OrderAnswer::Verdict Verdict, bool InDoubt) {
  if (Verdict == schema::OrderAnswer::CARRIED_OUT)
    return schema::RAN;
  if (InDoubt || Verdict == schema::OrderAnswer::IN_DOUBT)
    return schema::UNKNOWN;
  return schema::NOT_RUN;
}

} // namespace

void OrderSender::start(OrderDependencies Dependencies, OrderRequest Request,
                        EndHandler OnEnd) {
  const std::shared_ptr<OrderSender> Self(new OrderSender(
      std::move(Dependencies), std::move(Request), std::move(OnEnd)));
  postTask(Self->m_Timer.get_executor(), [Self] { Self->allocateNumber(); });
}

OrderSender::OrderSender(OrderDependencies Dependencies, OrderRequest Request,
                         EndHandler OnEnd)
    : m_Dependencies(std::move(Dependencies)),
      m_Order(std::move(Request.m_Order)),
      m_Deadline(RuntimeClock::now() + Request.m_Longest),
      m_OnEnd(std::move(OnEnd)), m_Timer(m_Dependencies.m_Executor) {}

void OrderSender::allocateNumber() {
  schema::Command Command;
  Command.set_fence_for(m_Order.backend_server());
  m_Dependencies.m_Log.propose(
      std::move(Command),
      std::min(MaxAllocationTime, m_Deadline - RuntimeClock::now()),
      [Self = shared_from_this()](
          const Result<schema::CommandReply, ProposeError> &Reply) {
        postTask(Self->m_Timer.get_executor(), [Self, Reply] {
          if (!Reply)
            return Self->finish(makeAnswer(schema::OrderAnswer::NOT_YET,
                                           Reply.error().m_Detail));
          Self->m_Order.set_fencing_number(Reply.value().fencing_number());
          Self->send();
        });
      });
}

void OrderSender::send() {
  m_Dependencies.m_Send(
      m_Dependencies.m_Agent(), m_Order,
      std::max(MinCallTimeout, m_Deadline - RuntimeClock::now()),
      [Self = shared_from_this()](const Result<std::string, PeerError> &Reply) {
        postTask(Self->m_Timer.get_executor(),
                 [Self, Reply] { Self->handleReply(Reply); });
      });
}

void OrderSender::handleReply(const Result<std::string, PeerError> &Reply) {
  schema::OrderAnswer Answer;
  if (!Reply) {
    m_InDoubt |= !Reply.error().m_NothingSent;
    return scheduleRetry(
        makeAnswer(schema::OrderAnswer::NOT_YET, Reply.error().m_Detail));
  }
  if (!Answer.ParseFromString(Reply.value()))
    return finish(makeAnswer(schema::OrderAnswer::IN_DOUBT,
                             "the agent's answer can't be read"));
  if (Answer.verdict() == schema::OrderAnswer::NOT_YET)
    return scheduleRetry(std::move(Answer));
  finish(std::move(Answer));
}

void OrderSender::scheduleRetry(schema::OrderAnswer Why) {
  const Duration Pause =
      Why.retry_after_ms() == 0
          ? RetryDelay
          : Duration(std::chrono::milliseconds(Why.retry_after_ms()));
  if (RuntimeClock::now() + Pause >= m_Deadline)
    return finish(std::move(Why));
  m_Timer.expires_after(Pause);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->send();
      });
}

void OrderSender::finish(schema::OrderAnswer Answer) {
  if (m_InDoubt && Answer.verdict() == schema::OrderAnswer::NOT_YET)
    Answer.set_verdict(schema::OrderAnswer::IN_DOUBT);
  const schema::Outcome Outcome = outcomeOf(Answer.verdict(), m_InDoubt);
  m_OnEnd({std::move(Answer), m_Order.fencing_number(), Outcome});
}

} // namespace mangocart
