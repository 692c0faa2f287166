// Table tests of the agent's guard.
#include "State/AgentGuard.h"

#include <catch2/catch.hpp>
#include <malloc.h>

#include <functional>
#include <iostream>

using namespace mangocart;

namespace {

using Setup = std::function<void(AgentGuard &)>;

// By default granted at 1000 ms as claim 5, with a deadline 500 ms later.
ClaimTicket ticket(std::uint64_t ClaimNumber = 5,
                   std::uint64_t ClaimedMs = 1000) {
  return {"Orchard", "slot-7", 1, 3, ClaimNumber, ClaimedMs, 500};
}

ClaimTicket otherKey(std::uint64_t ClaimedMs) {
  ClaimTicket Other = ticket(50, ClaimedMs);
  Other.m_IdempotencyKey = "slot-8";
  return Other;
}

AgentGuard newGuard() {
  GuardLimits Limits;
  Limits.m_MaxKeys = 2;
  Limits.m_MaxOutstanding = 2;
  Limits.m_MaxAnswerBytes = 10;
  Limits.m_SettlementWindowMs = 10'000;
  return startGuard(3, Limits);
}

void started(AgentGuard &Guard) { begin(Guard, ticket()); }
void revoked(AgentGuard &Guard) { revoke(Guard, ticket()); }

Setup finished(FinishKind Kind, const std::string &Answer = {}) {
  return [=](AgentGuard &Guard) {
    started(Guard);
    finish(Guard, ticket(), Kind, Answer);
  };
}

// The grant of another key advances the replicated time to TimeMs.
Setup atTime(const Setup &First, std::uint64_t TimeMs) {
  return [=](AgentGuard &Guard) {
    First(Guard);
    revoke(Guard, otherKey(TimeMs));
  };
}

const Setup Fresh = [](AgentGuard &) {};
const Setup LeavingGuard = [](AgentGuard &Guard) { startLeaving(Guard); };
const Setup Raised = [](AgentGuard &Guard) { raiseIncarnation(Guard, 4); };
const Setup Lowered = [](AgentGuard &Guard) { raiseIncarnation(Guard, 2); };
const Setup AtMaxCalls = [](AgentGuard &Guard) {
  beginIdempotent(Guard);
  beginIdempotent(Guard);
};

} // namespace

