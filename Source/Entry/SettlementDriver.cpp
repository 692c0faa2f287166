#include "Entry/SettlementDriver.h"

#include "Entry/EntryContext.h"
#include "Entry/MembershipDirectory.h"
#include "Raft/ReplicatedLog.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace mangocart {

namespace {

constexpr const char *RevokeMethod = "/agent/revoke";
constexpr Duration RevokeTimeout = std::chrono::seconds(1);
constexpr Duration ProposeTimeout = std::chrono::seconds(2);

RevokeState toRevokeState(schema::RevokeReply::State State) {
  switch (State) {
  case schema::RevokeReply::REVOKED:
    return RevokeState::Revoked;
  case schema::RevokeReply::RUNNING:
    return RevokeState::Running;
  case schema::RevokeReply::FINISHED:
    return RevokeState::Finished;
  default:
    return RevokeState::UnknownHere;
  }
}

schema::RevokeRequest toRequest(const ClaimTicket &Ticket) {
  schema::RevokeRequest Request;
  Request.set_customer(Ticket.m_Customer);
  Request.set_idempotency_key(Ticket.m_IdempotencyKey);
  Request.set_attempt(Ticket.m_Attempt);
  Request.set_agent_incarnation(Ticket.m_AgentIncarnation);
  Request.set_claim_number(Ticket.m_ClaimNumber);
  Request.set_claimed_ms(Ticket.m_ClaimedMs);
  Request.set_claim_deadline_ms(Ticket.m_DeadlineMs);
  return Request;
}

void addTicket(const ClaimTicket &Ticket, schema::CallRequest &Request) {
  Request.set_customer(Ticket.m_Customer);
  Request.set_idempotency_key(Ticket.m_IdempotencyKey);
  Request.set_attempt(Ticket.m_Attempt);
  Request.set_agent_incarnation(Ticket.m_AgentIncarnation);
  Request.set_claim_number(Ticket.m_ClaimNumber);
  Request.set_claimed_ms(Ticket.m_ClaimedMs);
  Request.set_claim_deadline_ms(Ticket.m_DeadlineMs);
}

} // namespace

SettlementDriver::SettlementDriver(EntryContext &Context,
                                   boost::asio::any_io_executor Executor)
    : m_Context(Context), m_Executor(std::move(Executor)), m_Timer(m_Executor) {
}

std::shared_ptr<SettlementDriver>
SettlementDriver::startRequest(EntryContext &Context,
                               boost::asio::any_io_executor Executor,
                               const SettlementRequest &Request,
                               SettlementCall Call, AnswerHandler OnAnswer) {
  std::shared_ptr<SettlementDriver> Self(
      new SettlementDriver(Context, std::move(Executor)));
  Self->m_Call = std::move(Call);
  Self->m_OnAnswer = std::move(OnAnswer);
  SettlementEffects Effects;
  Self->m_OwnSettlement =
      startSettlement(Request, {}, RuntimeClock::now(), Effects);
  // The raw pointer is safe: whoever feeds an event holds a reference to the
  // driver.
  Self->m_Step = [Raw = Self.get()](const SettlementEvent &Event) {
    return step(Raw->m_OwnSettlement, Event, RuntimeClock::now());
  };
  Self->m_GetState = [Raw = Self.get()] { return &Raw->m_OwnSettlement; };
  Self->executeAll(Effects);
  return Self;
}

void SettlementDriver::drive(EntryContext &Context,
                             boost::asio::any_io_executor Executor,
                             StepFunction Step, StateFunction GetState,
                             const SettlementEffects &First) {
  const std::shared_ptr<SettlementDriver> Self(
      new SettlementDriver(Context, std::move(Executor)));
  Self->m_Step = std::move(Step);
  Self->m_GetState = std::move(GetState);
  Self->executeAll(First);
}

void SettlementDriver::feed(const SettlementEvent &Event) {
  executeAll(m_Step(Event));
}

void SettlementDriver::post(SettlementEvent Event) {
  boost::asio::post(m_Executor,
                    [Self = shared_from_this(), Event = std::move(Event)] {
                      Self->feed(Event);
                    });
}

void SettlementDriver::executeAll(const SettlementEffects &Effects) {
  for (const SettlementEffect &Effect : Effects)
    std::visit([this](const auto &Each) { execute(Each); }, Effect);
}

void SettlementDriver::execute(const ChooseTarget &Effect) {
  ChoiceRequest Choice;
  Choice.m_Service = m_Call.m_Service;
  Choice.m_Policy = m_Call.m_Policy;
  Choice.m_MaxOutstanding = m_Call.m_MaxOutstanding;
  Choice.m_Tried = &Effect.m_Tried;
  const auto Target = m_Context.m_Directory.choose(Choice);
  if (!Target)
    return post(NoTarget{});
  m_Targets[Target->m_Name] = *Target;
  post(TargetChosen{{Target->m_Name, Target->m_Incarnation}});
}

void SettlementDriver::execute(const ProposeClaim &Effect) {
  schema::Command Command;
  *Command.mutable_claim() = claimCommand(Effect);
  m_Context.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [Self = shared_from_this()](
          const Result<schema::CommandReply, ProposeError> &Reply) {
        if (Reply)
          Self->post(claimReplied(Reply.value().claim()));
        else
          Self->post(
              ClaimFailed{Reply.error().m_Code == ProposeErrorCode::InDoubt});
      });
}

