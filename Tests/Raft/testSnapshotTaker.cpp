// Snapshots that are taken on a background thread.
#include "Raft/RunnerCluster.h"
#include "Raft/SnapshotTaker.h"
#include "State/DeploymentStateMachine.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t KeyCount = 40;
constexpr std::uint64_t SeedCount = 40;
constexpr LogIndex CommandCount = 600;
constexpr std::uint64_t RetentionSeconds = 2;

schema::Claim randomClaim(Random &Generator, LogIndex Index) {
  schema::Claim Claim;
  Claim.set_customer("c" + std::to_string(uniform(Generator, 0, 5)));
  Claim.set_idempotency_key("k" +
                            std::to_string(uniform(Generator, 1, KeyCount)));
  Claim.set_attempt(static_cast<std::uint32_t>(uniform(Generator, 1, 3)));
  Claim.set_backend_server("desk");
  Claim.set_request_id(std::to_string(Index));
  Claim.set_deadline_ms(100);
  return Claim;
}

// A settlement of a random earlier claim, which may be unknown to the ledger.
schema::Settle randomSettle(Random &Generator,
                            const std::vector<schema::Claim> &Claims,
                            const std::vector<LogIndex> &Numbers) {
  schema::Settle Settle;
  if (Claims.empty())
    return Settle;
  const std::size_t I = uniform(Generator, 0, Claims.size() - 1);
  Settle.set_customer(Claims[I].customer());
  Settle.set_idempotency_key(Claims[I].idempotency_key());
  Settle.set_attempt(Claims[I].attempt());
  Settle.set_claim_number(Numbers[I]);
  const schema::Outcome Outcomes[] = {schema::RAN, schema::NOT_RUN,
                                      schema::UNKNOWN};
  Settle.set_outcome(Outcomes[uniform(Generator, 0, 2)]);
  if (uniform(Generator, 0, 1) == 0)
    Settle.mutable_answer()->set_body(
        std::string(uniform(Generator, 1, 50), 'a'));
  return Settle;
}

// Commands of all kinds, unparsable commands, and entries that are not
// commands.
EntryList randomEntries(Random &Generator) {
  EntryList Entries;
  std::vector<schema::Claim> Claims;
  std::vector<LogIndex> Numbers;
  for (LogIndex I = 1; I <= CommandCount; ++I) {
    schema::Command Command;
    Command.set_leader_time_ms(I * 10);
    switch (I == 1 ? 0 : uniform(Generator, 0, 19)) {
    case 0:
      Command.mutable_accept()->set_planned_against(
          I == 1 ? 0 : uniform(Generator, 0, 9));
      Command.mutable_accept()->set_operation_id(std::to_string(I));
      Command.mutable_accept()
          ->mutable_configuration()
          ->set_outcome_retention_s(RetentionSeconds);
      break;
    case 1:
      Command.mutable_activate()->set_group("g");
      Command.mutable_activate()->set_map_version(I);
      Command.mutable_activate()->set_replaces(uniform(Generator, 0, I));
      break;
    case 2:
      Command.set_fence_for("g");
      break;
    case 3:
      Entries.push_back(std::make_shared<const RaftEntry>(
          RaftEntry{1, I, EntryKind::NoOp, {}}));
      continue;
    case 4:
      Entries.push_back(std::make_shared<const RaftEntry>(
          RaftEntry{1, I, EntryKind::Command, "not a command"}));
      continue;
    case 5:
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
    case 11:
      *Command.mutable_settle() = randomSettle(Generator, Claims, Numbers);
      break;
    default:
      *Command.mutable_claim() = randomClaim(Generator, I);
      Claims.push_back(Command.claim());
      Numbers.push_back(I);
    }
    Entries.push_back(std::make_shared<const RaftEntry>(
        RaftEntry{1, I, EntryKind::Command, Command.SerializeAsString()}));
  }
  return Entries;
}

