// Time that a snapshot of a large state takes on the control thread; run with
// the tag [.bench].
#include "Raft/FileSystem.h"
#include "Raft/RunnerCluster.h"
#include "State/DeploymentStateMachine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t RecordCount = 1'000'000;
constexpr LogIndex SnapshotIndex = 2 * RecordCount;
constexpr LogIndex SnapshotEntries = 2000;
constexpr std::size_t Proposers = 64;
// Delay between a reply and the next command, for about 2,000 commands a
// second.
constexpr std::chrono::milliseconds Delay{30};
constexpr int SnapshotCount = 3;

// Takes, writes and syncs its snapshots on the control thread.
class SynchronousSnapshotMachine : public DeploymentStateMachine {
public:
  std::unique_ptr<StateMachine> makeEmpty() const override { return nullptr; }
};

// A ledger with many settled bookings and no stored responses.
std::string largeState() {
  DeploymentState State;
  State.m_Ledger.m_Limits.m_MaxBytes = SIZE_MAX / 2;
  for (std::uint64_t I = 1; I <= RecordCount; ++I) {
    schema::Command Claim;
    Claim.mutable_claim()->set_customer("customer-" +
                                        std::to_string(I % 15'000));
    Claim.mutable_claim()->set_idempotency_key("booking-" + std::to_string(I));
    Claim.mutable_claim()->set_attempt(1);
    apply(State, 2 * I - 1, Claim);
    schema::Command Settle;
    Settle.mutable_settle()->set_customer(Claim.claim().customer());
    Settle.mutable_settle()->set_idempotency_key(
        Claim.claim().idempotency_key());
    Settle.mutable_settle()->set_attempt(1);
    Settle.mutable_settle()->set_claim_number(2 * I - 1);
    Settle.mutable_settle()->set_outcome(schema::RAN);
    apply(State, 2 * I, Settle);
  }
  return snapshot(State);
}

void prepareFolder(const std::string &Folder, const std::string &State) {
  Random Generator(1);
  auto Files = makePosixFileSystem();
  auto Storage = RaftStorage::open(*Files, Folder, Generator);
  const MemberId Self{"m", Storage.value()->storageId()};
  Storage.value()->append({RaftHardState{1, {}}, 0, {}});
  REQUIRE(Storage.value()->saveSnapshot(
      {std::make_shared<const RaftSnapshot>(
           RaftSnapshot{SnapshotIndex, 1, {{Self, true}}, State}),
       {}}));
}

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

// Runs proposers that send their next command after the reply, until
// SnapshotCount snapshots have been taken.
void measure(const std::string &Mode, DeploymentStateMachine &Machine,
             const std::string &State, std::chrono::milliseconds Wait) {
  const std::string Folder =
      (std::filesystem::temp_directory_path() /
       ("mangocart-snapshot-bench-" + std::to_string(::getpid())))
          .string();
  prepareFolder(Folder, State);
  WorkerPool Workers(2);
  PeerClient Client(Workers);
  PeerServer Server(Workers);
  RaftRunnerOptions Options;
  Options.m_Name = "m";
  Options.m_DataFolder = Folder;
  Options.m_Peers = {{"m", {"127.21.1.2", 7342}, true}};
  Options.m_SnapshotEntries = SnapshotEntries;
  Options.m_SnapshotLogRatio = 0;
  auto Runner = std::move(RaftRunner::start(Options, Machine, Workers, Client,
                                            Server, [](const StorageError &) {})
                              .value());
  Workers.start();
  RunnerCluster::eventually([&] { return Runner->leaseHeld(); });
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Committed{0};
  std::vector<std::thread> Threads;
  const Clock::time_point Start = Clock::now();
  for (std::size_t I = 0; I < Proposers; ++I)
    Threads.emplace_back([&] {
      while (!Stopping) {
        std::promise<void> Done;
        schema::Command Command;
        Command.set_fence_for("group");
        Runner->propose(Command, 20s, [&](const auto &) { Done.set_value(); });
        Done.get_future().wait();
        ++Committed;
        std::this_thread::sleep_for(Wait);
      }
    });
  int Taken = 0;
  for (LogIndex Last = SnapshotIndex; Taken < SnapshotCount;) {
    std::this_thread::sleep_for(1ms);
    const LogIndex Now = Runner->status().m_SnapshotIndex;
    Taken += Now > Last ? 1 : 0;
    Last = Now;
  }
  const std::chrono::duration<double> Elapsed = Clock::now() - Start;
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  std::cout << Mode << ": " << RecordCount << " records, " << State.size()
            << " B a snapshot, " << Taken << " snapshots in " << Elapsed.count()
            << " s, longest iteration "
            << milliseconds(Runner->counters().m_LongestIteration) << " ms, "
            << static_cast<double>(Committed) / Elapsed.count()
            << " commands/s\n";
  Runner.reset();
  Workers.stop();
  std::filesystem::remove_all(Folder);
}

} // namespace

TEST_CASE("longest control thread iteration with snapshots of a large state",
          "[.bench]") {
  const std::string State = largeState();
  for (const auto Wait : {0ms, Delay}) {
    SynchronousSnapshotMachine First;
    measure("on the control thread", First, State, Wait);
    DeploymentStateMachine Second;
    measure("on a background thread", Second, State, Wait);
  }
}
