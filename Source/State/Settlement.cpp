// Steps of a non-idempotent request from claim to settled outcome.
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

// Functions of one step: the state, the time and the effects so far.
class Stepper {
public:
  Stepper(Settlement &State, TimePoint Now, SettlementEffects &Effects)
      : m_State(State), m_Now(Now), m_Effects(Effects) {}

  void chooseTarget() {
    m_State.m_Phase = SettlementPhase::Choosing;
    m_Effects.push_back(ChooseTarget{m_State.m_Tried});
    m_Effects.push_back(WakeAt{m_State.m_Request.m_Deadline});
  }

  void sendRevoke() {
    m_State.m_Phase = SettlementPhase::Revoking;
    m_Effects.push_back(
        SendRevoke{m_State.m_Target.m_BackendServer, m_State.m_Ticket});
    wakeAtDeadline();
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
    if (isProvenUnsent())
      return giveUpUnsent(AnswerReason::NoBackendServer);
    // The outcome of an earlier request with the key may be known.
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
        takeGrant(Event);
      return;
    case schema::ClaimReply::STALE_ATTEMPT:
      return takeNextAttempt(Event.m_Attempt);
    case schema::ClaimReply::IN_PROGRESS:
      answer({schema::UNKNOWN,
              AnswerReason::InProgress,
              {},
              Event.m_RetryAfterMs});
      return finish();
    case schema::ClaimReply::KNOWN:
      answerStored(Event.m_Outcome, Event.m_Answer);
      return finish();
    case schema::ClaimReply::DIGEST_DIFFERS:
      answer({schema::NOT_RUN, AnswerReason::DigestDiffers, {}, 0});
      return finish();
    case schema::ClaimReply::LEDGER_FULL:
      // The ledger doesn't hold the key, or holds it as not run.
      answer({schema::NOT_RUN, AnswerReason::LedgerFull, {}, retryAfterMs()});
      return finish();
    default:
      return giveUpUnsent(AnswerReason::InDoubt);
    }
  }

  void operator()(const ClaimFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Claiming)
      return;
    if (!Event.m_IsInDoubt)
      return giveUpUnsent(AnswerReason::NoQuorum);
    m_State.m_IsClaimInDoubt = true;
    wakeAt(m_Now + m_State.m_Limits.m_ClaimRepeatDelay);
  }

  void operator()(const AnswerArrived &Event) {
    if (!m_State.m_WasDispatched || !isPresent(Event))
      return;
    if (isCallOpen())
      return decide(schema::RAN, Event.m_Answer);
    if (m_State.m_Decided != schema::RAN)
      propose(schema::RAN, Event.m_Answer);
  }

  void operator()(const CallRefused &Event) {
    if (m_State.m_Phase != SettlementPhase::Dispatched || !isPresent(Event))
      return;
    Event.m_ProvesNotRun ? decide(schema::NOT_RUN, {}) : sendRevoke();
  }

  void operator()(const CallLost &Event) {
    if (m_State.m_Phase != SettlementPhase::Dispatched || !isPresent(Event))
      return;
    Event.m_NothingSent ? decide(schema::NOT_RUN, {}) : sendRevoke();
  }

  void operator()(const RevokeReplied &Event) {
    if (m_State.m_Phase != SettlementPhase::Revoking || !isPresent(Event))
      return;
    m_State.m_IsUnreachable = false;
    switch (Event.m_Result.m_State) {
    case RevokeState::Revoked:
      return decide(schema::NOT_RUN, {});
    case RevokeState::Finished:
      return decide(schema::RAN, Event.m_Result.m_Answer);
    case RevokeState::UnknownHere:
      return decide(schema::UNKNOWN, {});
    case RevokeState::Running:
      return waitForAgent();
    }
  }

  void operator()(const RevokeFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Revoking || !isPresent(Event))
      return;
    if (!m_State.m_IsUnreachable)
      m_State.m_UnreachableSince = m_Now;
    m_State.m_IsUnreachable = true;
    const Duration Unreachable = m_Now - m_State.m_UnreachableSince;
    if (Unreachable >= m_State.m_Limits.m_UnreachableLimit)
      return decide(schema::UNKNOWN, {});
    if (Unreachable >= m_State.m_Limits.m_CallerPatience)
      answerInDoubt();
    waitForAgent();
  }

  void operator()(const AgentReplaced &) {
    if (m_State.m_Phase == SettlementPhase::Revoking && m_State.m_IsUnreachable)
      decide(schema::UNKNOWN, {});
  }

  void operator()(const SettleReplied &Event) {
    if (m_State.m_Phase != SettlementPhase::Committing || !isPresent(Event))
      return;
    // A settlement that came before ours stands, for every caller alike.
    const bool IsHeld = Event.m_Outcome != schema::OUTCOME_UNSPECIFIED &&
                        m_State.m_Decided != schema::RAN;
    const schema::Outcome Outcome =
        IsHeld ? Event.m_Outcome : m_State.m_Decided;
    if (Outcome == schema::NOT_RUN && mayTryAgain()) {
      ++m_State.m_Attempt;
      return chooseTarget();
    }
    answerStored(Outcome,
                 Event.m_Answer.empty() ? m_State.m_Answer : Event.m_Answer);
    finish();
  }

  void operator()(const SettleFailed &Event) {
    if (m_State.m_Phase != SettlementPhase::Committing || !isPresent(Event))
      return;
    // What is proven is true without the commit; the settler repeats it.
    answerStored(m_State.m_Decided, m_State.m_Answer);
    finish();
  }

  void operator()(const CallerGone &) {
    m_State.m_IsCallerAnswered = true;
    if (m_State.m_Phase == SettlementPhase::Choosing)
      finish();
  }

  void operator()(const Woken &) {
    if (m_State.m_Phase == SettlementPhase::Done)
      return;
    if (m_State.m_IsOrphan || m_Now < m_State.m_Request.m_Deadline)
      return repeat();
    passDeadline();
  }

