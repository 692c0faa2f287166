// State machine of a non-idempotent request from claim to settled outcome.
#include "State/Settlement.h"

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint32_t toMilliseconds(Duration Time) {
  return static_cast<std::uint32_t>(
      std::max<Duration::rep>(0, duration_cast<milliseconds>(Time).count()));
}

// Processes one event: holds the state, the current time and the effects.
class EventProcessor {
public:
  EventProcessor(Settlement &State, TimePoint Now, SettlementEffects &Effects)
      : m_State(State), m_Now(Now), m_Effects(Effects) {}

  void chooseTarget() {
    m_State.m_Phase = SettlementPhase::Choosing;
    m_Effects.push_back(ChooseTarget{m_State.m_Tried});
    m_Effects.push_back(SetTimer{m_State.m_Request.m_Deadline});
  }

  void sendRevoke() {
    m_State.m_Phase = SettlementPhase::Revoking;
    m_Effects.push_back(
        SendRevoke{m_State.m_Target.m_BackendServer, m_State.m_Ticket});
    setTimerToDeadline();
  }

  void operator()(const TargetChosen &Event) {
    if (m_State.m_Phase != SettlementPhase::Choosing)
      return;
    m_State.m_Target = Event.m_Target;
    m_State.m_WasDispatched = false;
    m_State.m_IsClaimInDoubt = false;
    ++m_State.m_ClaimsMade;
    proposeClaim();
  }

  void operator()(const NoTarget &) {
    if (m_State.m_Phase != SettlementPhase::Choosing)
      return;
    if (isProvenNotRun())
      return finishUnsent(AnswerReason::NoBackendServer);
    // Queries the ledger: the outcome of an earlier request with the key may be
    // known.
    m_State.m_Attempt = 0;
    m_State.m_Target = {};
    proposeClaim();
  }

  void operator()(const ClaimReplied &Event) {
    if (m_State.m_Phase == SettlementPhase::Done)
      return settleLateGrant(Event);
    if (m_State.m_Phase != SettlementPhase::Claiming)
      return;
    switch (Event.m_Verdict) {
    case schema::ClaimReply::GRANTED:
      if (Event.m_Attempt == m_State.m_Attempt)
        dispatchGrant(Event);
      return;
    case schema::ClaimReply::STALE_ATTEMPT:
      return claimNextAttempt(Event.m_Attempt);
    case schema::ClaimReply::IN_PROGRESS:
      answer({schema::UNKNOWN,
              AnswerReason::InProgress,
              {},
              Event.m_RetryAfterMs});
      return finish();
    case schema::ClaimReply::KNOWN:
      answerOutcome(Event.m_Outcome, Event.m_Answer);
      return finish();
    case schema::ClaimReply::DIGEST_DIFFERS:
      answer({schema::NOT_RUN, AnswerReason::DigestDiffers, {}, 0});
      return finish();
    case schema::ClaimReply::LEDGER_FULL:
      // The ledger doesn't hold the key, or it was settled as not run.
      answer({schema::NOT_RUN, AnswerReason::LedgerFull, {}, retryAfterMs()});
      return finish();
    default:
      return finishUnsent(AnswerReason::InDoubt);
    }
  }

