// Steps, faults and checks of the simulation.
#include "AtMostOnceSimulation.h"

#include <stdexcept>

namespace mangocart::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Customer = "Orchard";
constexpr std::size_t EntryCount = 3;
constexpr std::size_t AgentCount = 3;
constexpr std::size_t KeyCount = 5;
constexpr std::uint64_t InitialWallMs = 1'000'000;
constexpr std::uint32_t RetentionS = 60;
constexpr std::uint64_t GraceMs = 500;

void require(bool Holds, const std::string &Guarantee) {
  if (!Holds)
    throw std::logic_error(Guarantee);
}

SettlementLimits settlementLimits() {
  SettlementLimits Limits;
  Limits.m_UnreachableTimeout = seconds(5);
  Limits.m_EntryGrace = seconds(1);
  return Limits;
}

GuardLimits guardLimits(Random &Generator) {
  GuardLimits Limits;
  Limits.m_MaxKeys = uniform(Generator, 4, 40);
  Limits.m_MaxAnswerBytes = uniform(Generator, 8, 400);
  Limits.m_SettlementWindowMs = uniform(Generator, 100, 20'000);
  return Limits;
}

std::string agentName(std::size_t Index) {
  return "desk-" + std::to_string(Index);
}

std::string answerBytes(const std::string &Key, std::uint64_t ClaimNumber) {
  schema::StoredAnswer Answer;
  Answer.set_status(200);
  Answer.set_body(Key + " by " + std::to_string(ClaimNumber));
  return Answer.SerializeAsString();
}

} // namespace

AtMostOnceSimulation::AtMostOnceSimulation(std::uint64_t Seed)
    : m_Random(Seed), m_Now(seconds(1)), m_EntryGenerations(EntryCount, 0) {
  m_Settler.m_Limits.m_Settlement = settlementLimits();
  for (std::size_t I = 0; I < AgentCount; ++I)
    m_Agents[agentName(I)].m_Guard = startGuard(1, guardLimits(m_Random));
  schema::Command First;
  First.mutable_accept()->mutable_configuration()->set_outcome_retention_s(
      RetentionS);
  First.mutable_accept()->set_operation_id("first");
  checkAccept(First.accept(), commit(First).accept());
}

void AtMostOnceSimulation::send(Message Item) {
  if (m_IsFaulty && chance(4))
    Item.m_SkipCount = uniform(m_Random, 1, 12);
  m_Messages.push_back(std::move(Item));
}

// A local event: may be delayed, but is never dropped or duplicated.
void AtMostOnceSimulation::postLocal(const std::function<void()> &Deliver) {
  send({Deliver, Deliver, false});
}

std::uint64_t AtMostOnceSimulation::leaderClockMs() const {
  const auto Passed =
      std::chrono::duration_cast<milliseconds>(m_Now.time_since_epoch());
  return InitialWallMs + m_LeaderSkewMs +
         static_cast<std::uint64_t>(Passed.count());
}

void AtMostOnceSimulation::run(std::size_t Steps) {
  for (std::size_t I = 0; I < Steps; ++I) {
    const std::uint64_t Choice = uniform(m_Random, 1, 100);
    if (Choice <= 62)
      deliverNext();
    else if (Choice <= 72)
      fireTimers(false);
    else if (Choice <= 82)
      m_Now += milliseconds(uniform(m_Random, 1, chance(10) ? 3000 : 60));
    else if (Choice <= 92)
      sendRequest();
    else if (Choice <= 96)
      injectFault();
    else
      runOperator();
  }
  settleRemaining();
  checkEnd();
}