void SettlementDriver::execute(const Dispatch &Effect) {
  const BackendTarget &Target = m_Targets.at(Effect.m_BackendServer);
  addTicket(Effect.m_Ticket, m_Call.m_Request);
  const Duration Left =
      m_OwnSettlement.m_Request.m_Deadline - RuntimeClock::now();
  m_Call.m_Request.set_deadline_ms(
      static_cast<std::uint32_t>(std::max<std::int64_t>(
          1, std::chrono::duration_cast<std::chrono::milliseconds>(Left)
                 .count())));
  m_Answer.Clear();
  ++m_Context.m_Counters.m_Attempts;
  m_Context.m_Directory.callStarted(Target, {});
  m_Attempt = CallAttempt::start(
      m_Context.m_Peers, Target.m_Agent, m_Call.m_Request, m_Executor,
      callHandlers(Effect.m_Ticket.m_ClaimNumber, Target));
}

CallHandlers SettlementDriver::callHandlers(std::uint64_t ClaimNumber,
                                            const BackendTarget &Target) {
  CallHandlers Handlers;
  const auto Self = shared_from_this();
  const auto Ended = [Self, Target,
                      Started = RuntimeClock::now()](CallResult Result) {
    Self->m_Attempt.reset();
    Self->m_Context.m_Directory.callEnded(
        Target, {}, {Result, RuntimeClock::now() - Started});
  };
  Handlers.m_OnHead = [Self](const schema::CallHead &Head) {
    Self->m_Answer.set_status(Head.status());
    *Self->m_Answer.mutable_headers() = Head.headers();
  };
  Handlers.m_OnBody = [Self](const std::string &Data) {
    Self->m_Answer.mutable_body()->append(Data);
  };
  Handlers.m_OnEnd = [Self, Ended, ClaimNumber] {
    Ended(CallResult::Answered);
    Self->feed(AnswerArrived{ClaimNumber, Self->m_Answer.SerializeAsString()});
  };
  Handlers.m_OnRefusal = [Self, Ended,
                          ClaimNumber](const schema::CallRefusal &Refusal) {
    Ended(CallResult::Refused);
    Self->feed(CallRefused{ClaimNumber, Refusal.outcome() == schema::NOT_RUN});
  };
  Handlers.m_OnBroken = [Self, Ended, ClaimNumber](const CallBroken &Broken) {
    Ended(CallResult::Broken);
    Self->feed(CallLost{ClaimNumber, Broken.m_NothingSent});
  };
  Handlers.m_MaxBodyBytes = MaxBufferedAnswerBytes;
  return Handlers;
}

void SettlementDriver::execute(const SendRevoke &Effect) {
  const auto Known = m_Targets.find(Effect.m_BackendServer);
  const auto Target = Known == m_Targets.end()
                          ? m_Context.m_Directory.locate(Effect.m_BackendServer)
                          : std::optional(Known->second);
  const std::uint64_t ClaimNumber = Effect.m_Ticket.m_ClaimNumber;
  if (!Target)
    return post(RevokeFailed{ClaimNumber});
  m_Context.m_Peers.call(
      Target->m_Agent, RevokeMethod,
      toRequest(Effect.m_Ticket).SerializeAsString(), RevokeTimeout,
      [Self = shared_from_this(),
       ClaimNumber](const Result<std::string, PeerError> &Bytes) {
        schema::RevokeReply Reply;
        if (!Bytes || !Reply.ParseFromString(Bytes.value()))
          return Self->post(RevokeFailed{ClaimNumber});
        RevokeResult Result;
        Result.m_State = toRevokeState(Reply.state());
        if (Reply.has_answer())
          Result.m_Answer = Reply.answer().SerializeAsString();
        Self->post(RevokeReplied{ClaimNumber, std::move(Result)});
      });
}

void SettlementDriver::execute(const ProposeSettle &Effect) {
  schema::Command Command;
  *Command.mutable_settle() = settleCommand(Effect);
  m_Context.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [Self = shared_from_this(), ClaimNumber = Effect.m_ClaimNumber](
          const Result<schema::CommandReply, ProposeError> &Reply) {
        if (Reply)
          Self->post(settleReplied(Reply.value().settle(), ClaimNumber));
        else
          Self->post(SettleFailed{ClaimNumber});
      });
}

void SettlementDriver::execute(const AnswerCaller &Effect) {
  if (!m_OnAnswer)
    return;
  const AnswerHandler Handler = std::exchange(m_OnAnswer, nullptr);
  Handler(Effect);
}

void SettlementDriver::execute(const SetTimer &Effect) {
  m_Timer.expires_at(Effect.m_When);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (Error)
          return;
        Self->checkReplacement();
        Self->feed(TimerExpired{});
      });
}

// A replaced agent can no longer report which requests it ran.
void SettlementDriver::checkReplacement() {
  const Settlement *State = m_GetState();
  if (!State || State->m_Phase != SettlementPhase::Revoking)
    return;
  const auto Now =
      m_Context.m_Directory.locate(State->m_Target.m_BackendServer);
  if (Now && Now->m_Incarnation > State->m_Target.m_Incarnation)
    feed(AgentReplaced{});
}

void SettlementDriver::execute(const Finished &) { m_Timer.cancel(); }

} // namespace mangocart