  void operator()(const ClaimFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Claiming)
      return;
    if (!Event.m_IsInDoubt)
      return finishUnsent(AnswerReason::NoQuorum);
    m_State.m_IsClaimInDoubt = true;
    setTimer(m_Now + m_State.m_Limits.m_ClaimRetryDelay);
  }

  void operator()(const AnswerArrived &Event) {
    if (!m_State.m_WasDispatched || !isCurrentClaim(Event))
      return;
    if (isCallOutstanding())
      return decideOutcome(schema::RAN, Event.m_Answer);
    if (m_State.m_DecidedOutcome != schema::RAN)
      proposeSettle(schema::RAN, Event.m_Answer);
  }

  void operator()(const CallRefused &Event) {
    if (m_State.m_Phase != SettlementPhase::Dispatched ||
        !isCurrentClaim(Event))
      return;
    Event.m_ProvesNotRun ? decideOutcome(schema::NOT_RUN, {}) : sendRevoke();
  }

  void operator()(const CallLost &Event) {
    if (m_State.m_Phase != SettlementPhase::Dispatched ||
        !isCurrentClaim(Event))
      return;
    Event.m_NothingSent ? decideOutcome(schema::NOT_RUN, {}) : sendRevoke();
  }

  void operator()(const RevokeReplied &Event) {
    if (m_State.m_Phase != SettlementPhase::Revoking || !isCurrentClaim(Event))
      return;
    m_State.m_IsUnreachable = false;
    switch (Event.m_Result.m_State) {
    case RevokeState::Revoked:
      return decideOutcome(schema::NOT_RUN, {});
    case RevokeState::Finished:
      return decideOutcome(schema::RAN, Event.m_Result.m_Answer);
    case RevokeState::UnknownHere:
      return decideOutcome(schema::UNKNOWN, {});
    case RevokeState::Running:
      return waitForAgent();
    }
  }

  void operator()(const RevokeFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Revoking || !isCurrentClaim(Event))
      return;
    if (!m_State.m_IsUnreachable)
      m_State.m_UnreachableSince = m_Now;
    m_State.m_IsUnreachable = true;
    const Duration Unreachable = m_Now - m_State.m_UnreachableSince;
    if (Unreachable >= m_State.m_Limits.m_UnreachableTimeout)
      return decideOutcome(schema::UNKNOWN, {});
    if (Unreachable >= m_State.m_Limits.m_CallerAnswerTimeout)
      answerInDoubt();
    waitForAgent();
  }

  void operator()(const AgentReplaced &) {
    if (m_State.m_Phase == SettlementPhase::Revoking && m_State.m_IsUnreachable)
      decideOutcome(schema::UNKNOWN, {});
  }

  void operator()(const SettleReplied &Event) {
    if (m_State.m_Phase != SettlementPhase::Committing ||
        !isCurrentClaim(Event))
      return;
    // An earlier settlement is final, so that every caller gets the same
    // outcome.
    const bool IsSettledBefore =
        Event.m_Outcome != schema::OUTCOME_UNSPECIFIED &&
        m_State.m_DecidedOutcome != schema::RAN;
    const schema::Outcome Outcome =
        IsSettledBefore ? Event.m_Outcome : m_State.m_DecidedOutcome;
    if (Outcome == schema::NOT_RUN && canRetry()) {
      ++m_State.m_Attempt;
      return chooseTarget();
    }
    answerOutcome(Outcome,
                  Event.m_Answer.empty() ? m_State.m_Answer : Event.m_Answer);
    finish();
  }

  void operator()(const SettleFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Committing ||
        !isCurrentClaim(Event))
      return;
    // The outcome is proven even though it isn't committed; the settler will
    // settle the claim again.
    answerOutcome(m_State.m_DecidedOutcome, m_State.m_Answer);
    finish();
  }

  void operator()(const CallerDisconnected &) {
    m_State.m_IsCallerAnswered = true;
    if (m_State.m_Phase == SettlementPhase::Choosing)
      finish();
  }

  void operator()(const TimerExpired &) {
    if (m_State.m_Phase == SettlementPhase::Done)
      return;
    if (m_State.m_IsOrphaned || m_Now < m_State.m_Request.m_Deadline)
      return retryPending();
    handleDeadline();
  }