private:
  template <class AboutCall> bool isPresent(const AboutCall &Event) const {
    return Event.m_ClaimNumber == m_State.m_Ticket.m_ClaimNumber;
  }

  bool isCallOpen() const {
    return m_State.m_Phase == SettlementPhase::Dispatched ||
           m_State.m_Phase == SettlementPhase::Revoking;
  }

  std::uint32_t retryAfterMs() const {
    return toMilliseconds(m_State.m_Limits.m_RetryAfter);
  }

  // While a caller waits, its deadline wakes too.
  void wakeAt(TimePoint When) {
    if (!m_State.m_IsCallerAnswered)
      When = std::min(When, m_State.m_Request.m_Deadline);
    m_Effects.push_back(WakeAt{When});
  }

  void wakeAtDeadline() {
    if (!m_State.m_IsCallerAnswered)
      m_Effects.push_back(WakeAt{m_State.m_Request.m_Deadline});
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

  void answerStored(schema::Outcome Outcome, const std::string &Bytes) {
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

  // While nothing was sent: true if the key is known not to have run. That
  // holds when no other request can have the key, or when the ledger granted it
  // to this request before.
  bool isProvenUnsent() const {
    return m_State.m_Request.m_IsFreshKey ||
           m_State.m_Ticket.m_ClaimNumber != 0;
  }

  // Gives up before anything was sent. The claim in hand, if there is one, will
  // never be used.
  void giveUpUnsent(AnswerReason Reason) {
    const schema::Outcome Outcome =
        isProvenUnsent() ? schema::NOT_RUN : schema::UNKNOWN;
    answer({Outcome, Reason, {}, retryAfterMs()});
    finish();
  }

  void proposeClaim() {
    m_State.m_Phase = SettlementPhase::Claiming;
    const Duration Left = m_State.m_Request.m_Deadline - m_Now;
    if (Left < m_State.m_Limits.m_MinTimeForAttempt)
      return giveUpUnsent(AnswerReason::DeadlinePassed);
    const SettlementRequest &Request = m_State.m_Request;
    m_Effects.push_back(ProposeClaim{
        Request.m_Customer, Request.m_IdempotencyKey, Request.m_Digest,
        m_State.m_Attempt, m_State.m_Target, Request.m_Entry,
        Request.m_RequestId, toMilliseconds(Left)});
    m_Effects.push_back(WakeAt{Request.m_Deadline});
  }

  // The key is unknown, or was settled as not run under a lower attempt number:
  // either way it has not run.
  void takeNextAttempt(std::uint32_t Attempt) {
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

  void takeTicket(const ClaimReplied &Grant) {
    m_State.m_Ticket.m_Customer = m_State.m_Request.m_Customer;
    m_State.m_Ticket.m_IdempotencyKey = m_State.m_Request.m_IdempotencyKey;
    m_State.m_Ticket.m_Attempt = m_State.m_Attempt;
    m_State.m_Ticket.m_AgentIncarnation = m_State.m_Target.m_Incarnation;
    m_State.m_Ticket.m_ClaimNumber = Grant.m_ClaimNumber;
    m_State.m_Ticket.m_ClaimedMs = Grant.m_ClaimedMs;
    m_State.m_Ticket.m_DeadlineMs = Grant.m_DeadlineMs;
  }

  // The time that counts is that at the moment of sending.
  void takeGrant(const ClaimReplied &Grant) {
    takeTicket(Grant);
    if (m_State.m_IsCallerAnswered || m_Now >= m_State.m_Request.m_Deadline) {
      decide(schema::NOT_RUN, {});
      answer(
          {schema::NOT_RUN, AnswerReason::DeadlinePassed, {}, retryAfterMs()});
      return;
    }
    m_State.m_Phase = SettlementPhase::Dispatched;
    m_State.m_WasDispatched = true;
    m_State.m_Tried.push_back(m_State.m_Target.m_BackendServer);
    m_Effects.push_back(
        Dispatch{m_State.m_Target.m_BackendServer, m_State.m_Ticket});
    m_Effects.push_back(WakeAt{m_State.m_Request.m_Deadline});
  }

  // The claim was granted after the request had been given up: it is never
  // used, so the key may be freed at once.
  void settleLateGrant(const ClaimReplied &Event) {
    if (Event.m_Verdict != schema::ClaimReply::GRANTED ||
        m_State.m_WasDispatched ||
        Event.m_ClaimNumber == m_State.m_Ticket.m_ClaimNumber)
      return;
    takeTicket(Event);
    propose(schema::NOT_RUN, {});
  }

  void propose(schema::Outcome Outcome, const std::string &Answer) {
    const ClaimTicket &Ticket = m_State.m_Ticket;
    m_Effects.push_back(ProposeSettle{Ticket.m_Customer,
                                      Ticket.m_IdempotencyKey, Ticket.m_Attempt,
                                      Ticket.m_ClaimNumber, Outcome, Answer});
  }

  void decide(schema::Outcome Outcome, const std::string &Answer) {
    m_State.m_Phase = SettlementPhase::Committing;
    m_State.m_Decided = Outcome;
    m_State.m_Answer = Answer;
    propose(Outcome, Answer);
    wakeAtDeadline();
  }

  bool mayTryAgain() const {
    return !m_State.m_IsOrphan && !m_State.m_IsCallerAnswered &&
           m_State.m_ClaimsMade < m_State.m_Limits.m_MaxAttempts &&
           m_State.m_Request.m_Deadline - m_Now >=
               m_State.m_Limits.m_MinTimeForAttempt;
  }

  // Asks the agent again later, or leaves the claim to the leader's settler.
  void waitForAgent() {
    const TimePoint Until =
        m_State.m_Request.m_Deadline + m_State.m_Limits.m_EntryPatience;
    if (!m_State.m_IsOrphan && m_Now >= Until) {
      answerInDoubt();
      return finish();
    }
    wakeAt(m_Now + m_State.m_Limits.m_RevokeRepeatDelay);
  }

  void repeat() {
    if (m_State.m_Phase == SettlementPhase::Claiming &&
        m_State.m_IsClaimInDoubt)
      return proposeClaim();
    if (m_State.m_Phase == SettlementPhase::Revoking)
      sendRevoke();
  }

  void passDeadline() {
    switch (m_State.m_Phase) {
    case SettlementPhase::Choosing:
    case SettlementPhase::Claiming:
      return giveUpUnsent(AnswerReason::DeadlinePassed);
    case SettlementPhase::Dispatched:
    case SettlementPhase::Revoking:
      answer(
          {schema::UNKNOWN, AnswerReason::DeadlinePassed, {}, retryAfterMs()});
      return sendRevoke();
    case SettlementPhase::Committing:
      return answerStored(m_State.m_Decided, m_State.m_Answer);
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
  Stepper(State, Now, Effects).chooseTarget();
  return State;
}

Settlement startOrphan(const OpenClaim &Open, const SettlementLimits &Limits,
                       TimePoint Now, SettlementEffects &Effects) {
  Settlement State;
  State.m_Limits = Limits;
  State.m_IsOrphan = true;
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
  Stepper(State, Now, Effects).sendRevoke();
  return State;
}

SettlementEffects step(Settlement &State, const SettlementEvent &Event,
                       TimePoint Now) {
  SettlementEffects Effects;
  std::visit(Stepper(State, Now, Effects), Event);
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
