// Table tests of the settlement: a sequence of events and the expected effects.
#include "State/Settler.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin(10s);
constexpr Duration Deadline = 2s;

SettlementRequest request(bool IsGeneratedKey) {
  SettlementRequest Request;
  Request.m_Customer = "Orchard";
  Request.m_IdempotencyKey = "slot-7";
  Request.m_Digest = 7;
  Request.m_Entry = "entry-1";
  Request.m_RequestId = "request-1";
  Request.m_Deadline = Begin + Deadline;
  Request.m_IsGeneratedKey = IsGeneratedKey;
  return Request;
}

std::string outcomeName(schema::Outcome Outcome) {
  return schema::Outcome_Name(Outcome);
}

struct EffectFormatter {
  std::string operator()(const ChooseTarget &Effect) const {
    std::string Name = "choose";
    for (const std::string &Tried : Effect.m_Tried)
      Name += " not " + Tried;
    return Name;
  }
  std::string operator()(const ProposeClaim &Effect) const {
    return "claim " + std::to_string(Effect.m_Attempt);
  }
  std::string operator()(const Dispatch &Effect) const {
    return "dispatch " + std::to_string(Effect.m_Ticket.m_ClaimNumber);
  }
  std::string operator()(const SendRevoke &Effect) const {
    return "revoke " + std::to_string(Effect.m_Ticket.m_ClaimNumber);
  }
  std::string operator()(const ProposeSettle &Effect) const {
    return "settle " + std::to_string(Effect.m_ClaimNumber) + " " +
           outcomeName(Effect.m_Outcome);
  }
  std::string operator()(const AnswerCaller &Effect) const {
    return "answer " + outcomeName(Effect.m_Outcome) +
           (Effect.m_Answer.empty() ? "" : " with " + Effect.m_Answer);
  }
  std::string operator()(const SetTimer &) const { return ""; }
  std::string operator()(const Finished &) const { return "finished"; }
};

// The effects as text, without the timers.
std::string format(const SettlementEffects &Effects) {
  std::string Text;
  for (const SettlementEffect &Effect : Effects) {
    const std::string EffectText = std::visit(EffectFormatter{}, Effect);
    if (!EffectText.empty())
      Text += (Text.empty() ? "" : ", ") + EffectText;
  }
  return Text;
}

ClaimReplied verdict(schema::ClaimReply::Verdict Verdict,
                     std::uint32_t Attempt = 1, std::uint64_t Number = 0) {
  ClaimReplied Reply;
  Reply.m_Verdict = Verdict;
  Reply.m_Attempt = Attempt;
  Reply.m_ClaimNumber = Number;
  return Reply;
}

ClaimReplied granted(std::uint32_t Attempt, std::uint64_t Number) {
  return verdict(schema::ClaimReply::GRANTED, Attempt, Number);
}

ClaimReplied known(schema::Outcome Outcome, const std::string &Answer) {
  ClaimReplied Reply = verdict(schema::ClaimReply::KNOWN);
  Reply.m_Outcome = Outcome;
  Reply.m_Answer = Answer;
  return Reply;
}

struct Step {
  SettlementEvent m_Event;
  std::string m_Effects;
  // Time that elapses before the event.
  Duration m_After = Duration::zero();
};

using Steps = std::vector<Step>;

Steps operator+(Steps Left, const Steps &Right) {
  Left.insert(Left.end(), Right.begin(), Right.end());
  return Left;
}

const TargetChosen First{{"desk-1", 3}};
const TargetChosen Second{{"desk-2", 3}};
const Steps Claiming = {{First, "claim 1"}};
const Steps Sent = Claiming + Steps{{granted(1, 5), "dispatch 5"}};
const Steps Asked = Sent + Steps{{CallLost{5, false}, "revoke 5"}};

RevokeReplied revokeReply(RevokeState State, const std::string &Answer = {},
                          std::uint64_t Number = 5) {
  return {Number, {State, Answer}};
}

struct Row {
  const char *m_Name;
  bool m_IsGeneratedKey;
  Steps m_Steps;
};