private:
  template <class CallEvent> bool isCurrentClaim(const CallEvent &Event) const {
    return Event.m_ClaimNumber == m_State.m_Ticket.m_ClaimNumber;
  }

  bool isCallOutstanding() const {
    return m_State.m_Phase == SettlementPhase::Dispatched ||
           m_State.m_Phase == SettlementPhase::Revoking;
  }

  std::uint32_t retryAfterMs() const {
    return toMilliseconds(m_State.m_Limits.m_RetryAfter);
  }

  // While the caller waits, the timer fires at its deadline at the latest.
  void setTimer(TimePoint When) {
    if (!m_State.m_IsCallerAnswered)
      When = std::min(When, m_State.m_Request.m_Deadline);
    m_Effects.push_back(SetTimer{When});
  }

  void setTimerToDeadline() {
    if (!m_State.m_IsCallerAnswered)
      m_Effects.push_back(SetTimer{m_State.m_Request.m_Deadline});
  }

  void answer(AnswerCaller Answer) {
    if (m_State.m_IsCallerAnswered)
      return;
    m_State.m_IsCallerAnswered = true;
    m_Effects.push_back(std::move(Answer));
  }

  void answerInDoubt() {
    answer({schema::UNKNOWN, AnswerReason::InDoubt, {}, retryAfterMs()});
  }

  void answerOutcome(schema::Outcome Outcome, const std::string &Bytes) {
    switch (Outcome) {
    case schema::RAN:
      return answer({schema::RAN, AnswerReason::Answered, Bytes, 0});
    case schema::NOT_RUN:
      return answer(
          {schema::NOT_RUN, AnswerReason::NoBackendServer, {}, retryAfterMs()});
    default:
      return answerInDoubt();
    }
  }

  void finish() {
    m_State.m_Phase = SettlementPhase::Done;
    m_Effects.push_back(Finished{});
  }

  // Before anything was sent: whether the key is known not to have run. This is
  // the case if no other request can have the key, or if the ledger granted it
  // to this request before.
  bool isProvenNotRun() const {
    return m_State.m_Request.m_IsGeneratedKey ||
           m_State.m_Ticket.m_ClaimNumber != 0;
  }

  // Ends the request before anything was sent. Its claim, if there is one, will
  // never be used.
  void finishUnsent(AnswerReason Reason) {
    const schema::Outcome Outcome =
        isProvenNotRun() ? schema::NOT_RUN : schema::UNKNOWN;
    answer({Outcome, Reason, {}, retryAfterMs()});
    finish();
  }

  void proposeClaim() {
    m_State.m_Phase = SettlementPhase::Claiming;
    const Duration Left = m_State.m_Request.m_Deadline - m_Now;
    if (Left < m_State.m_Limits.m_MinTimeForAttempt)
      return finishUnsent(AnswerReason::DeadlinePassed);
    const SettlementRequest &Request = m_State.m_Request;
    m_Effects.push_back(ProposeClaim{
        Request.m_Customer, Request.m_IdempotencyKey, Request.m_Digest,
        m_State.m_Attempt, m_State.m_Target, Request.m_Entry,
        Request.m_RequestId, toMilliseconds(Left)});
    m_Effects.push_back(SetTimer{Request.m_Deadline});
  }

  // The key is unknown or was settled as not run under a lower attempt number,
  // so it has not run.
  void claimNextAttempt(std::uint32_t Attempt) {
    const bool IsLast = m_State.m_ClaimsMade >= m_State.m_Limits.m_MaxAttempts;
    if (m_State.m_Attempt == 0 || IsLast) {
      answer(
          {schema::NOT_RUN, AnswerReason::NoBackendServer, {}, retryAfterMs()});
      return finish();
    }
    ++m_State.m_ClaimsMade;
    m_State.m_Attempt = Attempt;
    proposeClaim();
  }

  void setTicket(const ClaimReplied &Grant) {
    m_State.m_Ticket.m_Customer = m_State.m_Request.m_Customer;
    m_State.m_Ticket.m_IdempotencyKey = m_State.m_Request.m_IdempotencyKey;
    m_State.m_Ticket.m_Attempt = m_State.m_Attempt;
    m_State.m_Ticket.m_AgentIncarnation = m_State.m_Target.m_Incarnation;
    m_State.m_Ticket.m_ClaimNumber = Grant.m_ClaimNumber;
    m_State.m_Ticket.m_ClaimedMs = Grant.m_ClaimedMs;
    m_State.m_Ticket.m_DeadlineMs = Grant.m_DeadlineMs;
  }

  // Checks the deadline again right before sending.
  void dispatchGrant(const ClaimReplied &Grant) {
    setTicket(Grant);
    if (m_State.m_IsCallerAnswered || m_Now >= m_State.m_Request.m_Deadline) {
      decideOutcome(schema::NOT_RUN, {});
      answer(
          {schema::NOT_RUN, AnswerReason::DeadlinePassed, {}, retryAfterMs()});
      return;
    }
    m_State.m_Phase = SettlementPhase::Dispatched;
    m_State.m_WasDispatched = true;
    m_State.m_Tried.push_back(m_State.m_Target.m_BackendServer);
    m_Effects.push_back(
        Dispatch{m_State.m_Target.m_BackendServer, m_State.m_Ticket});
    m_Effects.push_back(SetTimer{m_State.m_Request.m_Deadline});
  }

  // The claim was granted after the request had ended. It is never used, so it
  // is settled as not run at once.
  void settleLateGrant(const ClaimReplied &Event) {
    if (Event.m_Verdict != schema::ClaimReply::GRANTED ||
        m_State.m_WasDispatched ||
        Event.m_ClaimNumber == m_State.m_Ticket.m_ClaimNumber)
      return;
    setTicket(Event);
    proposeSettle(schema::NOT_RUN, {});
  }

  void proposeSettle(schema::Outcome Outcome, const std::string &Answer) {
    const ClaimTicket &Ticket = m_State.m_Ticket;
    m_Effects.push_back(ProposeSettle{Ticket.m_Customer,
                                      Ticket.m_IdempotencyKey, Ticket.m_Attempt,
                                      Ticket.m_ClaimNumber, Outcome, Answer});
  }

  void decideOutcome(schema::Outcome Outcome, const std::string &Answer) {
    m_State.m_Phase = SettlementPhase::Committing;
    m_State.m_DecidedOutcome = Outcome;
    m_State.m_Answer = Answer;
    proposeSettle(Outcome, Answer);
    setTimerToDeadline();
  }

  bool canRetry() const {
    return !m_State.m_IsOrphaned && !m_State.m_IsCallerAnswered &&
           m_State.m_ClaimsMade < m_State.m_Limits.m_MaxAttempts &&
           m_State.m_Request.m_Deadline - m_Now >=
               m_State.m_Limits.m_MinTimeForAttempt;
  }

  // Repeats the revocation later, or leaves the claim to the leader's settler.
  void waitForAgent() {
    const TimePoint Until =
        m_State.m_Request.m_Deadline + m_State.m_Limits.m_EntryGrace;
    if (!m_State.m_IsOrphaned && m_Now >= Until) {
      answerInDoubt();
      return finish();
    }
    setTimer(m_Now + m_State.m_Limits.m_RevokeRetryDelay);
  }

  void retryPending() {
    if (m_State.m_Phase == SettlementPhase::Claiming &&
        m_State.m_IsClaimInDoubt)
      return proposeClaim();
    if (m_State.m_Phase == SettlementPhase::Revoking)
      sendRevoke();
  }

  void handleDeadline() {
    switch (m_State.m_Phase) {
    case SettlementPhase::Choosing:
    case SettlementPhase::Claiming:
      return finishUnsent(AnswerReason::DeadlinePassed);
    case SettlementPhase::Dispatched:
    case SettlementPhase::Revoking:
      answer(
          {schema::UNKNOWN, AnswerReason::DeadlinePassed, {}, retryAfterMs()});
      return sendRevoke();
    case SettlementPhase::Committing:
      return answerOutcome(m_State.m_DecidedOutcome, m_State.m_Answer);
    case SettlementPhase::Done:
      return;
    }
  }

  Settlement &m_State;
  const TimePoint m_Now;
  SettlementEffects &m_Effects;
};

} // namespace