void AtMostOnceSimulation::deliverNext() {
  if (m_Messages.empty())
    return;
  const std::size_t Index =
      m_IsFaulty ? uniform(m_Random, 0, m_Messages.size() - 1) : 0;
  if (m_IsFaulty && m_Messages[Index].m_SkipCount > 0) {
    --m_Messages[Index].m_SkipCount;
    return;
  }
  const Message Item = m_Messages[Index];
  const bool IsKept = m_IsFaulty && Item.m_MayDuplicate && chance(8);
  const bool IsDropped = m_IsFaulty && chance(12);
  if (!IsKept)
    m_Messages.erase(m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  IsDropped ? Item.m_Drop() : Item.m_Deliver();
}

void AtMostOnceSimulation::fireTimers(bool All) {
  std::vector<Owner> Due;
  for (const auto &[Who, When] : m_Timers)
    if (When <= m_Now && (All || chance(50)))
      Due.push_back(Who);
  for (const Owner &Who : Due) {
    m_Timers.erase(Who);
    feed(Who, TimerExpired{});
  }
}

void AtMostOnceSimulation::injectFault() {
  switch (uniform(m_Random, 0, 6)) {
  case 0:
    return restartAgent(agentName(uniform(m_Random, 0, AgentCount - 1)));
  case 1:
    return failEntry(uniform(m_Random, 0, EntryCount - 1));
  case 2:
    m_HasQuorum = !m_HasQuorum;
    return;
  case 3:
    return changeLeader();
  case 4:
    // Long enough for guards, and sometimes the ledger, to expire records.
    m_Now += seconds(uniform(m_Random, 1, chance(30) ? 90 : 15));
    return;
  case 5:
    if (chance(20))
      startLeaving(m_Agents.begin()->second.m_Guard);
    return;
  default:
    return runSettler();
  }
}

// Messages that the entry has sent are still delivered.
void AtMostOnceSimulation::failEntry(std::size_t Entry) {
  ++m_EntryGenerations[Entry];
  for (const auto &[Id, At] : m_EntryOf)
    if (At == Entry)
      m_CallerRequests[Id].m_EntryFailed = true;
}

void AtMostOnceSimulation::restartAgent(const std::string &Name) {
  Agent &Restarted = m_Agents[Name];
  ++Restarted.m_Incarnation;
  Restarted.m_Guard =
      startGuard(Restarted.m_Incarnation, guardLimits(m_Random));
  for (const auto &[Id, State] : m_Requests)
    if (State.m_Target.m_BackendServer == Name) {
      const Owner Who{false, m_EntryGenerations[m_EntryOf[Id]], Id};
      postLocal([this, Who] { feed(Who, AgentReplaced{}); });
    }
}

// The clock of the new leader differs.
void AtMostOnceSimulation::changeLeader() {
  m_LeaderSkewMs = uniform(m_Random, 0, 2000);
  ++m_SettlerGeneration;
  stopSettling(m_Settler);
}

void AtMostOnceSimulation::runSettler() {
  if (!m_HasQuorum)
    return;
  const auto Overdue =
      overdueClaims(m_State.m_Ledger, leaderClockMs(), GraceMs, 100);
  for (const ClaimEffects &Effects :
       startSettlements(m_Settler, Overdue, m_Now))
    perform({true, m_SettlerGeneration, Effects.m_ClaimNumber},
            Effects.m_Effects);
}

void AtMostOnceSimulation::sendRequest() {
  const std::size_t Id = m_CallerRequests.size();
  const std::size_t Entry = uniform(m_Random, 0, EntryCount - 1);
  SettlementRequest Request;
  Request.m_Customer = Customer;
  Request.m_IsGeneratedKey = chance(15);
  Request.m_IdempotencyKey =
      Request.m_IsGeneratedKey
          ? "fresh-" + std::to_string(Id)
          : "key-" + std::to_string(uniform(m_Random, 1, KeyCount));
  Request.m_Digest = !Request.m_IsGeneratedKey && chance(10) ? 2 : 1;
  Request.m_Entry = "entry-" + std::to_string(Entry);
  Request.m_RequestId = std::to_string(Id);
  Request.m_Deadline = m_Now + milliseconds(uniform(m_Random, 50, 2000));

  CallerRequest Added;
  Added.m_Key = Request.m_IdempotencyKey;
  Added.m_Digest = Request.m_Digest;
  Added.m_StartsAtArrival = m_Starts.size();
  Added.m_Deadline = Request.m_Deadline;
  m_CallerRequests.push_back(Added);
  m_EntryOf[Id] = Entry;
  SettlementEffects Effects;
  m_Requests.emplace(
      Id, startSettlement(Request, settlementLimits(), m_Now, Effects));
  perform({false, m_EntryGenerations[Entry], Id}, Effects);
}

void AtMostOnceSimulation::feed(const Owner &Who,
                                const SettlementEvent &Event) {
  if (Who.m_IsSettler) {
    if (Who.m_Generation == m_SettlerGeneration)
      perform(Who, step(m_Settler, Who.m_Id, Event, m_Now));
    return;
  }
  if (Who.m_Generation == m_EntryGenerations[m_EntryOf[Who.m_Id]])
    perform(Who, step(m_Requests.at(Who.m_Id), Event, m_Now));
}

void AtMostOnceSimulation::perform(const Owner &Who,
                                   const SettlementEffects &Effects) {
  for (const SettlementEffect &Effect : Effects)
    std::visit([&](const auto &Item) { perform(Who, Item); }, Effect);
}

void AtMostOnceSimulation::perform(const Owner &Who, const ChooseTarget &) {
  postLocal([this, Who] {
    if (m_IsFaulty && chance(8))
      return feed(Who, NoTarget{});
    auto Chosen = m_Agents.begin();
    std::advance(Chosen, uniform(m_Random, 0, AgentCount - 1));
    // The entry may know an outdated incarnation.
    const std::uint64_t Newest = Chosen->second.m_Incarnation;
    const std::uint64_t Known = Newest > 1 && chance(15) ? Newest - 1 : Newest;
    feed(Who, TargetChosen{{Chosen->first, Known}});
  });
}

void AtMostOnceSimulation::perform(const Owner &Who,
                                   const ProposeClaim &Effect) {
  schema::Command Command;
  *Command.mutable_claim() = claimCommand(Effect);
  propose(
      Command,
      [=, this](const schema::CommandReply &Reply) {
        feed(Who, claimReplied(Reply.claim()));
      },
      [=, this] { feed(Who, ClaimFailed{true}); },
      [=, this] { feed(Who, ClaimFailed{false}); });
}

void AtMostOnceSimulation::perform(const Owner &Who,
                                   const ProposeSettle &Effect) {
  schema::Command Command;
  *Command.mutable_settle() = settleCommand(Effect);
  const std::uint64_t Number = Effect.m_ClaimNumber;
  const auto Fail = [=, this] { feed(Who, SettleFailed{Number}); };
  propose(
      Command,
      [=, this](const schema::CommandReply &Reply) {
        feed(Who, settleReplied(Reply.settle(), Number));
      },
      Fail, Fail);
}

void AtMostOnceSimulation::propose(const schema::Command &Command,
                                   const ReplyHandler &Done,
                                   const std::function<void()> &InDoubt,
                                   const std::function<void()> &NoQuorum) {
  const auto Deliver = [=, this] {
    if (!m_HasQuorum)
      return postLocal(NoQuorum);
    const schema::CommandReply Reply = commit(Command);
    send({[=] { Done(Reply); }, InDoubt, true});
  };
  // In doubt: never committed, or committed after the proposer has stopped
  // waiting.
  const auto Drop = [=, this] {
    InDoubt();
    if (chance(50))
      postLocal([=, this] { commit(Command); });
  };
  send({Deliver, Drop, true});
}

schema::CommandReply AtMostOnceSimulation::commit(schema::Command Command) {
  Command.set_leader_time_ms(leaderClockMs());
  ++m_Index;
  const std::uint64_t ClaimNumber = Command.settle().claim_number();
  const bool WasOpen = m_State.m_Ledger.m_Open.count(ClaimNumber) != 0;
  schema::CommandReply Reply = apply(m_State, m_Index, Command);
  if (chance(1))
    m_ReplicaState = restore(snapshot(m_ReplicaState)).value();
  require(apply(m_ReplicaState, m_Index, Command).SerializeAsString() ==
              Reply.SerializeAsString(),
          "two voters return the same reply");
  if (Reply.claim().verdict() == schema::ClaimReply::GRANTED)
    recordGrant(Command.claim(), Reply.claim());
  if (WasOpen && m_State.m_Ledger.m_Open.count(ClaimNumber) == 0 &&
      Reply.settle().outcome() == schema::NOT_RUN)
    m_SettledNotRun.insert(ClaimNumber);
  const std::uint64_t Version =
      m_State.m_Configuration.m_Configuration.version();
  require(Version >= m_Version, "the configuration version never decreases");
  m_Version = Version;
  return Reply;
}

void AtMostOnceSimulation::recordGrant(const schema::Claim &Claim,
                                       const schema::ClaimReply &Reply) {
  const std::string &Key = Claim.idempotency_key();
  const std::uint64_t Number = Reply.claim_number();
  if (Reply.attempt() == 1)
    m_FirstClaims[Key] = Number;
  m_Grants.try_emplace(
      Number, ClaimRun{Key, Claim.digest(), Number, m_FirstClaims[Key]});
  m_CallerRequests[std::stoul(Claim.request_id())].m_Claims.insert(Number);
}

void AtMostOnceSimulation::perform(const Owner &Who, const Dispatch &Effect) {
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  const auto Drop = [=, this] { feed(Who, CallLost{Number, false}); };
  if (m_IsFaulty && chance(5))
    return postLocal([=, this] { feed(Who, CallLost{Number, true}); });
  // A stream belongs to one process, so a duplicated call reaches the same
  // process.
  const Stream Reached = std::make_shared<std::optional<std::uint64_t>>();
  const auto Deliver = [=, this] {
    const std::uint64_t Incarnation =
        m_Agents[Effect.m_BackendServer].m_Incarnation;
    if (Reached->value_or(Incarnation) != Incarnation)
      return;
    *Reached = Incarnation;
    beginAtAgent(Who, Effect);
  };
  send({Deliver, Drop, true});
  if (m_IsFaulty && chance(8))
    postLocal(Drop);
}

void AtMostOnceSimulation::refuse(const Owner &Who, std::uint64_t ClaimNumber,
                                  bool ProvesNotRun) {
  send({[=, this] {
          feed(Who, CallRefused{ClaimNumber, ProvesNotRun});
        },
        [=, this] {
          feed(Who, CallLost{ClaimNumber, false});
        },
        true});
}

void AtMostOnceSimulation::beginAtAgent(const Owner &Who,
                                        const Dispatch &Effect) {
  Agent &At = m_Agents[Effect.m_BackendServer];
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  const BeginVerdict Verdict = begin(At.m_Guard, Effect.m_Ticket);
  if (Verdict != BeginVerdict::Start)
    return refuse(Who, Number, provesNotRun(Verdict));
  if (m_IsFaulty && chance(5)) {
    finish(At.m_Guard, Effect.m_Ticket, FinishKind::NeverSent, {});
    return refuse(Who, Number, true);
  }
  startAtBackend(Effect.m_Ticket);
  postLocal([=, this, Incarnation = At.m_Incarnation] {
    endAtAgent(Who, Effect, Incarnation);
  });
}

void AtMostOnceSimulation::endAtAgent(const Owner &Who, const Dispatch &Effect,
                                      std::uint64_t Incarnation) {
  Agent &At = m_Agents[Effect.m_BackendServer];
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  if (At.m_Incarnation != Incarnation)
    return feed(Who, CallLost{Number, false});
  if (m_IsFaulty && chance(5)) {
    finish(At.m_Guard, Effect.m_Ticket, FinishKind::AnswerLost, {});
    return refuse(Who, Number, false);
  }
  const std::string Answer =
      answerBytes(Effect.m_Ticket.m_IdempotencyKey, Number);
  finish(At.m_Guard, Effect.m_Ticket, FinishKind::Answered, Answer);
  send({[=, this] {
          feed(Who, AnswerArrived{Number, Answer});
        },
        [=, this] {
          feed(Who, CallLost{Number, false});
        },
        true});
}

void AtMostOnceSimulation::startAtBackend(const ClaimTicket &Ticket) {
  const ClaimRun New = m_Grants.at(Ticket.m_ClaimNumber);
  for (const ClaimRun &Old : m_Starts) {
    require(Old.m_ClaimNumber != New.m_ClaimNumber,
            "no claim is started twice");
    require(Old.m_Key != New.m_Key ||
                Old.m_FirstClaimNumber != New.m_FirstClaimNumber,
            "no key is started twice while the ledger holds it");
  }
  require(m_SettledNotRun.count(New.m_ClaimNumber) == 0,
          "a claim settled as not run is never started");
  for (const CallerRequest &Request : m_CallerRequests)
    require(Request.m_Outcome != schema::NOT_RUN ||
                Request.m_Claims.count(New.m_ClaimNumber) == 0,
            "a request answered as not run is never started");
  m_Starts.push_back(New);
}

void AtMostOnceSimulation::perform(const Owner &Who, const SendRevoke &Effect) {
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  const auto Fail = [=, this] { feed(Who, RevokeFailed{Number}); };
  const auto Deliver = [=, this] {
    const RevokeResult Result =
        revoke(m_Agents[Effect.m_BackendServer].m_Guard, Effect.m_Ticket);
    send({[=, this] { feed(Who, RevokeReplied{Number, Result}); }, Fail, true});
  };
  send({Deliver, Fail, true});
}

void AtMostOnceSimulation::perform(const Owner &Who,
                                   const AnswerCaller &Effect) {
  require(!Who.m_IsSettler, "the settler has no caller");
  CallerRequest &Request = m_CallerRequests[Who.m_Id];
  require(Request.m_Outcome == schema::OUTCOME_UNSPECIFIED,
          "a caller is answered only once");
  checkAnswer(Request, Effect);
  Request.m_Outcome = Effect.m_Outcome;
}

void AtMostOnceSimulation::perform(const Owner &Who, const SetTimer &Effect) {
  m_Timers[Who] = Effect.m_When;
}

void AtMostOnceSimulation::perform(const Owner &Who, const Finished &) {
  m_Timers.erase(Who);
}

bool AtMostOnceSimulation::isExpired(const ClaimRun &Started) const {
  return m_FirstClaims.at(Started.m_Key) != Started.m_FirstClaimNumber ||
         m_State.m_Ledger.m_Table.find(0, hashKey(Started.m_Key)) == NoSlot;
}

void AtMostOnceSimulation::checkAnswer(const CallerRequest &Request,
                                       const AnswerCaller &Answer) const {
  bool HasRun = false;
  bool IsOwnAnswer = Answer.m_Answer.empty();
  for (std::size_t I = 0; I < m_Starts.size(); ++I) {
    const ClaimRun &Started = m_Starts[I];
    if (Started.m_Key != Request.m_Key || Started.m_Digest != Request.m_Digest)
      continue;
    HasRun = true;
    IsOwnAnswer |=
        Answer.m_Answer == answerBytes(Started.m_Key, Started.m_ClaimNumber);
    const bool IsOwn = Request.m_Claims.count(Started.m_ClaimNumber) != 0;
    const bool RanBefore = I < Request.m_StartsAtArrival && !isExpired(Started);
    require(Answer.m_Outcome != schema::NOT_RUN || (!IsOwn && !RanBefore),
            "a request answered as not run has not run");
  }
  if (Answer.m_Outcome != schema::RAN)
    return;
  require(HasRun, "a request answered as run has run");
  require(IsOwnAnswer, "a caller gets the answer to its own request");
}

void AtMostOnceSimulation::runOperator() {
  if (!m_AcceptCommands.empty() && chance(40))
    return proposeAccept(
        m_AcceptCommands[uniform(m_Random, 0, m_AcceptCommands.size() - 1)]);
  schema::Command Command;
  schema::AcceptConfiguration &Accept = *Command.mutable_accept();
  Accept.set_operation_id("operation-" + std::to_string(++m_Operations));
  Accept.mutable_configuration()->set_deployment(Accept.operation_id());
  Accept.mutable_configuration()->set_outcome_retention_s(RetentionS);
  Accept.set_planned_against(m_Version - (m_Version > 1 && chance(25) ? 1 : 0));
  m_AcceptCommands.push_back(Command);
  proposeAccept(Command);
}

void AtMostOnceSimulation::proposeAccept(const schema::Command &Command) {
  propose(
      Command,
      [=, this](const schema::CommandReply &Reply) {
        checkAccept(Command.accept(), Reply.accept());
      },
      [] {}, [] {});
}

void AtMostOnceSimulation::checkAccept(
    const schema::AcceptConfiguration &Accept,
    const schema::AcceptReply &Reply) {
  const std::string Bytes = Reply.SerializeAsString();
  const auto [Known, IsFirst] =
      m_AcceptReplies.try_emplace(Accept.operation_id(), Bytes);
  require(IsFirst || Known->second == Bytes,
          "a retried operation gets the first reply");
  const auto [Winner, IsNew] =
      m_Winners.try_emplace(Reply.version(), Reply.winner_operation_id());
  require(IsNew || Winner->second == Reply.winner_operation_id(),
          "a version has one winner");
  require(Reply.verdict() != schema::AcceptReply::ACCEPTED ||
              (Winner->second == Accept.operation_id() &&
               Reply.version() == Accept.planned_against() + 1),
          "an accepted operation was planned against the previous version "
          "and is the winner");
}

void AtMostOnceSimulation::settleRemaining() {
  constexpr int MaxRounds = 200;
  m_IsFaulty = false;
  m_HasQuorum = true;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    while (!m_Messages.empty())
      deliverNext();
    if (m_State.m_Ledger.m_Open.empty() && m_Timers.empty())
      return;
    m_Now += milliseconds(250);
    fireTimers(true);
    runSettler();
  }
  throw std::logic_error("every claim is settled in the end");
}

void AtMostOnceSimulation::checkEnd() const {
  for (const CallerRequest &Request : m_CallerRequests)
    require(Request.m_EntryFailed ||
                Request.m_Outcome != schema::OUTCOME_UNSPECIFIED,
            "every caller of an entry that hasn't failed is answered");
  require(snapshot(m_State) == snapshot(m_ReplicaState),
          "two voters hold the same state");
}

std::size_t AtMostOnceSimulation::answered(schema::Outcome Outcome) const {
  std::size_t Count = 0;
  for (const CallerRequest &Request : m_CallerRequests)
    Count += Request.m_Outcome == Outcome ? 1 : 0;
  return Count;
}

} // namespace mangocart::test
