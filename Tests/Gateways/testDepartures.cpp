// Backend servers that leave while voters are lost. Guards against departures
// that were acknowledged and are then lost with the voter: gateways go on
// sending, and requests are cut when the backend server ends.
#include "Core/WorkerPool.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/VoterWatch.h"
#include "Gateways/GatewayDeployment.h"
#include "Gateways/VoterDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstStart = 1'000'000;

unsigned heartbeat(const HttpTarget &Voter, const std::string &Server,
                   unsigned Sequence, std::uint64_t Started = FirstStart,
                   const std::string &State = "ready") {
  return call(Voter,
              {"PUT",
               "/instances/" + Server,
               {{"Host", "voter"}},
               fmt::format(R"({{"service":"engines","address":"10.1.0.9:{}",)"
                           R"("zone":"z0","slots":4,"state":"{}",)"
                           R"("cold_remaining_ms":0,"born":{},"sequence":{}}})",
                           1000 + std::hash<std::string>()(Server) % 50000,
                           State, Started, Sequence),
               {}})
      .m_Head.m_Status;
}

// Sends the heartbeat to a voter that may still be starting.
unsigned heartbeatUntilAcknowledged(const HttpTarget &Voter,
                                    const std::string &Server,
                                    unsigned Sequence,
                                    std::uint64_t Started = FirstStart) {
  const auto Deadline = std::chrono::steady_clock::now() + 10s;
  unsigned Status = heartbeat(Voter, Server, Sequence, Started);
  while (Status != 200 && std::chrono::steady_clock::now() < Deadline) {
    std::this_thread::sleep_for(5ms);
    Status = heartbeat(Voter, Server, Sequence, Started);
  }
  return Status;
}

// The call without a body names no run of the backend server.
unsigned leave(const HttpTarget &Voter, const std::string &Server) {
  return call(Voter,
              {"DELETE", "/instances/" + Server, {{"Host", "voter"}}, "", {}})
      .m_Head.m_Status;
}

// Until then the voter acknowledges no departures.
void waitUntilOthersWatch(const HttpTarget &Voter) {
  const auto Deadline = std::chrono::steady_clock::now() + 10s;
  while (leave(Voter, "probe") != 200)
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
}

// A gateway that has just started, as far as it learns of backend servers.
class StartedGateway {
public:
  explicit StartedGateway(const std::vector<PeerEndpoint> &Voters)
      : m_Watch(std::make_shared<VoterWatch>(
            m_Workers.worker(0), m_Peers,
            WatchTargets{WatcherKind::Gateway,
                         m_Events,
                         [](std::uint64_t, std::string_view) {},
                         m_Directory,
                         [](const std::set<PeerEndpoint> &) {},
                         {},
                         {}},
            "started")) {
    m_Watch->start(Voters);
    m_Workers.start();
  }
  ~StartedGateway() { m_Workers.stop(); }

  std::optional<MemberState> stateOf(const std::string &Server) const {
    for (const MemberView &Each : m_Directory.members())
      if (Each.m_Member.m_BackendServer == Server)
        return Each.m_Member.m_State;
    return std::nullopt;
  }
  bool waitFor(const std::string &Server, MemberState State) const {
    const auto Deadline = std::chrono::steady_clock::now() + 3s;
    while (stateOf(Server) != State) {
      if (std::chrono::steady_clock::now() > Deadline)
        return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }

private:
  WorkerPool m_Workers{1};
  PeerClient m_Peers{m_Workers};
  EventLog m_Events{{"gateway", "started", "z0"}, "/dev/null"};
  MembershipDirectory m_Directory{m_Events, "z0", 1, 1};
  std::shared_ptr<VoterWatch> m_Watch;
};

// Whether a gateway that knows only this voter has the backend server in the
// state.
bool isKnownAs(const PeerEndpoint &Voter, const std::string &Server,
               MemberState State) {
  return StartedGateway({Voter}).waitFor(Server, State);
}

} // namespace

TEST_CASE("an acknowledged departure outlasts the voter that acknowledged it") {
  VoterDeployment D(106, 3);
  D.start();
  for (unsigned Round = 0; Round < 3; ++Round) {
    INFO("round " << Round);
    waitUntilOthersWatch(D.control(0));
    const std::string Server = fmt::format("i-{}", Round);
    REQUIRE(heartbeat(D.control(2), Server, 1) == 200);
    REQUIRE(isKnownAs(D.peer(2), Server, MemberState::Serving));
    REQUIRE(leave(D.control(0), Server) == 200);
    D.killVoter(0);
    CHECK(isKnownAs(D.peer(1), Server, MemberState::Left));
    CHECK(isKnownAs(D.peer(2), Server, MemberState::Left));
    // The acknowledgement may have been lost: the call comes again.
    CHECK(leave(D.control(1), Server) == 200);
    // A late heartbeat changes nothing.
    CHECK(heartbeat(D.control(2), Server, 2) == 200);
    CHECK(isKnownAs(D.peer(2), Server, MemberState::Left));
    D.startVoter(0);
    CHECK(isKnownAs(D.peer(0), Server, MemberState::Left));
    // It starts again under its name.
    CHECK(heartbeat(D.control(0), Server, 1, FirstStart + 1) == 200);
    CHECK(isKnownAs(D.peer(0), Server, MemberState::Serving));
  }
}