Settlement startSettlement(const SettlementRequest &Request,
                           const SettlementLimits &Limits, TimePoint Now,
                           SettlementEffects &Effects) {
  Settlement State;
  State.m_Limits = Limits;
  State.m_Request = Request;
  EventProcessor(State, Now, Effects).chooseTarget();
  return State;
}

Settlement startOrphanedClaim(const OpenClaim &Open,
                              const SettlementLimits &Limits, TimePoint Now,
                              SettlementEffects &Effects) {
  Settlement State;
  State.m_Limits = Limits;
  State.m_IsOrphaned = true;
  State.m_IsCallerAnswered = true;
  State.m_WasDispatched = true;
  State.m_Request.m_Customer = Open.m_Customer;
  State.m_Request.m_IdempotencyKey = Open.m_IdempotencyKey;
  State.m_Request.m_Deadline = Now;
  State.m_Target = {Open.m_BackendServer, Open.m_AgentIncarnation};
  State.m_Ticket = {Open.m_Customer,    Open.m_IdempotencyKey,
                    Open.m_Attempt,     Open.m_AgentIncarnation,
                    Open.m_ClaimNumber, Open.m_ClaimedMs,
                    Open.m_DeadlineMs};
  EventProcessor(State, Now, Effects).sendRevoke();
  return State;
}

