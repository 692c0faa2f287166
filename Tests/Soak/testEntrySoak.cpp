// Entries, agents and stand-ins under faults that come in series and at once,
// while the load program sends drafts and bookings, some of them twice or
// again, and an operator changes the configuration. The load program checks
// that each caller gets its own complete answer, and by the stand-ins' logs
// that no booking ran twice, those reported as run have run and those reported
// as not run haven't. Acknowledged configurations are in force in the end.
//
// MANGOCART_SEED names the seed. Several at a time need other values of
// MANGOCART_SOAK_OCTET.
#include "Core/Random.h"
#include "Processes/Deployment.h"
#include "Soak/SoakParameters.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr int OctetOffset = 28;
constexpr auto FaultTime = 15s;
constexpr unsigned RequestsPerSecond = 60;
// The load begins before the faults and ends after them.
constexpr unsigned Requests = RequestsPerSecond * 22;

const std::vector<std::string> Voters = {"entry-a", "entry-b", "entry-c1"};

class EntryFaults {
public:
  EntryFaults(Deployment &On, std::uint64_t Seed)
      : m_Deployment(On), m_Random(Seed) {}

  // Disturbs processes until the time, but no more than one voter at a time,
  // and at most one of them loses its disk. All processes run at the end.
  void inflict(std::chrono::steady_clock::time_point Until) {
    while (std::chrono::steady_clock::now() < Until) {
      switch (uniform(m_Random, 0, 4)) {
      case 0:
        disturbVoter();
        break;
      case 1:
        disturbEntryWithoutDisk();
        break;
      case 2:
        disturbAgent(anyBackendServer());
        break;
      case 3:
        restartStandin(anyBackendServer());
        break;
      default:
        disturbVoterAndAgent(anyBackendServer());
      }
      ++m_Count;
      pauseRandomly(100, 600);
    }
  }
  unsigned count() const { return m_Count; }
  unsigned lostDisks() const { return m_LostDisks; }

private:
  void pauseRandomly(unsigned LeastMs, unsigned MostMs) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(uniform(m_Random, LeastMs, MostMs)));
  }
  std::string anyOf(const std::vector<std::string> &Names) {
    return Names[uniform(m_Random, 0, Names.size() - 1)];
  }
  std::string anyBackendServer() { return anyOf(Deployment::backendServers()); }

  void suspendForAWhile(const std::string &Name) {
    m_Deployment.process(Name).suspend();
    pauseRandomly(200, 3000);
    m_Deployment.process(Name).signal(SIGCONT);
  }

  // 1: requests were still in progress at the end of the drain.
  void stop(const std::string &Name) {
    m_Deployment.process(Name).signal(SIGTERM);
    REQUIRE(m_Deployment.process(Name).wait(DefaultTimeout).value_or(2) <= 1);
  }

  void disturbVoter() {
    const std::string Voter = anyOf(Voters);
    const std::uint64_t Kind = uniform(m_Random, 0, m_LostDisks > 0 ? 2 : 3);
    if (Kind == 0)
      return suspendForAWhile(Voter);
    if (Kind == 1)
      stop(Voter);
    else
      m_Deployment.kill(Voter);
    if (Kind == 3) {
      m_Deployment.eraseData(Voter);
      ++m_LostDisks;
    }
    pauseRandomly(50, 1000);
    m_Deployment.startEntry(Voter);
    // Until it knows the leader, a second voter would leave no majority.
    REQUIRE(eventually([&] { return !m_Deployment.leader(Voter).empty(); }));
  }

  void disturbEntryWithoutDisk() {
    if (uniform(m_Random, 0, 1) == 0)
      return suspendForAWhile("entry-c2");
    m_Deployment.kill("entry-c2");
    pauseRandomly(50, 1000);
    m_Deployment.startEntry("entry-c2");
  }

  void disturbAgent(const std::string &Name) {
    const std::uint64_t Kind = uniform(m_Random, 0, 2);
    if (Kind == 0)
      return suspendForAWhile(Name);
    if (Kind == 1)
      stop(Name);
    else
      m_Deployment.kill(Name);
    pauseRandomly(50, 1000);
    m_Deployment.startAgent(Name);
  }

  void restartStandin(const std::string &Name) {
    m_Deployment.kill("standin-" + Name);
    pauseRandomly(50, 1000);
    m_Deployment.startStandin(Name);
  }

  void disturbVoterAndAgent(const std::string &Agent) {
    m_Deployment.process(Agent).suspend();
    disturbVoter();
    m_Deployment.process(Agent).signal(SIGCONT);
  }

  Deployment &m_Deployment;
  Random m_Random;
  unsigned m_Count = 0;
  unsigned m_LostDisks = 0;
};

