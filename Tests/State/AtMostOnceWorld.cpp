// Steps, faults and checks of the interleaving test.
#include "AtMostOnceWorld.h"

#include <stdexcept>

namespace mangocart::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Customer = "Orchard";
constexpr std::size_t EntryCount = 3;
constexpr std::size_t AgentCount = 3;
constexpr std::size_t KeyCount = 5;
constexpr std::uint64_t FirstWallMs = 1'000'000;
constexpr std::uint32_t RetentionS = 60;
constexpr std::uint64_t GraceMs = 500;

void require(bool Holds, const std::string &Promise) {
  if (!Holds)
    throw std::logic_error(Promise);
}

SettlementLimits settlementLimits() {
  SettlementLimits Limits;
  Limits.m_UnreachableLimit = seconds(5);
  Limits.m_EntryPatience = seconds(1);
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

AtMostOnceWorld::AtMostOnceWorld(std::uint64_t Seed)
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

void AtMostOnceWorld::send(Message Item) {
  if (m_IsFaulty && chance(4))
    Item.m_Held = uniform(m_Random, 1, 12);
  m_Messages.push_back(std::move(Item));
}

// A local event: may be late, but is neither lost nor doubled.
void AtMostOnceWorld::later(const std::function<void()> &Deliver) {
  send({Deliver, Deliver, false});
}

std::uint64_t AtMostOnceWorld::leaderMs() const {
  const auto Passed =
      std::chrono::duration_cast<milliseconds>(m_Now.time_since_epoch());
  return FirstWallMs + m_LeaderSkewMs +
         static_cast<std::uint64_t>(Passed.count());
}

void AtMostOnceWorld::run(std::size_t Steps) {
  for (std::size_t I = 0; I < Steps; ++I) {
    const std::uint64_t Choice = uniform(m_Random, 1, 100);
    if (Choice <= 62)
      deliverSome();
    else if (Choice <= 72)
      wakeSome(false);
    else if (Choice <= 82)
      m_Now += milliseconds(uniform(m_Random, 1, chance(10) ? 3000 : 60));
    else if (Choice <= 92)
      sendRequest();
    else if (Choice <= 96)
      causeFault();
    else
      operate();
  }
  settleRest();
  checkEnd();
}

void AtMostOnceWorld::deliverSome() {
  if (m_Messages.empty())
    return;
  const std::size_t Place =
      m_IsFaulty ? uniform(m_Random, 0, m_Messages.size() - 1) : 0;
  if (m_IsFaulty && m_Messages[Place].m_Held > 0) {
    --m_Messages[Place].m_Held;
    return;
  }
  const Message Item = m_Messages[Place];
  const bool IsKept = m_IsFaulty && Item.m_MayDouble && chance(8);
  const bool IsLost = m_IsFaulty && chance(12);
  if (!IsKept)
    m_Messages.erase(m_Messages.begin() + static_cast<std::ptrdiff_t>(Place));
  IsLost ? Item.m_Lose() : Item.m_Deliver();
}

void AtMostOnceWorld::wakeSome(bool All) {
  std::vector<Owner> Due;
  for (const auto &[Who, When] : m_Wakes)
    if (When <= m_Now && (All || chance(50)))
      Due.push_back(Who);
  for (const Owner &Who : Due) {
    m_Wakes.erase(Who);
    feed(Who, Woken{});
  }
}

void AtMostOnceWorld::causeFault() {
  switch (uniform(m_Random, 0, 6)) {
  case 0:
    return restartAgent(agentName(uniform(m_Random, 0, AgentCount - 1)));
  case 1:
    return killEntry(uniform(m_Random, 0, EntryCount - 1));
  case 2:
    m_HasQuorum = !m_HasQuorum;
    return;
  case 3:
    return changeLeader();
  case 4:
    // Long enough for guards to forget, sometimes for the ledger too.
    m_Now += seconds(uniform(m_Random, 1, chance(30) ? 90 : 15));
    return;
  case 5:
    if (chance(20))
      startLeaving(m_Agents.begin()->second.m_Guard);
    return;
  default:
    return scan();
  }
}

// What the entry has sent stays on its way.
void AtMostOnceWorld::killEntry(std::size_t Entry) {
  ++m_EntryGenerations[Entry];
  for (const auto &[Id, At] : m_EntryOf)
    if (At == Entry)
      m_Deliveries[Id].m_EntryDied = true;
}

void AtMostOnceWorld::restartAgent(const std::string &Name) {
  Agent &Restarted = m_Agents[Name];
  ++Restarted.m_Incarnation;
  Restarted.m_Guard =
      startGuard(Restarted.m_Incarnation, guardLimits(m_Random));
  for (const auto &[Id, State] : m_Requests)
    if (State.m_Target.m_BackendServer == Name) {
      const Owner Who{false, m_EntryGenerations[m_EntryOf[Id]], Id};
      later([this, Who] { feed(Who, AgentReplaced{}); });
    }
}

// The next leader's clock differs.
void AtMostOnceWorld::changeLeader() {
  m_LeaderSkewMs = uniform(m_Random, 0, 2000);
  ++m_SettlerGeneration;
  stopSettling(m_Settler);
}

void AtMostOnceWorld::scan() {
  if (!m_HasQuorum)
    return;
  const auto Overdue =
      overdueClaims(m_State.m_Ledger, leaderMs(), GraceMs, 100);
  for (const SettlerWork &Work : takeUp(m_Settler, Overdue, m_Now))
    perform({true, m_SettlerGeneration, Work.m_ClaimNumber}, Work.m_Effects);
}

void AtMostOnceWorld::sendRequest() {
  const std::size_t Id = m_Deliveries.size();
  const std::size_t Entry = uniform(m_Random, 0, EntryCount - 1);
  SettlementRequest Request;
  Request.m_Customer = Customer;
  Request.m_IsFreshKey = chance(15);
  Request.m_IdempotencyKey =
      Request.m_IsFreshKey
          ? "fresh-" + std::to_string(Id)
          : "key-" + std::to_string(uniform(m_Random, 1, KeyCount));
  Request.m_Digest = !Request.m_IsFreshKey && chance(10) ? 2 : 1;
  Request.m_Entry = "entry-" + std::to_string(Entry);
  Request.m_RequestId = std::to_string(Id);
  Request.m_Deadline = m_Now + milliseconds(uniform(m_Random, 50, 2000));

  Delivery Sent;
  Sent.m_Key = Request.m_IdempotencyKey;
  Sent.m_Digest = Request.m_Digest;
  Sent.m_ArrivedAfterStarts = m_Starts.size();
  Sent.m_Deadline = Request.m_Deadline;
  m_Deliveries.push_back(Sent);
  m_EntryOf[Id] = Entry;
  SettlementEffects Effects;
  m_Requests.emplace(
      Id, startSettlement(Request, settlementLimits(), m_Now, Effects));
  perform({false, m_EntryGenerations[Entry], Id}, Effects);
}

void AtMostOnceWorld::feed(const Owner &Who, const SettlementEvent &Event) {
  if (Who.m_IsSettler) {
    if (Who.m_Generation == m_SettlerGeneration)
      perform(Who, step(m_Settler, Who.m_Id, Event, m_Now));
    return;
  }
  if (Who.m_Generation == m_EntryGenerations[m_EntryOf[Who.m_Id]])
    perform(Who, step(m_Requests.at(Who.m_Id), Event, m_Now));
}

void AtMostOnceWorld::perform(const Owner &Who,
                              const SettlementEffects &Effects) {
  for (const SettlementEffect &Effect : Effects)
    std::visit([&](const auto &Each) { perform(Who, Each); }, Effect);
}

void AtMostOnceWorld::perform(const Owner &Who, const ChooseTarget &) {
  later([this, Who] {
    if (m_IsFaulty && chance(8))
      return feed(Who, NoTarget{});
    auto Chosen = m_Agents.begin();
    std::advance(Chosen, uniform(m_Random, 0, AgentCount - 1));
    // What the entry knows of incarnations may be old.
    const std::uint64_t Newest = Chosen->second.m_Incarnation;
    const std::uint64_t Known = Newest > 1 && chance(15) ? Newest - 1 : Newest;
    feed(Who, TargetChosen{{Chosen->first, Known}});
  });
}

void AtMostOnceWorld::perform(const Owner &Who, const ProposeClaim &Effect) {
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

void AtMostOnceWorld::perform(const Owner &Who, const ProposeSettle &Effect) {
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

void AtMostOnceWorld::propose(const schema::Command &Command,
                              const ReplyHandler &Done,
                              const std::function<void()> &InDoubt,
                              const std::function<void()> &NoQuorum) {
  const auto Deliver = [=, this] {
    if (!m_HasQuorum)
      return later(NoQuorum);
    const schema::CommandReply Reply = commit(Command);
    send({[=] { Done(Reply); }, InDoubt, true});
  };
  // In doubt: never committed, or long after the proposer has stopped waiting.
  const auto Lose = [=, this] {
    InDoubt();
    if (chance(50))
      later([=, this] { commit(Command); });
  };
  send({Deliver, Lose, true});
}

schema::CommandReply AtMostOnceWorld::commit(schema::Command Command) {
  Command.set_leader_time_ms(leaderMs());
  ++m_Index;
  const std::uint64_t Settled = Command.settle().claim_number();
  const bool WasOpen = m_State.m_Ledger.m_Open.count(Settled) != 0;
  const schema::CommandReply Reply = apply(m_State, m_Index, Command);
  if (chance(1))
    m_Replica = restore(snapshot(m_Replica)).value();
  require(apply(m_Replica, m_Index, Command).SerializeAsString() ==
              Reply.SerializeAsString(),
          "two voters reply alike");
  if (Reply.claim().verdict() == schema::ClaimReply::GRANTED)
    noteGrant(Command.claim(), Reply.claim());
  if (WasOpen && m_State.m_Ledger.m_Open.count(Settled) == 0 &&
      Reply.settle().outcome() == schema::NOT_RUN)
    m_NotRun.insert(Settled);
  const std::uint64_t Version =
      m_State.m_Configuration.m_Configuration.version();
  require(Version >= m_Version, "the configuration version never falls");
  m_Version = Version;
  return Reply;
}

void AtMostOnceWorld::noteGrant(const schema::Claim &Claim,
                                const schema::ClaimReply &Reply) {
  const std::string &Key = Claim.idempotency_key();
  const std::uint64_t Number = Reply.claim_number();
  if (Reply.attempt() == 1)
    m_FirstClaims[Key] = Number;
  m_Grants.try_emplace(Number,
                       Run{Key, Claim.digest(), Number, m_FirstClaims[Key]});
  m_Deliveries[std::stoul(Claim.request_id())].m_Claims.insert(Number);
}

void AtMostOnceWorld::perform(const Owner &Who, const Dispatch &Effect) {
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  const auto Lose = [=, this] { feed(Who, CallLost{Number, false}); };
  if (m_IsFaulty && chance(5))
    return later([=, this] { feed(Who, CallLost{Number, true}); });
  // A stream belongs to one process: a doubled call reaches the same one.
  const Stream Reached = std::make_shared<std::optional<std::uint64_t>>();
  const auto Deliver = [=, this] {
    const std::uint64_t Incarnation =
        m_Agents[Effect.m_BackendServer].m_Incarnation;
    if (Reached->value_or(Incarnation) != Incarnation)
      return;
    *Reached = Incarnation;
    beginAtAgent(Who, Effect);
  };
  send({Deliver, Lose, true});
  if (m_IsFaulty && chance(8))
    later(Lose);
}

void AtMostOnceWorld::refuse(const Owner &Who, std::uint64_t ClaimNumber,
                             bool ProvesNotRun) {
  send({[=, this] {
          feed(Who, CallRefused{ClaimNumber, ProvesNotRun});
        },
        [=, this] {
          feed(Who, CallLost{ClaimNumber, false});
        },
        true});
}

void AtMostOnceWorld::beginAtAgent(const Owner &Who, const Dispatch &Effect) {
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
  later([=, this, Incarnation = At.m_Incarnation] {
    endAtAgent(Who, Effect, Incarnation);
  });
}

void AtMostOnceWorld::endAtAgent(const Owner &Who, const Dispatch &Effect,
                                 std::uint64_t Incarnation) {
  Agent &At = m_Agents[Effect.m_BackendServer];
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  if (At.m_Incarnation != Incarnation)
    return feed(Who, CallLost{Number, false});
  if (m_IsFaulty && chance(5)) {
    finish(At.m_Guard, Effect.m_Ticket, FinishKind::Broken, {});
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

void AtMostOnceWorld::startAtBackend(const ClaimTicket &Ticket) {
  const Run New = m_Grants.at(Ticket.m_ClaimNumber);
  for (const Run &Old : m_Starts) {
    require(Old.m_ClaimNumber != New.m_ClaimNumber,
            "no claim is started twice");
    require(Old.m_Key != New.m_Key ||
                Old.m_FirstClaimNumber != New.m_FirstClaimNumber,
            "no key is started twice while the ledger holds it");
  }
  require(m_NotRun.count(New.m_ClaimNumber) == 0,
          "what was settled as not run is never started");
  for (const Delivery &Request : m_Deliveries)
    require(Request.m_Outcome != schema::NOT_RUN ||
                Request.m_Claims.count(New.m_ClaimNumber) == 0,
            "what was answered as not run is never started");
  m_Starts.push_back(New);
}

void AtMostOnceWorld::perform(const Owner &Who, const SendRevoke &Effect) {
  const std::uint64_t Number = Effect.m_Ticket.m_ClaimNumber;
  const auto Fail = [=, this] { feed(Who, RevokeFailed{Number}); };
  const auto Deliver = [=, this] {
    const RevokeResult Result =
        revoke(m_Agents[Effect.m_BackendServer].m_Guard, Effect.m_Ticket);
    send({[=, this] { feed(Who, RevokeReplied{Number, Result}); }, Fail, true});
  };
  send({Deliver, Fail, true});
}

void AtMostOnceWorld::perform(const Owner &Who, const AnswerCaller &Effect) {
  require(!Who.m_IsSettler, "the settler has no caller");
  Delivery &Request = m_Deliveries[Who.m_Id];
  require(Request.m_Outcome == schema::OUTCOME_UNSPECIFIED,
          "a caller is answered once");
  checkAnswer(Request, Effect);
  Request.m_Outcome = Effect.m_Outcome;
}

void AtMostOnceWorld::perform(const Owner &Who, const WakeAt &Effect) {
  m_Wakes[Who] = Effect.m_When;
}

void AtMostOnceWorld::perform(const Owner &Who, const Finished &) {
  m_Wakes.erase(Who);
}

bool AtMostOnceWorld::isForgotten(const Run &Started) const {
  return m_FirstClaims.at(Started.m_Key) != Started.m_FirstClaimNumber ||
         m_State.m_Ledger.m_Table.find(0, hashKey(Started.m_Key)) == NoSlot;
}

void AtMostOnceWorld::checkAnswer(const Delivery &Request,
                                  const AnswerCaller &Answer) const {
  bool HasRun = false;
  bool IsOwnAnswer = Answer.m_Answer.empty();
  for (std::size_t I = 0; I < m_Starts.size(); ++I) {
    const Run &Started = m_Starts[I];
    if (Started.m_Key != Request.m_Key || Started.m_Digest != Request.m_Digest)
      continue;
    HasRun = true;
    IsOwnAnswer |=
        Answer.m_Answer == answerBytes(Started.m_Key, Started.m_ClaimNumber);
    const bool IsOwn = Request.m_Claims.count(Started.m_ClaimNumber) != 0;
    const bool RanBefore =
        I < Request.m_ArrivedAfterStarts && !isForgotten(Started);
    require(Answer.m_Outcome != schema::NOT_RUN || (!IsOwn && !RanBefore),
            "a request answered as not run has not run");
  }
  if (Answer.m_Outcome != schema::RAN)
    return;
  require(HasRun, "a request answered as run has run");
  require(IsOwnAnswer, "a caller gets the answer to its own request");
}

void AtMostOnceWorld::operate() {
  if (!m_Accepts.empty() && chance(40))
    return proposeAccept(m_Accepts[uniform(m_Random, 0, m_Accepts.size() - 1)]);
  schema::Command Command;
  schema::AcceptConfiguration &Accept = *Command.mutable_accept();
  Accept.set_operation_id("operation-" + std::to_string(++m_Operations));
  Accept.mutable_configuration()->set_deployment(Accept.operation_id());
  Accept.mutable_configuration()->set_outcome_retention_s(RetentionS);
  Accept.set_planned_against(m_Version - (m_Version > 1 && chance(25) ? 1 : 0));
  m_Accepts.push_back(Command);
  proposeAccept(Command);
}

void AtMostOnceWorld::proposeAccept(const schema::Command &Command) {
  propose(
      Command,
      [=, this](const schema::CommandReply &Reply) {
        checkAccept(Command.accept(), Reply.accept());
      },
      [] {}, [] {});
}

void AtMostOnceWorld::checkAccept(const schema::AcceptConfiguration &Accept,
                                  const schema::AcceptReply &Reply) {
  const std::string Bytes = Reply.SerializeAsString();
  const auto [Known, IsFirst] =
      m_AcceptReplies.try_emplace(Accept.operation_id(), Bytes);
  require(IsFirst || Known->second == Bytes,
          "a resent operation gets the first reply");
  const auto [Winner, IsNew] =
      m_Winners.try_emplace(Reply.version(), Reply.winner_operation_id());
  require(IsNew || Winner->second == Reply.winner_operation_id(),
          "a version has one winner");
  require(Reply.verdict() != schema::AcceptReply::ACCEPTED ||
              (Winner->second == Accept.operation_id() &&
               Reply.version() == Accept.planned_against() + 1),
          "who is accepted planned against the version before and is the "
          "winner");
}

void AtMostOnceWorld::settleRest() {
  constexpr int MaxRounds = 200;
  m_IsFaulty = false;
  m_HasQuorum = true;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    while (!m_Messages.empty())
      deliverSome();
    if (m_State.m_Ledger.m_Open.empty() && m_Wakes.empty())
      return;
    m_Now += milliseconds(250);
    wakeSome(true);
    scan();
  }
  throw std::logic_error("every claim is settled in the end");
}

void AtMostOnceWorld::checkEnd() const {
  for (const Delivery &Request : m_Deliveries)
    require(Request.m_EntryDied ||
                Request.m_Outcome != schema::OUTCOME_UNSPECIFIED,
            "every caller of a living entry is answered");
  require(snapshot(m_State) == snapshot(m_Replica),
          "two voters hold the same state");
}

std::size_t AtMostOnceWorld::answered(schema::Outcome Outcome) const {
  std::size_t Count = 0;
  for (const Delivery &Request : m_Deliveries)
    Count += Request.m_Outcome == Outcome ? 1 : 0;
  return Count;
}

} // namespace mangocart::test
