// The deployment state as a whole, its snapshot, and the memory per record.
#include "State/DeploymentStateMachine.h"

#include <catch2/catch.hpp>
#include <malloc.h>

#include <chrono>
#include <iostream>

using namespace mangocart;

namespace {

schema::Command fence(std::uint64_t TimeMs) {
  schema::Command Command;
  Command.set_leader_time_ms(TimeMs);
  Command.set_fence_for("group-a");
  return Command;
}

schema::Command claimOf(std::uint64_t Key, std::uint64_t TimeMs) {
  schema::Command Command;
  Command.set_leader_time_ms(TimeMs);
  schema::Claim &Claim = *Command.mutable_claim();
  Claim.set_customer("customer-" + std::to_string(Key % 15'000));
  Claim.set_idempotency_key("booking-" + std::to_string(Key));
  Claim.set_digest(Key);
  Claim.set_attempt(1);
  Claim.set_backend_server("desk-1");
  Claim.set_entry("entry-1");
  Claim.set_request_id("request-" + std::to_string(Key));
  Claim.set_deadline_ms(30'000);
  return Command;
}

schema::Command settleOf(std::uint64_t Key, std::uint64_t Number,
                         std::uint64_t TimeMs, std::size_t AnswerBytes) {
  schema::Command Command;
  Command.set_leader_time_ms(TimeMs);
  schema::Settle &Settle = *Command.mutable_settle();
  Settle.set_customer("customer-" + std::to_string(Key % 15'000));
  Settle.set_idempotency_key("booking-" + std::to_string(Key));
  Settle.set_attempt(1);
  Settle.set_claim_number(Number);
  Settle.set_outcome(schema::RAN);
  if (AnswerBytes > 0)
    Settle.mutable_answer()->set_body(std::string(AnswerBytes, 'x'));
  return Command;
}

schema::ActivateExpertMap activation(std::uint64_t Version,
                                     std::uint64_t Replaces,
                                     const std::string &Map = "m") {
  schema::ActivateExpertMap Command;
  Command.set_group("group-a");
  Command.set_map_version(Version);
  Command.set_replaces(Replaces);
  Command.set_from_step(100);
  Command.set_map(Map);
  return Command;
}

} // namespace

TEST_CASE("fencing numbers and the replicated time never decrease") {
  DeploymentState State;
  CHECK(apply(State, 7, fence(5000)).fencing_number() == 7);
  CHECK(apply(State, 9, fence(4000)).fencing_number() == 9);
  CHECK(State.m_LastFencingNumber == 9);
  CHECK(State.m_TimeMs == 5000);
  CHECK(apply(State, 10, schema::Command()).kind_case() ==
        schema::CommandReply::KIND_NOT_SET);
}

TEST_CASE("the current fencing number is kept by name and read by a command") {
  const auto Issue = [](const char *Name) {
    schema::Command Command;
    Command.set_fence_for(Name);
    return Command;
  };
  DeploymentState State;
  const auto Read = [&](const char *Name) {
    schema::Command Command;
    Command.set_fence_in_force(Name);
    const schema::CommandReply Reply = apply(State, 100, Command);
    CHECK(Reply.has_fencing_number());
    return Reply.fencing_number();
  };
  CHECK(Read("engine-1") == 0);
  apply(State, 7, Issue("engine-1"));
  apply(State, 9, Issue("engine-2"));
  CHECK(Read("engine-1") == 7);
  CHECK(Read("engine-2") == 9);
  CHECK(State.m_LastFencingNumber == 9);
  State = restore(snapshot(State)).value();
  CHECK(Read("engine-1") == 7);
  apply(State, 12, Issue("engine-1"));
  CHECK(Read("engine-1") == 12);
}

TEST_CASE("the leader's clock continues from the replicated time") {
  using std::chrono::seconds;
  const TimePoint Start(seconds(100));
  const LeaderClock First = startLeaderClock(0, 1'000'000, Start);
  CHECK(leaderTimeMs(First, Start + seconds(2)) == 1'002'000);
  const LeaderClock Next = startLeaderClock(1'002'000, 9'000'000, Start);
  CHECK(leaderTimeMs(Next, Start + seconds(1)) == 1'003'000);
  CHECK(leaderTimeMs(Next, Start - seconds(1)) == 1'002'000);
}

TEST_CASE("an expert map is activated only against the one that it replaces") {
  struct Row {
    const char *m_Name;
    schema::ActivateExpertMap m_Command;
    bool m_IsActivated;
    std::uint64_t m_Version;
  };
  const Row Rows[] = {
      {"first", activation(1, 0), true, 1},
      {"repeated", activation(1, 0), true, 1},
      {"same version, other map", activation(1, 0, "n"), false, 1},
      {"replaces another", activation(3, 2), false, 1},
      {"not higher", activation(1, 1, "n"), false, 1},
      {"next", activation(2, 1), true, 2},
      {"older one repeated", activation(1, 0), false, 2},
  };
  ExpertMapRegister Register;
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    const schema::ActivateReply Reply = activate(Register, TestRow.m_Command);
    CHECK(Reply.activated() == TestRow.m_IsActivated);
    CHECK(Reply.map_version() == TestRow.m_Version);
    schema::StateSnapshot Snapshot;
    saveExpertMaps(Register, Snapshot);
    Register = restoreExpertMaps(Snapshot);
  }
}

TEST_CASE("a state machine restored from a snapshot behaves identically") {
  DeploymentStateMachine First;
  std::uint64_t Reported = 0;
  schema::Command Accept;
  Accept.mutable_accept()->set_operation_id("a");
  Accept.mutable_accept()->mutable_configuration()->set_outcome_retention_s(60);
  First.apply(1, Accept.SerializeAsString());
  First.apply(2, claimOf(1, 1000).SerializeAsString());
  First.apply(3, claimOf(2, 1000).SerializeAsString());
  First.apply(4, settleOf(1, 2, 2000, 10).SerializeAsString());
  DeploymentStateMachine Second;
  Second.onConfiguration(
      [&](const schema::Configuration &New) { Reported = New.version(); });
  Second.restore(First.snapshot());
  CHECK(Reported == 1);
  CHECK(Second.claimsInProgress() == 1);
  CHECK(Second.ledgerBytes() == First.ledgerBytes());
  const std::string Commands[] = {
      claimOf(1, 3000).SerializeAsString(), "not a command",
      settleOf(2, 3, 3000, 5).SerializeAsString(),
      claimOf(1, 900'000).SerializeAsString(), Accept.SerializeAsString()};
  std::uint64_t Index = 4;
  for (const std::string &Command : Commands) {
    ++Index;
    CHECK(First.apply(Index, Command) == Second.apply(Index, Command));
  }
  CHECK(First.snapshot() == Second.snapshot());
  CHECK_THROWS_AS(Second.restore("not a snapshot"), std::invalid_argument);
  CHECK(First.snapshot() == Second.snapshot());
  Second.restore("");
  CHECK(Second.ledgerRecords() == 0);
}

TEST_CASE("memory and time per ledger record", "[.bench]") {
  using Clock = std::chrono::steady_clock;
  for (const std::size_t AnswerBytes : {std::size_t{0}, std::size_t{300}})
    for (const std::uint64_t Records : {10'000, 100'000, 1'000'000}) {
      malloc_trim(0);
      const std::size_t Before = mallinfo2().uordblks;
      DeploymentState State;
      State.m_Ledger.m_Limits.m_MaxBytes = SIZE_MAX / 2;
      const auto Start = Clock::now();
      for (std::uint64_t I = 1; I <= Records; ++I) {
        apply(State, 2 * I, claimOf(I, I));
        apply(State, 2 * I + 1, settleOf(I, 2 * I, I, AnswerBytes));
      }
      const std::chrono::duration<double> ApplyTime = Clock::now() - Start;
      const std::size_t Used = mallinfo2().uordblks - Before;
      const auto SnapshotStart = Clock::now();
      const std::string Bytes = snapshot(State);
      const std::chrono::duration<double> SaveTime =
          Clock::now() - SnapshotStart;
      const auto RestoreStart = Clock::now();
      const bool IsRestored = restore(Bytes).has_value();
      const std::chrono::duration<double> RestoreTime =
          Clock::now() - RestoreStart;
      REQUIRE(IsRestored);
      std::cout << "answer " << AnswerBytes << " B, " << Records
                << " records: " << Used / Records << " B a record in memory, "
                << Bytes.size() / Records << " B in the snapshot ("
                << SaveTime.count() << " s to make it, " << RestoreTime.count()
                << " s to read it), "
                << static_cast<std::uint64_t>(
                       2.0 * static_cast<double>(Records) / ApplyTime.count())
                << " commands applied a second, counted "
                << State.m_Ledger.m_Bytes / Records << " B\n";
    }
}
