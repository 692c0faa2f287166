// Rules of the agent's guard as tables.
#include "State/AgentGuard.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace mangocart;

namespace {

using Setup = std::function<void(AgentGuard &)>;

// Granted at 1000 under claim number 5, deadline 500 later.
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

// Another key's grant proves that the replicated time has come to TimeMs.
Setup then(const Setup &First, std::uint64_t TimeMs) {
  return [=](AgentGuard &Guard) {
    First(Guard);
    revoke(Guard, otherKey(TimeMs));
  };
}

const Setup Fresh = [](AgentGuard &) {};
const Setup LeavingGuard = [](AgentGuard &Guard) { startLeaving(Guard); };
const Setup Raised = [](AgentGuard &Guard) { raiseIncarnation(Guard, 4); };
const Setup Lowered = [](AgentGuard &Guard) { raiseIncarnation(Guard, 2); };
const Setup Busy = [](AgentGuard &Guard) {
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
      {"broken, newer claim", finished(FinishKind::Broken), ticket(6),
       Verdict::KeyStarted},
      {"never sent, same claim", finished(FinishKind::NeverSent), ticket(),
       Verdict::KeyRevoked},
      {"never sent, newer claim", finished(FinishKind::NeverSent), ticket(6),
       Verdict::Start},
      {"revoked", revoked, ticket(), Verdict::KeyRevoked},
      {"revoked, older claim", revoked, ticket(4), Verdict::KeyRevoked},
      {"revoked, newer claim", revoked, ticket(6), Verdict::Start},
      {"before its deadline", then(Fresh, 1499), ticket(), Verdict::Start},
      {"past its deadline", then(Fresh, 1500), ticket(),
       Verdict::DeadlinePassed},
      {"revoked, past its deadline", then(revoked, 1500), ticket(),
       Verdict::KeyRevoked},
      {"revoked and forgotten", then(revoked, 11'500), ticket(),
       Verdict::DeadlinePassed},
      {"running and long past", then(started, 900'000), ticket(),
       Verdict::KeyStarted},
      {"leaving", LeavingGuard, ticket(), Verdict::Leaving},
      {"calls at the limit", Busy, ticket(), Verdict::Overloaded},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    AgentGuard Guard = newGuard();
    Each.m_Before(Guard);
    const std::size_t Outstanding = Guard.m_Outstanding;
    CHECK(begin(Guard, Each.m_Ticket) == Each.m_Verdict);
    CHECK(Guard.m_Outstanding ==
          Outstanding + (Each.m_Verdict == Verdict::Start ? 1 : 0));
    CHECK(provesNotRun(Each.m_Verdict) ==
          (Each.m_Verdict != Verdict::Start &&
           Each.m_Verdict != Verdict::KeyStarted));
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
  // A second answer takes the room of the first.
  const Setup Crowded = [](AgentGuard &Guard) {
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
      {"answer made room", Crowded, ticket(), {State::Finished, ""}},
      {"broken",
       finished(FinishKind::Broken),
       ticket(),
       {State::UnknownHere, ""}},
      {"never sent",
       finished(FinishKind::NeverSent),
       ticket(),
       {State::Revoked, ""}},
      {"finished, in the window",
       then(finished(FinishKind::Answered, "y"), 11'499),
       ticket(),
       {State::Finished, "y"}},
      {"finished, forgotten",
       then(finished(FinishKind::Answered, "y"), 11'500),
       ticket(),
       {State::UnknownHere, ""}},
      {"never seen, too late to say",
       then(Fresh, 11'500),
       ticket(),
       {State::UnknownHere, ""}},
      {"no room", Full, ticket(), {State::UnknownHere, ""}},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    AgentGuard Guard = newGuard();
    Each.m_Before(Guard);
    CHECK(revoke(Guard, Each.m_Ticket) == Each.m_Result);
    if (Each.m_Result.m_State == State::Revoked)
      CHECK(begin(Guard, Each.m_Ticket) != BeginVerdict::Start);
  }
}

TEST_CASE("the end of a call is counted once, and memory is given back") {
  AgentGuard Guard = newGuard();
  started(Guard);
  finish(Guard, ticket(), FinishKind::Answered, "yes");
  finish(Guard, ticket(), FinishKind::Answered, "again");
  CHECK(Guard.m_Outstanding == 0);
  CHECK(Guard.m_AnswerBytes == 3);
  revoke(Guard, otherKey(900'000));
  CHECK(Guard.m_Keys.size() == 1);
  CHECK(Guard.m_AnswerBytes == 0);
  CHECK(Guard.m_Answered.empty());
  CHECK(Guard.m_Expiry.size() == 1);
}

TEST_CASE("orders and their fencing numbers") {
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
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Learnt, Each.m_Earlier, Each.m_Number);
    AgentGuard Guard = newGuard();
    if (Each.m_Learnt > 0)
      learnFence(Guard, "group-a", Each.m_Learnt);
    learnFence(Guard, "group-b", 100);
    if (Each.m_Earlier > 0)
      checkOrder(Guard, "group-a", Each.m_Earlier);
    CHECK(checkOrder(Guard, "group-a", Each.m_Number) == Each.m_Verdict);
  }
}