// Accepts configurations until it is stopped; returns the last acknowledged
// version.
std::uint64_t changeConfiguration(const Deployment &On,
                                  const std::atomic<bool> &IsStopping) {
  std::uint64_t Version = 1;
  while (!IsStopping) {
    const auto Share = static_cast<unsigned>(2 + Version % 5);
    if (On.accept("entry-c2", Share, fmt::format("change-{}", Version)))
      ++Version;
    std::this_thread::sleep_for(300ms);
  }
  return Version;
}

// Requests that have run, as their callers were told.
unsigned ranCount(const LoadResult &Result) {
  const auto *Outcomes = Result.m_Report.if_contains("outcomes");
  const auto *Ran =
      Outcomes ? Outcomes->as_object().if_contains("ran") : nullptr;
  return Ran ? Ran->to_number<unsigned>() : 0;
}

bool areAllServed(Deployment &On) {
  const auto Load = On.startLoad({"entry-a", "entry-c2"},
                                 {"--callers", "4", "--requests", "40", "--mix",
                                  "1:1", "--run-name", "after"});
  const LoadResult Result = On.finishLoad(*Load);
  return Result.m_ExitCode == 0 && ranCount(Result) == 40;
}

} // namespace

TEST_CASE("the promises of entries hold under faults", "[soak]") {
  const SoakParameters Parameters = soakParameters();
  INFO("seed " << Parameters.m_Seed);
  Deployment D(Parameters.m_Octet + OctetOffset);
  D.start();
  const auto Load =
      D.startLoad(Deployment::entries(),
                  {"--rate", std::to_string(RequestsPerSecond), "--requests",
                   std::to_string(Requests), "--mix", "1:2", "--max-tokens",
                   "20", "--resend-probability", "0.3", "--race-probability",
                   "0.1", "--seed", std::to_string(Parameters.m_Seed)});
  std::atomic<bool> IsStopping{false};
  std::uint64_t Acknowledged = 0;
  std::thread Operator(
      [&] { Acknowledged = changeConfiguration(D, IsStopping); });
  std::this_thread::sleep_for(2s);
  EntryFaults Faults(D, Parameters.m_Seed);
  Faults.inflict(std::chrono::steady_clock::now() + FaultTime);
  IsStopping = true;
  Operator.join();
  const LoadResult Result = D.finishLoad(*Load);
  WARN(fmt::format("seed {}: {} requests, {} ran, {} disturbances, {} lost "
                   "disks, version {}",
                   Parameters.m_Seed, Requests, ranCount(Result),
                   Faults.count(), Faults.lostDisks(), Acknowledged));
  INFO(Result.m_Output);
  CHECK(Result.m_ExitCode == 0);
  CHECK(ranCount(Result) > Requests / 2);
  CHECK(eventually([&] {
    const auto Versions = D.versions("entry-a");
    return Versions.size() == Deployment::entries().size() +
                                  Deployment::backendServers().size() &&
           std::all_of(Versions.begin(), Versions.end(), [&](const auto &Each) {
             return Each.second >= Acknowledged;
           });
  }));
  CHECK(eventually([&] { return areAllServed(D); }));
}