TEST_CASE("calls in each state of the guard") {
  using Verdict = BeginVerdict;
  struct Row {
    const char *m_Name;
    Setup m_Before;
    ClaimTicket m_Ticket;
    Verdict m_Verdict;
  };
  const Row Rows[] = {
      {"fresh", Fresh, ticket(), Verdict::Start},
      {"old incarnation", Raised, ticket(), Verdict::WrongIncarnation},
      {"incarnation isn't lowered", Lowered, ticket(), Verdict::Start},
      {"running", started, ticket(), Verdict::KeyStarted},
      {"running, newer claim", started, ticket(6), Verdict::KeyStarted},
      {"finished", finished(FinishKind::Answered, "yes"), ticket(),
       Verdict::KeyStarted},
      {"answer lost, newer claim", finished(FinishKind::AnswerLost), ticket(6),
       Verdict::KeyStarted},
      {"never sent, same claim", finished(FinishKind::NeverSent), ticket(),
       Verdict::KeyRevoked},
      {"never sent, newer claim", finished(FinishKind::NeverSent), ticket(6),
       Verdict::Start},
      {"revoked", revoked, ticket(), Verdict::KeyRevoked},
      {"revoked, older claim", revoked, ticket(4), Verdict::KeyRevoked},
      {"revoked, newer claim", revoked, ticket(6), Verdict::Start},
      {"before its deadline", atTime(Fresh, 1499), ticket(), Verdict::Start},
      {"past its deadline", atTime(Fresh, 1500), ticket(),
       Verdict::DeadlinePassed},
      {"revoked, past its deadline", atTime(revoked, 1500), ticket(),
       Verdict::KeyRevoked},
      {"revoked and expired", atTime(revoked, 11'500), ticket(),
       Verdict::DeadlinePassed},
      {"running, long past its deadline", atTime(started, 900'000), ticket(),
       Verdict::KeyStarted},
      {"leaving", LeavingGuard, ticket(), Verdict::Leaving},
      {"maximum number of calls", AtMaxCalls, ticket(), Verdict::Overloaded},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    AgentGuard Guard = newGuard();
    TestRow.m_Before(Guard);
    const std::size_t Outstanding = Guard.m_Outstanding;
    CHECK(begin(Guard, TestRow.m_Ticket) == TestRow.m_Verdict);
    CHECK(Guard.m_Outstanding ==
          Outstanding + (TestRow.m_Verdict == Verdict::Start ? 1 : 0));
    CHECK(provesNotRun(TestRow.m_Verdict) ==
          (TestRow.m_Verdict != Verdict::Start &&
           TestRow.m_Verdict != Verdict::KeyStarted));
  }
}

TEST_CASE("revocations in each state of the guard") {
  ClaimTicket Earlier = ticket();
  Earlier.m_AgentIncarnation = 2;
  const Setup Full = [](AgentGuard &Guard) {
    for (int I = 0; I < 4; ++I) {
      ClaimTicket Other = ticket();
      Other.m_IdempotencyKey = std::to_string(I);
      revoke(Guard, Other);
    }
  };
  // Storing a second answer evicts the first.
  const Setup Evicting = [](AgentGuard &Guard) {
    finished(FinishKind::Answered, "123456")(Guard);
    begin(Guard, otherKey(1000));
    finish(Guard, otherKey(1000), FinishKind::Answered, "123456");
  };
  struct Row {
    const char *m_Name;
    Setup m_Before;
    ClaimTicket m_Ticket;
    RevokeResult m_Result;
  };
  using State = RevokeState;
  const Row Rows[] = {
      {"fresh", Fresh, ticket(), {State::Revoked, ""}},
      {"repeated", revoked, ticket(), {State::Revoked, ""}},
      {"earlier process", Fresh, Earlier, {State::UnknownHere, ""}},
      {"raised incarnation, same process",
       Raised,
       ticket(),
       {State::Revoked, ""}},
      {"running", started, ticket(), {State::Running, ""}},
      {"finished",
       finished(FinishKind::Answered, "yes"),
       ticket(),
       {State::Finished, "yes"}},
      {"answer too large",
       finished(FinishKind::Answered, "12345678901"),
       ticket(),
       {State::Finished, ""}},
      {"answer evicted", Evicting, ticket(), {State::Finished, ""}},
      {"answer lost",
       finished(FinishKind::AnswerLost),
       ticket(),
       {State::UnknownHere, ""}},
      {"never sent",
       finished(FinishKind::NeverSent),
       ticket(),
       {State::Revoked, ""}},
      {"finished, within the settlement window",
       atTime(finished(FinishKind::Answered, "y"), 11'499),
       ticket(),
       {State::Finished, "y"}},
      {"finished, expired",
       atTime(finished(FinishKind::Answered, "y"), 11'500),
       ticket(),
       {State::UnknownHere, ""}},
      {"never seen, past the settlement window",
       atTime(Fresh, 11'500),
       ticket(),
       {State::UnknownHere, ""}},
      {"no capacity", Full, ticket(), {State::UnknownHere, ""}},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    AgentGuard Guard = newGuard();
    TestRow.m_Before(Guard);
    CHECK(revoke(Guard, TestRow.m_Ticket) == TestRow.m_Result);
    if (TestRow.m_Result.m_State == State::Revoked)
      CHECK(begin(Guard, TestRow.m_Ticket) != BeginVerdict::Start);
  }
}

TEST_CASE("a call is finished once, and its memory is released") {
  AgentGuard Guard = newGuard();
  started(Guard);
  finish(Guard, ticket(), FinishKind::Answered, "yes");
  finish(Guard, ticket(), FinishKind::Answered, "again");
  CHECK(Guard.m_Outstanding == 0);
  CHECK(Guard.m_AnswerBytes == 3);
  revoke(Guard, otherKey(900'000));
  CHECK(Guard.m_Keys.size() == 1);
  CHECK(Guard.m_AnswerBytes == 0);
  CHECK(Guard.m_AnswerOrder.empty());
  CHECK(Guard.m_Expiry.size() == 1);
}

TEST_CASE("orders are checked by fencing number") {
  struct Row {
    std::uint64_t m_Learnt;
    std::uint64_t m_Earlier;
    std::uint64_t m_Number;
    OrderVerdict m_Verdict;
  };
  const Row Rows[] = {
      {0, 0, 9, OrderVerdict::NotLearnt},   {9, 0, 8, OrderVerdict::OldNumber},
      {9, 0, 9, OrderVerdict::CarryOut},    {9, 0, 10, OrderVerdict::CarryOut},
      {9, 12, 10, OrderVerdict::OldNumber}, {9, 12, 12, OrderVerdict::CarryOut},
  };
  for (const Row &TestRow : Rows) {
    CAPTURE(TestRow.m_Learnt, TestRow.m_Earlier, TestRow.m_Number);
    AgentGuard Guard = newGuard();
    if (TestRow.m_Learnt > 0)
      learnFence(Guard, "group-a", TestRow.m_Learnt);
    learnFence(Guard, "group-b", 100);
    if (TestRow.m_Earlier > 0)
      checkOrder(Guard, "group-a", TestRow.m_Earlier);
    CHECK(checkOrder(Guard, "group-a", TestRow.m_Number) == TestRow.m_Verdict);
  }
}

TEST_CASE("memory per key at the agent", "[.bench]") {
  for (const std::size_t Keys : {1'000, 10'000, 50'000}) {
    malloc_trim(0);
    const std::size_t Before = mallinfo2().uordblks;
    AgentGuard Guard = startGuard(3, {});
    for (std::size_t I = 0; I < Keys; ++I) {
      ClaimTicket Ticket = ticket(I + 1);
      Ticket.m_IdempotencyKey = "booking-" + std::to_string(I);
      begin(Guard, Ticket);
      finish(Guard, Ticket, FinishKind::Answered, std::string(300, 'x'));
    }
    std::cout << Keys << " keys with 300 B answers: "
              << (mallinfo2().uordblks - Before) / Keys << " B a key\n";
  }
}