const Row Rows[] = {
    {"ran", false,
     Sent + Steps{{AnswerArrived{5, "yes"}, "settle 5 RAN"},
                  {SettleReplied{5, schema::RAN, "yes"},
                   "answer RAN with yes, finished"}}},
    {"the answer can't be committed", false,
     Sent + Steps{{AnswerArrived{5, "yes"}, "settle 5 RAN"},
                  {SettleFailed{5}, "answer RAN with yes, finished"}}},
    {"the commit finishes after the deadline", false,
     Sent + Steps{{AnswerArrived{5, "yes"}, "settle 5 RAN"},
                  {TimerExpired{}, "answer RAN with yes", Deadline},
                  {SettleReplied{5, schema::RAN, "yes"}, "finished"}}},
    {"known as ran", false,
     Claiming +
         Steps{{known(schema::RAN, "yes"), "answer RAN with yes, finished"}}},
    {"known as unknown", false,
     Claiming +
         Steps{{known(schema::UNKNOWN, ""), "answer UNKNOWN, finished"}}},
    {"in progress elsewhere", false,
     Claiming + Steps{{verdict(schema::ClaimReply::IN_PROGRESS),
                       "answer UNKNOWN, finished"}}},
    {"key used for other content", false,
     Claiming + Steps{{verdict(schema::ClaimReply::DIGEST_DIFFERS),
                       "answer NOT_RUN, finished"}}},
    {"ledger full", false,
     Claiming + Steps{{verdict(schema::ClaimReply::LEDGER_FULL),
                       "answer NOT_RUN, finished"}}},
    {"settled earlier as not run", false,
     Claiming +
         Steps{{verdict(schema::ClaimReply::STALE_ATTEMPT, 3), "claim 3"},
               {granted(3, 8), "dispatch 8"}}},
    {"no majority, generated key", true,
     Claiming + Steps{{ClaimFailed{false}, "answer NOT_RUN, finished"}}},
    {"no majority, the caller's key may have run before", false,
     Claiming + Steps{{ClaimFailed{false}, "answer UNKNOWN, finished"}}},
    {"claim in doubt is proposed again", false,
     Claiming + Steps{{ClaimFailed{true}, ""},
                      {TimerExpired{}, "claim 1", 50ms},
                      {granted(1, 5), "dispatch 5"},
                      {granted(1, 5), ""}}},
    {"granted after the deadline", false,
     Claiming +
         Steps{{granted(1, 5), "settle 5 NOT_RUN, answer NOT_RUN", Deadline}}},
    {"granted after the answer", false,
     Claiming + Steps{{TimerExpired{}, "answer UNKNOWN, finished", Deadline},
                      {granted(1, 5), "settle 5 NOT_RUN"}}},
    {"granted after the caller disconnected", false,
     Claiming + Steps{{CallerDisconnected{}, ""},
                      {granted(1, 5), "settle 5 NOT_RUN"}}},
    {"grant of another attempt", false, Claiming + Steps{{granted(2, 5), ""}}},
    {"no backend server, generated key",
     true,
     {{NoTarget{}, "answer NOT_RUN, finished"}}},
    {"no backend server, the ledger is queried",
     false,
     {{NoTarget{}, "claim 0"},
      {known(schema::RAN, "yes"), "answer RAN with yes, finished"}}},
    {"no backend server, key not run",
     false,
     {{NoTarget{}, "claim 0"},
      {verdict(schema::ClaimReply::STALE_ATTEMPT),
       "answer NOT_RUN, finished"}}},
    {"refused with proof, next attempt at another server", false,
     Sent + Steps{{CallRefused{5, true}, "settle 5 NOT_RUN"},
                  {SettleReplied{5, schema::NOT_RUN, ""}, "choose not desk-1"},
                  {Second, "claim 2"},
                  {granted(2, 9), "dispatch 9"},
                  {CallLost{5, false}, ""},
                  {AnswerArrived{9, "yes"}, "settle 9 RAN"}}},
    {"refused by all", false,
     Sent + Steps{{CallRefused{5, true}, "settle 5 NOT_RUN"},
                  {SettleReplied{5, schema::NOT_RUN, ""}, "choose not desk-1"},
                  {NoTarget{}, "answer NOT_RUN, finished"}}},
    {"the outcome not run can't be committed", false,
     Sent + Steps{{CallRefused{5, true}, "settle 5 NOT_RUN"},
                  {SettleFailed{5}, "answer NOT_RUN, finished"}}},
    {"another settlement came first", false,
     Sent + Steps{{CallRefused{5, true}, "settle 5 NOT_RUN"},
                  {SettleReplied{5, schema::UNKNOWN, ""},
                   "answer UNKNOWN, finished"}}},
    {"refused without proof", false,
     Sent + Steps{{CallRefused{5, false}, "revoke 5"}}},
    {"lost before sending", false,
     Sent + Steps{{CallLost{5, true}, "settle 5 NOT_RUN"}}},
    {"lost and revoked", false,
     Asked + Steps{{revokeReply(RevokeState::Revoked), "settle 5 NOT_RUN"}}},
    {"lost and finished", false,
     Asked +
         Steps{{revokeReply(RevokeState::Finished, "yes"), "settle 5 RAN"}}},
    {"lost and unknown", false,
     Asked + Steps{{revokeReply(RevokeState::UnknownHere), "settle 5 UNKNOWN"},
                   {SettleReplied{5, schema::UNKNOWN, ""},
                    "answer UNKNOWN, finished"},
                   {AnswerArrived{5, "late"}, "settle 5 RAN"}}},
    {"lost and running", false,
     Asked + Steps{{revokeReply(RevokeState::Running), ""},
                   {TimerExpired{}, "revoke 5", 200ms}}},
    {"reply about an earlier claim", false,
     Asked + Steps{{revokeReply(RevokeState::Revoked, "", 4), ""},
                   {RevokeFailed{4}, ""}}},
    {"agent unreachable: the caller is answered, revocations continue", false,
     Asked + Steps{{RevokeFailed{5}, ""},
                   {TimerExpired{}, "revoke 5", 200ms},
                   {RevokeFailed{5}, "answer UNKNOWN", 1800ms},
                   {TimerExpired{}, "revoke 5", 200ms},
                   {RevokeFailed{5}, "finished", 6s}}},
    {"agent unreachable and replaced", false,
     Asked + Steps{{AgentReplaced{}, ""},
                   {RevokeFailed{5}, ""},
                   {AgentReplaced{}, "settle 5 UNKNOWN"}}},
    {"deadline passes after sending", false,
     Sent + Steps{{TimerExpired{}, "answer UNKNOWN, revoke 5", Deadline},
                  {revokeReply(RevokeState::Revoked), "settle 5 NOT_RUN"},
                  {SettleReplied{5, schema::NOT_RUN, ""}, "finished"}}},
};

