// Table tests of the ledger: the effect of a command on a record in each state.
#include "State/Ledger.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace mangocart;

namespace {

constexpr std::uint64_t Now = 10'000;
constexpr std::uint64_t Digest = 7;

schema::Claim makeClaim(std::uint32_t Attempt, const std::string &RequestId) {
  schema::Claim Command;
  Command.set_customer("Orchard");
  Command.set_idempotency_key("slot-7");
  Command.set_digest(Digest);
  Command.set_attempt(Attempt);
  Command.set_backend_server("desk-1");
  Command.set_entry("entry-1");
  Command.set_deadline_ms(500);
  Command.set_request_id(RequestId);
  return Command;
}

schema::Settle makeSettle(schema::Outcome Outcome, std::uint32_t Attempt,
                          std::uint64_t ClaimNumber, const std::string &Body) {
  schema::Settle Command;
  Command.set_customer("Orchard");
  Command.set_idempotency_key("slot-7");
  Command.set_attempt(Attempt);
  Command.set_claim_number(ClaimNumber);
  Command.set_outcome(Outcome);
  if (!Body.empty())
    Command.mutable_answer()->set_body(Body);
  return Command;
}

using Setup = std::function<void(Ledger &)>;

void claimFirst(Ledger &State) { claim(State, makeClaim(1, "a"), 5, Now); }

Setup settled(schema::Outcome Outcome, const std::string &Body = {}) {
  return [=](Ledger &State) {
    claimFirst(State);
    settle(State, makeSettle(Outcome, 1, 5, Body), Now);
  };
}

const Setup Empty = [](Ledger &) {};

} // namespace

TEST_CASE("claims in each state of the ledger") {
  schema::Claim OtherDigest = makeClaim(1, "b");
  OtherDigest.set_digest(Digest + 1);
  schema::Claim OtherCustomer = makeClaim(1, "b");
  OtherCustomer.set_customer("Day centre");
  schema::Claim OtherTarget = makeClaim(1, "a");
  OtherTarget.set_backend_server("desk-2");
  const Setup Full = [](Ledger &State) { State.m_Limits.m_MaxRecords = 0; };
  const Setup OutOfBytes = [](Ledger &State) {
    State.m_Limits.m_MaxBytes = 99;
  };
  struct Row {
    const char *m_Name;
    Setup m_Before;
    schema::Claim m_Claim;
    schema::ClaimReply::Verdict m_Verdict;
    std::uint32_t m_Attempt;
    std::uint64_t m_ClaimNumber;
    std::size_t m_Records;
  };
  using Reply = schema::ClaimReply;
  const Row Rows[] = {
      {"new key", Empty, makeClaim(1, "b"), Reply::GRANTED, 1, 9, 1},
      {"new key, later attempt", Empty, makeClaim(2, "b"), Reply::STALE_ATTEMPT,
       1, 0, 0},
      {"new key, query only", Empty, makeClaim(0, "b"), Reply::STALE_ATTEMPT, 1,
       0, 0},
      {"maximum number of records", Full, makeClaim(1, "b"), Reply::LEDGER_FULL,
       0, 0, 0},
      {"maximum size", OutOfBytes, makeClaim(1, "b"), Reply::LEDGER_FULL, 0, 0,
       0},
      {"in progress", claimFirst, makeClaim(1, "b"), Reply::IN_PROGRESS, 1, 0,
       1},
      {"in progress, next attempt", claimFirst, makeClaim(2, "a"),
       Reply::IN_PROGRESS, 1, 0, 1},
      {"in progress, repeated claim", claimFirst, makeClaim(1, "a"),
       Reply::GRANTED, 1, 5, 1},
      {"in progress, same request id, other target", claimFirst, OtherTarget,
       Reply::IN_PROGRESS, 1, 0, 1},
      {"in progress, other content", claimFirst, OtherDigest,
       Reply::DIGEST_DIFFERS, 0, 0, 1},
      {"other customer's key", claimFirst, OtherCustomer, Reply::GRANTED, 1, 9,
       2},
      {"ran", settled(schema::RAN, "yes"), makeClaim(1, "b"), Reply::KNOWN, 1,
       0, 1},
      {"ran, next attempt", settled(schema::RAN), makeClaim(2, "b"),
       Reply::KNOWN, 1, 0, 1},
      {"ran, other content", settled(schema::RAN), OtherDigest,
       Reply::DIGEST_DIFFERS, 0, 0, 1},
      {"unknown is final", settled(schema::UNKNOWN), makeClaim(2, "b"),
       Reply::KNOWN, 1, 0, 1},
      {"not run, same attempt", settled(schema::NOT_RUN), makeClaim(1, "b"),
       Reply::STALE_ATTEMPT, 2, 0, 1},
      {"not run, next attempt", settled(schema::NOT_RUN), makeClaim(2, "b"),
       Reply::GRANTED, 2, 9, 1},
      {"not run, attempt skipped", settled(schema::NOT_RUN), makeClaim(3, "b"),
       Reply::STALE_ATTEMPT, 2, 0, 1},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    Ledger State;
    TestRow.m_Before(State);
    const schema::ClaimReply Got = claim(State, TestRow.m_Claim, 9, Now);
    CHECK(Got.verdict() == TestRow.m_Verdict);
    CHECK(Got.attempt() == TestRow.m_Attempt);
    CHECK(Got.claim_number() == TestRow.m_ClaimNumber);
    CHECK(State.m_Table.size() == TestRow.m_Records);
    if (Got.verdict() == Reply::KNOWN)
      CHECK(Got.outcome() != schema::OUTCOME_UNSPECIFIED);
  }
}

