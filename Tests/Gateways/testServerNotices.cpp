// Engines that say in their answers that they leave, or that they want no
// requests for a while. Guards against gateways that go on sending to a server
// until its announcement has reached them.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

std::vector<CallerKind> callers() {
  const auto Parts = [](Random &R) {
    return std::vector{std::string("5e"),
                       fmt::format("a{}", uniform(R, 0, 11))};
  };
  return {{40.0, true, Parts}, {10.0, false, Parts}};
}

// All ways to a server: streams, some of which are resumed, and plain requests
// with and without repeats.
std::vector<CallerKind> allCallers() {
  std::vector<CallerKind> Kinds = callers();
  const auto Own = [](Random &R) { return fmt::format("{:x}", R()); };
  Kinds.push_back({10.0, false, {}, Own, false, 2});
  Kinds.push_back({10.0, false, {}, Own, true, 2});
  return Kinds;
}

// One gateway, since the engines can't tell gateways apart.
struct Played {
  explicit Played(int Octet, std::vector<CallerKind> Callers = callers())
      : m_Gateways(Octet, 1) {
    m_Gateways.start();
    FleetOptions Options = fleetOptionsFor(m_Gateways);
    m_Fleet = std::make_unique<EngineFleet>(Options);
    m_Fleet->start();
    std::this_thread::sleep_for(1s);
    m_Load = std::make_unique<CallerLoad>(std::vector{m_Gateways.gateway(0)},
                                          std::move(Callers), 11);
    m_Load->start();
    std::this_thread::sleep_for(2s);
  }

  std::size_t arrivals(unsigned Engine, Clock::time_point From,
                       Clock::time_point To = Clock::time_point::max()) const {
    const auto All = m_Fleet->arrivals();
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const Arrival &Each) {
          return Each.m_Index == Engine && Each.m_At > From && Each.m_At < To;
        }));
  }

  // Fraction of the requests that were answered.
  double answered() {
    const auto &Records = m_Load->finish();
    const auto Count =
        std::count_if(Records.begin(), Records.end(),
                      [](const CallRecord &Each) { return isAnswered(Each); });
    return static_cast<double>(Count) / static_cast<double>(Records.size());
  }

  GatewayDeployment m_Gateways;
  std::unique_ptr<EngineFleet> m_Fleet;
  std::unique_ptr<CallerLoad> m_Load;
};

} // namespace

TEST_CASE(
    "a server that says in an answer that it leaves gets no requests from "
    "the gateway that received it") {
  constexpr auto DrainTime = 2s;
  Played P(97);
  const auto Said = Clock::now();
  P.m_Fleet->setHeaders(1, "Server-Leaving: 1\r\n");
  std::this_thread::sleep_for(8s);
  CHECK(P.arrivals(1, Said - 2s, Said) > 0);
  CHECK(P.arrivals(1, Said + DrainTime) == 0);
  CHECK(P.arrivals(0, Said + DrainTime) > 0);
  CHECK(P.answered() > 0.99);
}

TEST_CASE(
    "a server that rejects a request with Retry-After gets none from that "
    "gateway until the time is over") {
  constexpr auto Pause = 4s;
  constexpr auto Grace = 500ms;
  Played P(98);
  const auto Said = Clock::now();
  P.m_Fleet->setHeaders(1, "Retry-After: 4\r\n");
  P.m_Fleet->setRejecting(1, true);
  std::this_thread::sleep_for(Pause - 1s);
  P.m_Fleet->setHeaders(1, "");
  P.m_Fleet->setRejecting(1, false);
  std::this_thread::sleep_for(5s);
  // The first rejection comes within 0.2 s.
  CHECK(P.arrivals(1, Said, Said + Grace) > 0);
  CHECK(P.arrivals(1, Said + Grace + 200ms, Said + Pause) <= 2);
  CHECK(P.arrivals(1, Said + Pause + 1s) > 0);
  CHECK(P.answered() > 0.99);
}

TEST_CASE(
    "requests are rejected at once while all servers want none for longer than "
    "callers wait") {
  Played P(99);
  for (unsigned I = 0; I < 6; ++I) {
    P.m_Fleet->setHeaders(I, "Retry-After: 10\r\n");
    P.m_Fleet->setRejecting(I, true);
  }
  std::this_thread::sleep_for(1s);
  const auto Paused = Clock::now();
  std::this_thread::sleep_for(1s);
  const auto Ended = Clock::now();
  for (unsigned I = 0; I < 6; ++I)
    P.m_Fleet->setRejecting(I, false);
  std::this_thread::sleep_for(4s);
  std::size_t Sent = 0;
  for (unsigned I = 0; I < 6; ++I)
    Sent += P.arrivals(I, Paused, Ended);
  CHECK(Sent <= 12);
  for (const CallRecord &Each : P.m_Load->finish())
    if (Each.m_SentAt > Paused && Each.m_SentAt < Ended) {
      CHECK(Each.m_Status == 503);
      CHECK(Each.m_EndedAfter < 200ms);
    }
}

// Guards against a way to a server that doesn't look at its pause, and against
// a pause that is forgotten before its end: when several servers ask at once
// and again, while others name a limit, leave or crash, and while the
// configuration changes.
TEST_CASE("most servers of a service ask for pauses again and again and get no "
          "requests until each one ends") {
  constexpr auto Pause = 2500ms;
  constexpr auto Grace = 500ms;
  constexpr unsigned Pausing = 4;
  // Two rounds of each; a pause may last into the next round.
  constexpr std::size_t MinAsked = 8;
  Played P(80, allCallers());
  P.m_Fleet->setHeaders(4, "Server-Limit: 20\r\n");
  for (int Round = 0; Round < 4; ++Round) {
    for (unsigned I = 0; I < Pausing; ++I) {
      P.m_Fleet->setHeaders(I, "Retry-After: 2.5\r\n");
      P.m_Fleet->setRejecting(I, true);
    }
    std::this_thread::sleep_for(1s);
    if (Round == 1)
      P.m_Fleet->endEngine(5);
    if (Round == 2)
      P.m_Fleet->setHeaders(5, "Server-Leaving: 1\r\n");
    if (Round == 3)
      P.m_Gateways.configure(2);
    std::this_thread::sleep_for(Pause - 1s);
    for (unsigned I = 0; I < Pausing; ++I) {
      P.m_Fleet->setHeaders(I, "");
      P.m_Fleet->setRejecting(I, false);
    }
    std::this_thread::sleep_for(1s);
  }
  const auto Arrivals = P.m_Fleet->arrivals();
  std::size_t Asked = 0;
  for (const Arrival &Each : Arrivals)
    if (Each.m_IsRejected) {
      ++Asked;
      CHECK(P.arrivals(Each.m_Index, Each.m_At + Grace, Each.m_At + Pause) <=
            2);
    }
  CHECK(Asked >= MinAsked);
  P.m_Load->finish();
}
