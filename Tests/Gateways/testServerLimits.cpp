// Engines that name in their answers how many requests a second they take from
// all gateways together. Guards against gateways that don't read it, or each
// take the whole limit for themselves, so that a server in need gets far more.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr auto StableWindow = 3s;
constexpr auto LimitWindow = 4s;

std::vector<CallerKind> callers(double PerSecond) {
  const auto Parts = [](Random &R) {
    return std::vector{std::string("5e"),
                       fmt::format("a{}", uniform(R, 0, 11))};
  };
  return {{PerSecond * 0.8, true, Parts}, {PerSecond * 0.2, false, Parts}};
}

// The most requests that the engine got in any span of the window's length
// between the two times.
std::size_t mostInWindow(const std::vector<Arrival> &Arrivals, unsigned Engine,
                         Clock::time_point From, Clock::time_point To) {
  std::vector<Clock::time_point> Times;
  for (const Arrival &Each : Arrivals)
    if (Each.m_Index == Engine && Each.m_At >= From && Each.m_At < To)
      Times.push_back(Each.m_At);
  std::size_t Most = 0;
  for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] > LimitWindow)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

double answered(const std::deque<CallRecord> &Records) {
  const auto Count =
      std::count_if(Records.begin(), Records.end(),
                    [](const CallRecord &Each) { return isAnswered(Each); });
  return static_cast<double>(Count) / static_cast<double>(Records.size());
}

struct LimitCase {
  const char *m_Name;
  unsigned m_Gateways;
  double m_Limit;
  double m_PerSecond;
  // A gateway is killed and started again meanwhile.
  bool m_Restart;
};

void play(const LimitCase &Played, int Octet) {
  INFO(Played.m_Name);
  constexpr unsigned Limited = 4;
  GatewayDeployment Gateways(Octet, Played.m_Gateways);
  Gateways.start();
  FleetOptions Options = fleetOptionsFor(Gateways);
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  std::vector<HttpTarget> Targets;
  // A gateway that is killed gets no requests while it is down.
  for (unsigned I = Played.m_Restart ? 1 : 0; I < Played.m_Gateways; ++I)
    Targets.push_back(Gateways.gateway(I));
  CallerLoad Load(Targets, callers(Played.m_PerSecond), 7);
  Load.start();
  std::this_thread::sleep_for(2s);
  const auto Named = Clock::now();
  for (unsigned I = 0; I < Limited; ++I)
    Fleet.setHeaders(I, fmt::format("Server-Limit: {}\r\n", Played.m_Limit));
  std::this_thread::sleep_for(8s);
  if (Played.m_Restart) {
    Gateways.signalGateway(0, SIGKILL);
    std::this_thread::sleep_for(500ms);
    Gateways.startGateway(0);
  }
  std::this_thread::sleep_for(7s);
  const auto Lifted = Clock::now();
  for (unsigned I = 0; I < Limited; ++I)
    Fleet.setHeaders(I, "");
  std::this_thread::sleep_for(8s);
  const auto Ended = Clock::now();
  const auto &Records = Load.finish();
  const auto Arrivals = Fleet.arrivals();
  const double Allowed = 1.5 * Played.m_Limit * 4 + 5;
  for (unsigned I = 0; I < Limited; ++I) {
    INFO("engine " << I);
    CHECK(static_cast<double>(mostInWindow(Arrivals, I, Named + StableWindow,
                                           Lifted)) <= Allowed);
    // The limit is used, and it ends.
    CHECK(mostInWindow(Arrivals, I, Named + StableWindow, Lifted) >=
          static_cast<std::size_t>(Played.m_Limit));
    CHECK(static_cast<double>(mostInWindow(Arrivals, I, Lifted + StableWindow,
                                           Ended)) > Allowed);
  }
  // The engines without a limit have room for all requests.
  CHECK(answered(Records) > 0.95);
}

} // namespace

TEST_CASE("a server gets no more requests from all gateways than it has named",
          "[limits]") {
  play({"four gateways", 4, 2.0, 60.0, false}, 95);
}

TEST_CASE("a low limit holds for many gateways, one of which starts anew",
          "[limits]") {
  play({"ten gateways", 10, 1.0, 60.0, true}, 96);
}
