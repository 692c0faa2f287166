// Engines that are cold, before several gateways as processes. Guards against
// parts of the allowance that the model of testColdAllowance has and the
// gateways don't: the common list, the time of the next permit, announcements.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 14.0;
// Rate x 1.5 + 5, see docs/design/README.md.
constexpr std::size_t MaxInSecond = 26;
constexpr unsigned Engines = 4;

std::vector<Clock::time_point> arrivalsAt(const std::vector<Arrival> &All,
                                          unsigned Engine,
                                          Clock::time_point From,
                                          Clock::time_point To) {
  std::vector<Clock::time_point> Times;
  for (const Arrival &Each : All)
    if (Each.m_Index == Engine && Each.m_At >= From && Each.m_At < To)
      Times.push_back(Each.m_At);
  return Times;
}

std::size_t mostInSecond(const std::vector<Clock::time_point> &Times) {
  std::size_t Most = 0;
  for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= 1s)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

// Requests per second, as the mean of spans that begin at all times within one
// window of the permits. A permit is used once a window, so the count of one
// span depends on where it begins.
double meanPerSecond(const std::vector<Clock::time_point> &Times,
                     Clock::time_point From, Clock::time_point To) {
  constexpr auto Window = 1010ms;
  constexpr auto Step = 10ms;
  const auto Span = To - From - Window;
  std::size_t Requests = 0;
  double Seconds = 0.0;
  for (auto Offset = 0ms; Offset < Window; Offset += Step) {
    Requests += static_cast<std::size_t>(
        std::count_if(Times.begin(), Times.end(), [&](Clock::time_point Each) {
          return Each >= From + Offset && Each < From + Offset + Span;
        }));
    Seconds += std::chrono::duration<double>(Span).count();
  }
  return static_cast<double>(Requests) / Seconds;
}

// Four gateways with more requests than cold engines take.
struct ColdPlay {
  explicit ColdPlay(int Octet) : m_Gateways(Octet, 4) {
    m_Gateways.setColdRate(Rate);
    m_Gateways.start();
    FleetOptions Options = fleetOptionsFor(m_Gateways);
    Options.m_Engines = Engines;
    Options.m_Events = 5;
    m_Fleet = std::make_unique<EngineFleet>(Options);
    m_Fleet->start();
    std::vector<HttpTarget> Targets;
    for (unsigned I = 0; I < m_Gateways.gatewayCount(); ++I)
      Targets.push_back(m_Gateways.gateway(I));
    m_Load = std::make_unique<CallerLoad>(
        Targets, std::vector<CallerKind>{{110.0, true, {}, {}}}, 5);
    // The list of the gateways is common 2 s after the last one has started.
    std::this_thread::sleep_for(4s);
    m_Load->start();
    std::this_thread::sleep_for(2s);
  }

  GatewayDeployment m_Gateways;
  std::unique_ptr<EngineFleet> m_Fleet;
  std::unique_ptr<CallerLoad> m_Load;
};

} // namespace

TEST_CASE("cold servers get their rate and no more while callers wait",
          "[cold]") {
  ColdPlay Play(97);
  for (unsigned I = 0; I < Engines; ++I)
    Play.m_Fleet->setCold(I, 30s);
  // Announced, and in force at all gateways.
  std::this_thread::sleep_for(2s);
  const auto Known = Clock::now();
  std::this_thread::sleep_for(15s);
  const auto Ended = Clock::now();
  Play.m_Load->finish();
  for (unsigned I = 0; I < Engines; ++I) {
    INFO("engine " << I);
    const auto Times = arrivalsAt(Play.m_Fleet->arrivals(), I, Known, Ended);
    CHECK(mostInSecond(Times) <= MaxInSecond);
    CHECK(meanPerSecond(Times, Known, Ended) >= 0.9 * Rate);
  }
}

TEST_CASE("a server that becomes cold without a word gets no burst", "[cold]") {
  ColdPlay Play(98);
  for (int Round = 0; Round < 4; ++Round) {
    const auto Cold = Clock::now();
    for (unsigned I = 0; I < Engines; ++I)
      Play.m_Fleet->setHeaders(I, "X-Mangocart-Cold-Ms: 2000\r\n");
    std::this_thread::sleep_for(2s);
    const auto Arrivals = Play.m_Fleet->arrivals();
    for (unsigned I = 0; I < Engines; ++I) {
      INFO("round " << Round << ", engine " << I);
      const auto Times = arrivalsAt(Arrivals, I, Cold, Clock::now());
      CHECK(!Times.empty());
      CHECK(mostInSecond(Times) <= MaxInSecond);
      Play.m_Fleet->setHeaders(I, "");
    }
    std::this_thread::sleep_for(4s);
  }
  Play.m_Load->finish();
}
