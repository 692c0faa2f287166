// Draw, send, repeat.
#include "Entry/OrderSender.h"

#include "Core/PostTask.h"
#include "Raft/ReplicatedLog.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr Duration RetryAfterLoss = std::chrono::milliseconds(500);
constexpr Duration ShortestCall = std::chrono::milliseconds(100);
constexpr Duration LongestDraw = std::chrono::seconds(5);

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

void OrderSender::start(OrderOutside Outside, OrderRequest Request,
                        EndHandler OnEnd) {
  const std::shared_ptr<OrderSender> Self(new OrderSender(
      std::move(Outside), std::move(Request), std::move(OnEnd)));
  postTask(Self->m_Timer.get_executor(), [Self] { Self->draw(); });
}

OrderSender::OrderSender(OrderOutside Outside, OrderRequest Request,
                         EndHandler OnEnd)
    : m_Outside(std::move(Outside)), m_Order(std::move(Request.m_Order)),
      m_Due(RuntimeClock::now() + Request.m_Longest), m_OnEnd(std::move(OnEnd)),
      m_Timer(m_Outside.m_Executor) {}

void OrderSender::draw() {
  schema::Command Command;
  Command.set_fence_for(m_Order.backend_server());
  m_Outside.m_Log.propose(
      std::move(Command), std::min(LongestDraw, m_Due - RuntimeClock::now()),
      [Self = shared_from_this()](
          const Result<schema::CommandReply, ProposeError> &Reply) {
        postTask(Self->m_Timer.get_executor(), [Self, Reply] {
          if (!Reply)
            return Self->end(makeAnswer(schema::OrderAnswer::NOT_YET,
                                        Reply.error().m_Detail));
          Self->m_Order.set_fencing_number(Reply.value().fencing_number());
          Self->send();
        });
      });
}

void OrderSender::send() {
  m_Outside.m_Send(
      m_Outside.m_Agent(), m_Order,
      std::max(ShortestCall, m_Due - RuntimeClock::now()),
      [Self = shared_from_this()](const Result<std::string, PeerError> &Reply) {
        postTask(Self->m_Timer.get_executor(),
                 [Self, Reply] { Self->take(Reply); });
      });
}

void OrderSender::take(const Result<std::string, PeerError> &Reply) {
  schema::OrderAnswer Answer;
  if (!Reply) {
    m_InDoubt |= !Reply.error().m_NothingSent;
    return tryAgain(
        makeAnswer(schema::OrderAnswer::NOT_YET, Reply.error().m_Detail));
  }
  if (!Answer.ParseFromString(Reply.value()))
    return end(makeAnswer(schema::OrderAnswer::IN_DOUBT,
                          "the agent's answer can't be read"));
  if (Answer.verdict() == schema::OrderAnswer::NOT_YET)
    return tryAgain(std::move(Answer));
  end(std::move(Answer));
}

void OrderSender::tryAgain(schema::OrderAnswer Why) {
  const Duration Pause =
      Why.retry_after_ms() == 0
          ? RetryAfterLoss
          : Duration(std::chrono::milliseconds(Why.retry_after_ms()));
  if (RuntimeClock::now() + Pause >= m_Due)
    return end(std::move(Why));
  m_Timer.expires_after(Pause);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->send();
      });
}

void OrderSender::end(schema::OrderAnswer Answer) {
  if (m_InDoubt && Answer.verdict() == schema::OrderAnswer::NOT_YET)
    Answer.set_verdict(schema::OrderAnswer::IN_DOUBT);
  const schema::Outcome Outcome = outcomeOf(Answer.verdict(), m_InDoubt);
  m_OnEnd({std::move(Answer), m_Order.fencing_number(), Outcome});
}

} // namespace mangocart
