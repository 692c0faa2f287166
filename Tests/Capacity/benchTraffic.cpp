// Bytes and CPU time of calls and proposals over loopback connections. Both
// ends run in this process, so a CPU time is the sum of the two.
#include "Capacity/Measurement.h"

#include "Core/WorkerPool.h"
#include "Net/UnaryMethod.h"
#include "Raft/RunnerCluster.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <iostream>
#include <thread>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const PeerEndpoint Entry{"127.26.0.1", 7480};

Result<std::string, PeerError> callOnce(PeerClient &Client, std::string Bytes) {
  std::promise<Result<std::string, PeerError>> Done;
  auto Answer = Done.get_future();
  Client.call(Entry, "/entry/announce", std::move(Bytes), 10s,
              [&Done](Result<std::string, PeerError> Reply) {
                Done.set_value(std::move(Reply));
              });
  return Answer.get();
}

// Proposes Count commands concurrently and waits for all of them.
void proposeConcurrently(RaftRunner &Log, const schema::Command &Command,
                         std::size_t Count) {
  std::atomic<std::size_t> Remaining = Count;
  std::promise<void> AllDone;
  for (std::size_t I = 0; I < Count; ++I)
    Log.propose(Command, 20s, [&](const auto &) {
      if (--Remaining == 0)
        AllDone.set_value();
    });
  AllDone.get_future().wait();
}

} // namespace

TEST_CASE("calls between processes", "[.bench]") {
  WorkerPool Workers(2);
  PeerServer Server(Workers);
  PeerClient Client(Workers);
  addAsyncMethod(Server, "/entry/announce",
                 [](std::string_view, const UnaryAnswer &Answer) {
                   Answer(std::string(20, 'r'));
                   return true;
                 });
  REQUIRE(Server.listen(Entry.m_Address, Entry.m_Port).has_value());
  Workers.start();
  for (const std::size_t Bytes : {100, 1'000, 10'000, 100'000}) {
    constexpr std::size_t Calls = 1'000;
    REQUIRE(callOnce(Client, std::string(Bytes, 'a')).has_value());
    const PeerClient::Traffic Before = Client.traffic();
    const double Start = cpuMicroseconds();
    for (std::size_t I = 0; I < Calls; ++I)
      REQUIRE(callOnce(Client, std::string(Bytes, 'a')).has_value());
    const double CpuTime = cpuMicroseconds() - Start;
    const PeerClient::Traffic After = Client.traffic();
    std::cout << "call of " << Bytes << " B, reply of 20 B: "
              << (After.m_BytesSent - Before.m_BytesSent) / Calls << " B sent, "
              << (After.m_BytesReceived - Before.m_BytesReceived) / Calls
              << " B received, " << CpuTime / Calls
              << " us of processor time at both ends\n";
  }
  Server.close();
  Workers.stop();
}

TEST_CASE("proposals", "[.bench]") {
  // Nodes 0 to 2 are voters; node 3 has no data folder.
  RunnerCluster Cluster(7481);
  REQUIRE(Cluster.allVote());
  const std::size_t Leader = Cluster.agreedLeader();
  RaftRunner &Log = *Cluster.at(Leader).m_Runner;
  for (const std::size_t BatchSize : {1, 8, 64})
    for (const std::size_t Bytes : {100, 300, 1'000}) {
      constexpr std::size_t Proposals = 512;
      schema::Command Command;
      Command.set_fence_for(std::string(Bytes, 'c'));
      const RaftCounters Before = Log.counters();
      const auto TrafficBefore = Cluster.at(Leader).m_Client.traffic();
      const double Start = cpuMicroseconds();
      for (std::size_t Done = 0; Done < Proposals; Done += BatchSize)
        proposeConcurrently(Log, Command, BatchSize);
      const double CpuTime = cpuMicroseconds() - Start;
      const RaftCounters After = Log.counters();
      const auto TrafficAfter = Cluster.at(Leader).m_Client.traffic();
      std::cout << "proposals of " << Bytes << " B, " << BatchSize
                << " at once, 3 voters: "
                << static_cast<double>(After.m_Syncs - Before.m_Syncs) /
                       Proposals
                << " syncs, "
                << static_cast<double>(After.m_Messages - Before.m_Messages) /
                       Proposals
                << " messages and "
                << (TrafficAfter.m_BytesSent - TrafficBefore.m_BytesSent) /
                       Proposals
                << " B sent by the leader, " << CpuTime / Proposals
                << " us of processor time in all 4 machines, each\n";
    }
  constexpr auto IdleTime = 5s;
  const double Start = cpuMicroseconds();
  std::this_thread::sleep_for(IdleTime);
  std::cout << "log at rest, 3 voters: "
            << (cpuMicroseconds() - Start) / IdleTime.count()
            << " us of processor time a second in all 4 machines\n";
}
