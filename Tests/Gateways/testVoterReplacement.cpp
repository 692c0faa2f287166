// Voters as processes: planned replacements by voters that stand by.
#include "Gateways/GatewayProcess.h"
#include "Gateways/VoterDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <vector>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Machines = 5;
constexpr unsigned Voters = 3;
constexpr auto StartTimeout = 20s;
// How long a new machine counts as lost, and how long the system may take until
// it serves again after a fault.
constexpr auto CatchUpTime = 4s;
constexpr auto RecoveryTime = 12s;
constexpr unsigned StatusOk = 200;

std::string configuration(std::uint64_t Version) {
  return fmt::format(
      R"({{"version":{},"routes":[],"services":[],"limits":)"
      R"({{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}})",
      Version);
}

// The machines by their place in the log.
struct Places {
  unsigned m_Leader = 0;
  std::vector<unsigned> m_Followers;
  std::vector<unsigned> m_Learners;
};

std::optional<Places> findPlaces(const VoterDeployment &D) {
  Places Found;
  unsigned Leaders = 0;
  for (unsigned I = 0; I < Machines; ++I) {
    if (D.metric(I, "mangocart_log_leads") == 1.0) {
      Found.m_Leader = I;
      ++Leaders;
    } else if (D.metric(I, "mangocart_log_has_vote") == 1.0) {
      Found.m_Followers.push_back(I);
    } else {
      Found.m_Learners.push_back(I);
    }
  }
  if (Leaders != 1 || Found.m_Followers.size() != Voters - 1)
    return std::nullopt;
  return Found;
}

// Starts three voters and two machines that stand by.
Places startFive(VoterDeployment &D) {
  D.start();
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  std::optional<Places> Found;
  while (!(Found = findPlaces(D))) {
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(CatchUpTime);
  return *Found;
}

// The machine that got the vote of a voter that was stopped.
unsigned findSuccessor(const VoterDeployment &D,
                       const std::vector<unsigned> &Learners) {
  const auto Deadline = std::chrono::steady_clock::now() + RecoveryTime;
  while (true) {
    for (const unsigned I : Learners)
      if (D.metric(I, "mangocart_log_has_vote") == 1.0)
        return I;
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
    std::this_thread::sleep_for(50ms);
  }
}

// Whether one of the voters answers with this version within the time that
// recovery may take.
bool isReadBack(const VoterDeployment &D, const std::vector<unsigned> &From,
                std::uint64_t Version) {
  const std::string Wanted = fmt::format(R"("version":{},)", Version);
  const auto Deadline = std::chrono::steady_clock::now() + RecoveryTime;
  while (std::chrono::steady_clock::now() < Deadline) {
    for (const unsigned I : From) {
      const HttpResponse Response =
          call(D.control(I), {"GET", "/config", {{"Host", "voter"}}, "", {}});
      if (Response.m_Head.m_Status == StatusOk &&
          Response.m_Body.find(Wanted) != std::string::npos)
        return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

// Sends the configuration to the voters by turns; returns the one that has
// acknowledged it.
unsigned acknowledgedBy(const VoterDeployment &D,
                        const std::vector<unsigned> &To,
                        std::uint64_t Version) {
  const auto Deadline = std::chrono::steady_clock::now() + RecoveryTime;
  for (unsigned I = 0;; ++I) {
    const unsigned Voter = To[I % To.size()];
    if (putConfiguration(D.control(Voter), configuration(Version)) == StatusOk)
      return Voter;
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
  }
}

} // namespace

// Guards against a configuration that can't be read any more after two planned
// stops, because stopped voters kept their votes for three seconds.
TEST_CASE("two voters stopped two seconds apart hand their votes over") {
  VoterDeployment D(114, Machines);
  const Places At = startFive(D);
  acknowledgedBy(D, {At.m_Leader}, 2);
  D.stopVoter(At.m_Followers[0]);
  std::this_thread::sleep_for(2s);
  D.stopVoter(At.m_Followers[1]);
  std::vector<unsigned> Left = At.m_Learners;
  Left.push_back(At.m_Leader);
  CHECK(isReadBack(D, Left, 2));
  acknowledgedBy(D, Left, 3);
  // The last of the first voters, which leads or has led, goes as well.
  D.startVoter(At.m_Followers[0]);
  std::this_thread::sleep_for(CatchUpTime);
  D.stopVoter(At.m_Leader);
  Left = At.m_Learners;
  Left.push_back(At.m_Followers[0]);
  CHECK(isReadBack(D, Left, 3));
  acknowledgedBy(D, Left, 4);
}

// Guards against the loss of an acknowledged configuration with one disk, after
// a voter was stopped as planned and kept its vote.
TEST_CASE("a disk lost after a planned stop loses no configuration") {
  VoterDeployment D(115, Machines);
  const Places At = startFive(D);
  D.stopVoter(At.m_Followers[0]);
  // Only one successor; the other machine has no vote to lose.
  const unsigned Successor = findSuccessor(D, At.m_Learners);
  D.killVoter(At.m_Learners[Successor == At.m_Learners[0] ? 1 : 0]);
  std::this_thread::sleep_for(2s);
  const std::vector<unsigned> Running = {At.m_Leader, At.m_Followers[1],
                                         Successor};
  const unsigned Lost = acknowledgedBy(D, Running, 2);
  D.loseDisk(Lost);
  std::this_thread::sleep_for(1s);
  D.startVoter(Lost);
  CHECK(isReadBack(D, Running, 2));
  acknowledgedBy(D, Running, 3);
  // The machine with the new disk counts again: the next one may be lost.
  std::this_thread::sleep_for(CatchUpTime);
  const unsigned Next = Running[Lost == Running[0] ? 1 : 0];
  D.killVoter(Next);
  CHECK(isReadBack(D, Running, 3));
}

// Times of planned stops, for docs/MEASUREMENTS.md.
TEST_CASE("how long planned stops of voters take", "[.measure]") {
  const auto Measure = [](const std::string &What, VoterDeployment &D,
                          unsigned Count) {
    constexpr unsigned Rounds = 5;
    std::vector<double> Times;
    for (unsigned I = 0; I < Rounds * Count; ++I) {
      const auto Begin = std::chrono::steady_clock::now();
      D.stopVoter(I % Count);
      Times.push_back(std::chrono::duration<double, std::milli>(
                          std::chrono::steady_clock::now() - Begin)
                          .count());
      D.startVoter(I % Count);
      std::this_thread::sleep_for(CatchUpTime);
    }
    std::sort(Times.begin(), Times.end());
    WARN(What << ": median " << Times[Times.size() / 2] << " ms, largest "
              << Times.back() << " ms of " << Times.size());
  };
  VoterDeployment Three(116, Voters);
  Three.start();
  Measure("without learners", Three, Voters);
  VoterDeployment Five(117, Machines);
  startFive(Five);
  Measure("five machines in turn, three of them voters", Five, Machines);
}