TEST_CASE("settlements in each state of the ledger") {
  struct Row {
    const char *m_Name;
    Setup m_Before;
    schema::Settle m_Settle;
    schema::Outcome m_Outcome;
    std::string m_Body;
  };
  const Row Rows[] = {
      {"no record", Empty, makeSettle(schema::RAN, 1, 5, "yes"),
       schema::OUTCOME_UNSPECIFIED, ""},
      {"in progress", claimFirst, makeSettle(schema::RAN, 1, 5, "yes"),
       schema::RAN, "yes"},
      {"another claim's", claimFirst, makeSettle(schema::NOT_RUN, 1, 4, ""),
       schema::OUTCOME_UNSPECIFIED, ""},
      {"another attempt's", claimFirst, makeSettle(schema::NOT_RUN, 2, 5, ""),
       schema::OUTCOME_UNSPECIFIED, ""},
      {"without outcome", claimFirst,
       makeSettle(schema::OUTCOME_UNSPECIFIED, 1, 5, ""),
       schema::OUTCOME_UNSPECIFIED, ""},
      {"repeated", settled(schema::RAN, "yes"),
       makeSettle(schema::RAN, 1, 5, "other"), schema::RAN, "yes"},
      {"ran is final", settled(schema::RAN, "yes"),
       makeSettle(schema::UNKNOWN, 1, 5, ""), schema::RAN, "yes"},
      {"not run is final", settled(schema::NOT_RUN),
       makeSettle(schema::RAN, 1, 5, "late"), schema::NOT_RUN, ""},
      {"unknown, late answer", settled(schema::UNKNOWN),
       makeSettle(schema::RAN, 1, 5, "late"), schema::RAN, "late"},
      {"unknown, late settlement as not run", settled(schema::UNKNOWN),
       makeSettle(schema::NOT_RUN, 1, 5, ""), schema::UNKNOWN, ""},
      {"answer too large", claimFirst,
       makeSettle(schema::RAN, 1, 5, std::string(9000, 'x')), schema::RAN, ""},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    Ledger State;
    TestRow.m_Before(State);
    const schema::SettleReply Got = settle(State, TestRow.m_Settle, Now);
    CHECK(Got.outcome() == TestRow.m_Outcome);
    CHECK(Got.answer().body() == TestRow.m_Body);
    const bool IsInProgress = State.m_Table.size() == 1 &&
                              TestRow.m_Outcome == schema::OUTCOME_UNSPECIFIED;
    CHECK(State.m_Open.size() == (IsInProgress ? 1 : 0));
  }
}

TEST_CASE(
    "settled records expire, oldest first; records in progress never do") {
  Ledger State;
  const auto ClaimKey = [&](const std::string &Key, std::uint64_t Index,
                            std::uint64_t At) {
    schema::Claim Command = makeClaim(1, Key);
    Command.set_idempotency_key(Key);
    claim(State, Command, Index, At);
  };
  const auto SettleKey = [&](const std::string &Key, std::uint64_t Index,
                             std::uint64_t At) {
    schema::Settle Command = makeSettle(schema::RAN, 1, Index, "yes");
    Command.set_idempotency_key(Key);
    settle(State, Command, At);
  };
  ClaimKey("open", 1, 0);
  ClaimKey("late", 2, 0);
  ClaimKey("early", 3, 0);
  SettleKey("early", 3, 2000);
  SettleKey("late", 2, 4000);
  struct Row {
    std::uint64_t m_TimeMs;
    std::size_t m_Remaining;
  };
  const Row Rows[] = {
      {61'999, 3}, {62'000, 2}, {63'999, 2}, {64'000, 1}, {900'000, 1}};
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_TimeMs);
    expire(State, TestRow.m_TimeMs, 60'000);
    CHECK(State.m_Table.size() == TestRow.m_Remaining);
  }
  CHECK(overdueClaims(State, 1500, 1000, 10).empty());
  REQUIRE(overdueClaims(State, 1501, 1000, 10).size() == 1);
  SettleKey("open", 1, 5000);
  expire(State, 900'000, 60'000);
  CHECK(State.m_Table.size() == 0);
  CHECK(State.m_Bytes == 0);
}
