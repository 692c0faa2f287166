// Locking, and conversion between the guard's types and the schema's messages.
#include "Agent/CallGuard.h"

namespace mangocart {

namespace {

constexpr std::uint32_t RetryAfterOverloadMilliseconds = 200;

schema::CallRefusal::Reason toReason(BeginVerdict Verdict) {
  switch (Verdict) {
  case BeginVerdict::WrongIncarnation:
    return schema::CallRefusal::WRONG_INCARNATION;
  case BeginVerdict::KeyStarted:
    return schema::CallRefusal::KEY_STARTED;
  case BeginVerdict::KeyRevoked:
    return schema::CallRefusal::KEY_REVOKED;
  case BeginVerdict::Leaving:
    return schema::CallRefusal::LEAVING;
  case BeginVerdict::Overloaded:
    return schema::CallRefusal::OVERLOADED;
  case BeginVerdict::DeadlinePassed:
    return schema::CallRefusal::DEADLINE_PASSED;
  case BeginVerdict::Start:
    break;
  }
  return schema::CallRefusal::REASON_UNSPECIFIED;
}

schema::RevokeReply::State toSchema(RevokeState State) {
  switch (State) {
  case RevokeState::Revoked:
    return schema::RevokeReply::REVOKED;
  case RevokeState::Running:
    return schema::RevokeReply::RUNNING;
  case RevokeState::Finished:
    return schema::RevokeReply::FINISHED;
  case RevokeState::UnknownHere:
    return schema::RevokeReply::UNKNOWN_HERE;
  }
  return schema::RevokeReply::UNKNOWN_HERE;
}

// Call and revocation messages hold the claim in fields of the same names.
template <class Message> ClaimTicket makeTicket(const Message &From) {
  ClaimTicket Ticket;
  Ticket.m_Customer = From.customer();
  Ticket.m_IdempotencyKey = From.idempotency_key();
  Ticket.m_Attempt = From.attempt();
  Ticket.m_AgentIncarnation = From.agent_incarnation();
  Ticket.m_ClaimNumber = From.claim_number();
  Ticket.m_ClaimedMs = From.claimed_ms();
  Ticket.m_DeadlineMs = From.claim_deadline_ms();
  return Ticket;
}

} // namespace

ClaimTicket toTicket(const schema::CallRequest &Request) {
  return makeTicket(Request);
}

ClaimTicket toTicket(const schema::RevokeRequest &Request) {
  return makeTicket(Request);
}

schema::CallRefusal toRefusal(BeginVerdict Verdict) {
  schema::CallRefusal Refusal;
  Refusal.set_reason(toReason(Verdict));
  Refusal.set_outcome(provesNotRun(Verdict) ? schema::NOT_RUN
                                            : schema::UNKNOWN);
  if (Verdict == BeginVerdict::Overloaded)
    Refusal.set_retry_after_ms(RetryAfterOverloadMilliseconds);
  return Refusal;
}

CallGuard::CallGuard(std::uint64_t Incarnation, const GuardLimits &Limits)
    : m_Guard(startGuard(Incarnation, Limits)) {}

BeginVerdict CallGuard::begin(const schema::CallRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  if (Request.idempotency_key().empty())
    return beginIdempotent(m_Guard);
  return mangocart::begin(m_Guard, toTicket(Request));
}

void CallGuard::finish(const schema::CallRequest &Request, FinishKind Kind,
                       std::string Answer) {
  const std::lock_guard Lock(m_Mutex);
  if (Request.idempotency_key().empty())
    finishIdempotent(m_Guard);
  else
    mangocart::finish(m_Guard, toTicket(Request), Kind, std::move(Answer));
}

schema::RevokeReply CallGuard::revoke(const schema::RevokeRequest &Request) {
  RevokeResult Result;
  {
    const std::lock_guard Lock(m_Mutex);
    Result = mangocart::revoke(m_Guard, toTicket(Request));
  }
  schema::RevokeReply Reply;
  Reply.set_state(toSchema(Result.m_State));
  if (!Result.m_Answer.empty())
    Reply.mutable_answer()->ParseFromString(Result.m_Answer);
  return Reply;
}

void CallGuard::raiseIncarnation(std::uint64_t Incarnation) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::raiseIncarnation(m_Guard, Incarnation);
}

void CallGuard::startLeaving() {
  const std::lock_guard Lock(m_Mutex);
  mangocart::startLeaving(m_Guard);
}

std::size_t CallGuard::outstanding() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Guard.m_Outstanding;
}

OrderVerdict CallGuard::checkOrder(const schema::Order &Order) {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::checkOrder(m_Guard, Order.backend_server(),
                               Order.fencing_number());
}

void CallGuard::learnFence(const std::string &BackendServer,
                           std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::learnFence(m_Guard, BackendServer, Number);
}

std::optional<std::uint64_t>
CallGuard::fenceInForce(const std::string &BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::fenceInForce(m_Guard, BackendServer);
}

} // namespace mangocart
