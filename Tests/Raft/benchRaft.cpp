// Benchmarks with sockets and real syncs; run with the tag [.bench].
#include "Raft/RunnerCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

double milliseconds(Clock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double quantile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

// Closed loop: each proposer sends its next command after the reply.
void measure(RunnerCluster &C, std::size_t Machine, const std::string &Where,
             std::size_t Proposers, Clock::duration Time) {
  const std::size_t Leader = C.agreedLeader();
  const RaftCounters Before = C.at(Leader).m_Runner->counters();
  std::mutex Mutex;
  std::vector<double> Latencies;
  std::vector<std::thread> Threads;
  const Clock::time_point End = Clock::now() + Time;
  for (std::size_t I = 0; I < Proposers; ++I)
    Threads.emplace_back([&] {
      while (Clock::now() < End) {
        const Clock::time_point Start = Clock::now();
        if (!C.propose(Machine, "claim of two hundred bytes, say").has_value())
          continue;
        const double Taken = milliseconds(Clock::now() - Start);
        const std::lock_guard Lock(Mutex);
        Latencies.push_back(Taken);
      }
    });
  for (std::thread &T : Threads)
    T.join();
  const RaftCounters After = C.at(Leader).m_Runner->counters();
  const auto Count = static_cast<double>(Latencies.size());
  std::cout << Where << ", " << Proposers
            << " proposers: " << Count * 1000 / milliseconds(Time)
            << " commands/s, median " << quantile(Latencies, 0.5)
            << " ms, 99th " << quantile(Latencies, 0.99)
            << " ms, leader's syncs per command "
            << static_cast<double>(After.m_Syncs - Before.m_Syncs) / Count
            << ", messages per command "
            << static_cast<double>(After.m_Messages - Before.m_Messages) / Count
            << '\n';
}

} // namespace

TEST_CASE("commands per second and latency", "[.bench]") {
  RunnerCluster C(7331);
  REQUIRE(C.allVote());
  const std::size_t Leader = C.agreedLeader();
  for (const std::size_t Proposers : {1, 64}) {
    measure(C, Leader, "at the leader", Proposers, 5s);
    measure(C, RunnerCluster::ProcessCount - 1, "from a machine without a disk",
            Proposers, 5s);
  }
}

TEST_CASE("time without a leader", "[.bench]") {
  RunnerCluster C(7332);
  REQUIRE(C.allVote());
  std::vector<double> Times;
  for (int I = 0; I < 15; ++I) {
    const std::size_t Old = C.agreedLeader();
    const Clock::time_point Start = Clock::now();
    C.stop(Old);
    C.leader();
    Times.push_back(milliseconds(Clock::now() - Start));
    C.start(Old);
  }
  std::cout << "without a leader: median " << quantile(Times, 0.5)
            << " ms, largest " << quantile(Times, 1) << " ms of "
            << Times.size() << '\n';
}

TEST_CASE("traffic at rest", "[.bench]") {
  RunnerCluster C(7333);
  REQUIRE(C.allVote());
  const std::size_t Leader = C.agreedLeader();
  const RaftCounters Before = C.at(Leader).m_Runner->counters();
  const auto Wire = C.at(Leader).m_Client.traffic();
  std::this_thread::sleep_for(10s);
  const RaftCounters After = C.at(Leader).m_Runner->counters();
  const auto WireAfter = C.at(Leader).m_Client.traffic();
  std::cout << "leader at rest: "
            << static_cast<double>(After.m_Messages - Before.m_Messages) / 10.0
            << " messages/s, "
            << static_cast<double>(After.m_Bytes - Before.m_Bytes) / 10.0
            << " bytes/s of messages, "
            << static_cast<double>(WireAfter.m_BytesSent - Wire.m_BytesSent) /
                   10.0
            << " bytes/s sent on its connections\n";
}