void run(const Row &TestRow) {
  INFO(TestRow.m_Name);
  TimePoint Now = Begin;
  SettlementEffects Effects;
  Settlement State =
      startSettlement(request(TestRow.m_IsGeneratedKey), {}, Now, Effects);
  CHECK(format(Effects) == "choose");
  for (const Step &Next : TestRow.m_Steps) {
    Now += Next.m_After;
    INFO("expects: " << Next.m_Effects);
    CHECK(format(step(State, Next.m_Event, Now)) == Next.m_Effects);
  }
}

} // namespace

TEST_CASE("settlement: events and effects") {
  for (const Row &TestRow : Rows)
    run(TestRow);
}

TEST_CASE(
    "the settler revokes, waits for a running call, and finally settles as "
    "unknown") {
  const OpenClaim Open{"Orchard", "slot-7", "desk-1", 3,    "entry-1",
                       "a",       1,        5,        1000, 500};
  Settler State;
  TimePoint Now = Begin;
  const auto Started = startSettlements(State, {Open}, Now);
  REQUIRE(Started.size() == 1);
  CHECK(format(Started[0].m_Effects) == "revoke 5");
  CHECK(startSettlements(State, {Open}, Now).empty());
  const auto Feed = [&](const SettlementEvent &Event, Duration After) {
    Now += After;
    return format(step(State, 5, Event, Now));
  };
  CHECK(Feed(revokeReply(RevokeState::Running), 0s) == "");
  CHECK(Feed(TimerExpired{}, 10min) == "revoke 5");
  CHECK(Feed(RevokeFailed{5}, 0s) == "");
  CHECK(Feed(RevokeFailed{5}, 29s) == "");
  CHECK(Feed(RevokeFailed{5}, 1s) == "settle 5 UNKNOWN");
  CHECK(Feed(SettleFailed{5}, 0s) == "finished");
  CHECK(State.m_Active.empty());
  CHECK(startSettlements(State, {Open}, Now).size() == 1);
  stopSettling(State);
  CHECK(Feed(TimerExpired{}, 0s) == "");
}