SettlementEffects step(Settlement &State, const SettlementEvent &Event,
                       TimePoint Now) {
  SettlementEffects Effects;
  std::visit(EventProcessor(State, Now, Effects), Event);
  return Effects;
}

ClaimReplied claimReplied(const schema::ClaimReply &Reply) {
  ClaimReplied Event;
  Event.m_Verdict = Reply.verdict();
  Event.m_Outcome = Reply.outcome();
  if (Reply.has_answer())
    Event.m_Answer = Reply.answer().SerializeAsString();
  Event.m_Attempt = Reply.attempt();
  Event.m_ClaimNumber = Reply.claim_number();
  Event.m_ClaimedMs = Reply.claimed_ms();
  Event.m_DeadlineMs = Reply.deadline_ms();
  Event.m_RetryAfterMs = Reply.retry_after_ms();
  return Event;
}

SettleReplied settleReplied(const schema::SettleReply &Reply,
                            std::uint64_t ClaimNumber) {
  SettleReplied Event;
  Event.m_ClaimNumber = ClaimNumber;
  Event.m_Outcome = Reply.outcome();
  if (Reply.has_answer())
    Event.m_Answer = Reply.answer().SerializeAsString();
  return Event;
}

schema::Claim claimCommand(const ProposeClaim &Effect) {
  schema::Claim Command;
  Command.set_customer(Effect.m_Customer);
  Command.set_idempotency_key(Effect.m_IdempotencyKey);
  Command.set_digest(Effect.m_Digest);
  Command.set_attempt(Effect.m_Attempt);
  Command.set_backend_server(Effect.m_Target.m_BackendServer);
  Command.set_agent_incarnation(Effect.m_Target.m_Incarnation);
  Command.set_entry(Effect.m_Entry);
  Command.set_request_id(Effect.m_RequestId);
  Command.set_deadline_ms(Effect.m_DeadlineMs);
  return Command;
}

schema::Settle settleCommand(const ProposeSettle &Effect) {
  schema::Settle Command;
  Command.set_customer(Effect.m_Customer);
  Command.set_idempotency_key(Effect.m_IdempotencyKey);
  Command.set_attempt(Effect.m_Attempt);
  Command.set_claim_number(Effect.m_ClaimNumber);
  Command.set_outcome(Effect.m_Outcome);
  if (!Effect.m_Answer.empty())
    Command.mutable_answer()->ParseFromString(Effect.m_Answer);
  return Command;
}

} // namespace mangocart