// Guards against departures that are kept in memory only: after a restart of
// all voters a heartbeat from before the departure made gateways send requests
// to the backend server again.
TEST_CASE("an acknowledged departure outlasts the kill of all voters") {
  constexpr unsigned Voters = 3;
  VoterDeployment D(118, Voters);
  D.start();
  waitUntilOthersWatch(D.control(0));
  REQUIRE(heartbeat(D.control(2), "i-left", 1) == 200);
  REQUIRE(heartbeat(D.control(0), "i-drains", 1) == 200);
  REQUIRE(leave(D.control(0), "i-left") == 200);
  REQUIRE(heartbeat(D.control(1), "i-drains", 3, FirstStart, "draining") ==
          200);
  // The machine whose disk is lost in the same moment, if any.
  for (const std::optional<unsigned> LosesDisk :
       {std::optional<unsigned>(), std::optional<unsigned>(0),
        std::optional<unsigned>(2)}) {
    INFO("disk lost: " << LosesDisk.value_or(Voters));
    for (unsigned I = 0; I < Voters; ++I)
      D.killVoter(I);
    if (LosesDisk)
      D.removeData(*LosesDisk);
    for (unsigned I = 0; I < Voters; ++I)
      D.startVoter(I);
    for (unsigned I = 0; I < Voters; ++I) {
      INFO("voter " << I);
      // Heartbeats from before the departure arrive late.
      CHECK(heartbeatUntilAcknowledged(D.control(I), "i-left", 2) == 200);
      CHECK(heartbeatUntilAcknowledged(D.control(I), "i-drains", 2) == 200);
      CHECK(isKnownAs(D.peer(I), "i-left", MemberState::Left));
      CHECK(isKnownAs(D.peer(I), "i-drains", MemberState::Leaving));
    }
    waitUntilOthersWatch(D.control(0));
  }
  // It starts again under its name, leaves again, and all are killed again.
  CHECK(heartbeat(D.control(1), "i-left", 1, FirstStart + 1) == 200);
  CHECK(isKnownAs(D.peer(1), "i-left", MemberState::Serving));
  REQUIRE(leave(D.control(1), "i-left") == 200);
  for (unsigned I = 0; I < Voters; ++I)
    D.killVoter(I);
  for (unsigned I = 0; I < Voters; ++I)
    D.startVoter(I);
  CHECK(heartbeatUntilAcknowledged(D.control(2), "i-left", 2, FirstStart + 1) ==
        200);
  CHECK(isKnownAs(D.peer(2), "i-left", MemberState::Left));
  CHECK(heartbeat(D.control(2), "i-left", 1, FirstStart + 2) == 200);
  CHECK(isKnownAs(D.peer(2), "i-left", MemberState::Serving));
}

TEST_CASE("a departure that no other voter knows isn't acknowledged") {
  VoterDeployment D(107, 3);
  D.start();
  REQUIRE(heartbeat(D.control(2), "i-1", 1) == 200);
  REQUIRE(heartbeat(D.control(2), "i-2", 1) == 200);
  D.suspendVoter(1);
  D.suspendVoter(2);
  CHECK(leave(D.control(0), "i-1") == 503);
  CHECK(heartbeat(D.control(0), "i-2", 2, FirstStart, "draining") == 503);
  // Gateways that are connected to the voter stop sending all the same.
  CHECK(isKnownAs(D.peer(0), "i-1", MemberState::Left));
  CHECK(isKnownAs(D.peer(0), "i-2", MemberState::Leaving));
  // A heartbeat of a backend server that serves on promises nothing.
  CHECK(heartbeat(D.control(0), "i-3", 1) == 200);
  D.signalVoter(1, SIGCONT);
  D.signalVoter(2, SIGCONT);
  const auto Deadline = std::chrono::steady_clock::now() + 10s;
  while (leave(D.control(0), "i-1") != 200)
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
  CHECK(isKnownAs(D.peer(2), "i-1", MemberState::Left));
}

// Times of acknowledged departures, for docs/MEASUREMENTS.md.
TEST_CASE("how long departures wait for their acknowledgement", "[.measure]") {
  VoterDeployment D(108, 3);
  D.start();
  const auto Measure = [&](const std::string &What, unsigned Count,
                           unsigned AtOnce) {
    std::vector<double> Times(Count);
    std::vector<unsigned> Statuses(Count);
    for (unsigned I = 0; I < Count; ++I)
      heartbeat(D.control(2), fmt::format("{}-{}", What, I), 1);
    std::vector<std::thread> Threads;
    for (unsigned T = 0; T < AtOnce; ++T)
      Threads.emplace_back([&, T] {
        for (unsigned I = T; I < Count; I += AtOnce) {
          const auto Begin = std::chrono::steady_clock::now();
          Statuses[I] = leave(D.control(0), fmt::format("{}-{}", What, I));
          Times[I] = std::chrono::duration<double, std::milli>(
                         std::chrono::steady_clock::now() - Begin)
                         .count();
        }
      });
    for (std::thread &Each : Threads)
      Each.join();
    std::sort(Times.begin(), Times.end());
    const auto Acknowledged =
        std::count(Statuses.begin(), Statuses.end(), 200U);
    WARN(What << ": median " << Times[Count / 2] << " ms, 99th percentile "
              << Times[Count * 99 / 100] << " ms, acknowledged " << Acknowledged
              << " of " << Count);
  };
  Measure("one-by-one", 300, 1);
  Measure("64-at-once", 640, 64);
  Measure("200-at-once", 1000, 200);
  D.suspendVoter(1);
  Measure("one-voter-suspended", 20, 1);
  D.signalVoter(1, SIGCONT);
  std::this_thread::sleep_for(3s);
  D.killVoter(1);
  std::this_thread::sleep_for(3s);
  Measure("one-voter-lost", 100, 1);
  D.killVoter(2);
  Measure("no-majority", 20, 1);
}