EntryList between(const EntryList &Entries, LogIndex After, LogIndex Last) {
  return {Entries.begin() + static_cast<std::ptrdiff_t>(After),
          Entries.begin() + static_cast<std::ptrdiff_t>(Last)};
}

// A cluster with a single voter.
struct SoleVoter {
  explicit SoleVoter(const std::string &Folder)
      : m_Workers(1), m_Client(m_Workers), m_Server(m_Workers) {
    RaftRunnerOptions Options;
    Options.m_Name = "m";
    Options.m_DataFolder = Folder;
    Options.m_Peers = {{"m", {"127.21.1.1", 7341}, true}};
    Options.m_SnapshotEntries = 20;
    Options.m_Limits.m_RetainedEntries = 5;
    m_Runner =
        std::move(RaftRunner::start(Options, m_Machine, m_Workers, m_Client,
                                    m_Server, [](const StorageError &) {})
                      .value());
    m_Workers.start();
  }
  ~SoleVoter() {
    m_Runner.reset();
    m_Workers.stop();
  }

  bool fence() {
    schema::Command Command;
    Command.set_fence_for("g");
    auto Done = std::make_shared<std::promise<bool>>();
    auto Answer = Done->get_future();
    m_Runner->propose(Command, 20s, [Done](const auto &Reply) {
      Done->set_value(Reply.has_value());
    });
    return Answer.get();
  }

  DeploymentStateMachine m_Machine;
  WorkerPool m_Workers;
  PeerClient m_Client;
  PeerServer m_Server;
  std::unique_ptr<RaftRunner> m_Runner;
};

} // namespace

TEST_CASE("a snapshot taken in the background has the same bytes as one taken "
          "synchronously at its index") {
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    Random Generator(Seed);
    const EntryList Entries = randomEntries(Generator);
    DeploymentStateMachine Live;
    SnapshotTaker Taker;
    SnapshotPtr Base;
    RaftSnapshot Expected;
    int Compared = 0;
    for (const EntryPtr &Entry : Entries) {
      if (Entry->m_Kind == EntryKind::Command)
        Live.apply(Entry->m_Index, Entry->m_Payload);
      // The result is checked after a random number of further commands.
      if (uniform(Generator, 0, 9) != 0)
        continue;
      if (Taker.busy()) {
        std::optional<TakenSnapshot> Taken;
        while (!(Taken = Taker.take()))
          std::this_thread::yield();
        INFO("seed " << Seed << ", index " << Expected.m_LastIndex << " of "
                     << Entry->m_Index);
        CHECK(*Taken->m_Snapshot == Expected);
        Base = Taken->m_Snapshot;
        ++Compared;
      }
      Expected = {Entry->m_Index, 1, {}, {}};
      const LogIndex After = Base ? Base->m_LastIndex : 0;
      Taker.start(
          {Base, between(Entries, After, Entry->m_Index), Expected},
          Live.makeEmpty(), [](const RaftSnapshot &) { return success(); },
          [] {});
      Expected.m_Data = Live.snapshot();
    }
    CHECK(Compared > 10);
    CHECK(Live.ledgerRecords() > 0);
  }
}

TEST_CASE("a restarted member recovers from its background snapshots") {
  const std::string Folder = (std::filesystem::temp_directory_path() /
                              ("mangocart-taker-" + std::to_string(::getpid())))
                                 .string();
  std::string Before;
  for (int Start = 0; Start < 3; ++Start) {
    SoleVoter V(Folder);
    REQUIRE(RunnerCluster::eventually([&] { return V.m_Runner->leaseHeld(); }));
    CHECK((Start == 0 || V.m_Machine.snapshot() == Before));
    const LogIndex First = V.m_Runner->status().m_SnapshotIndex;
    for (int I = 0; I < 100; ++I)
      REQUIRE(V.fence());
    CHECK(RunnerCluster::eventually(
        [&] { return V.m_Runner->status().m_SnapshotIndex > First; }));
    Before = V.m_Machine.snapshot();
  }
  std::filesystem::remove_all(Folder);
}
