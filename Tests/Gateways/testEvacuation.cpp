// A zone of three is evacuated while callers send requests, the gateway is
// killed and started again, and so are voter and gateway together, as when the
// power is lost. Guards against gateways that forget an evacuation at a start,
// and against voters whose last snapshot, older than the evacuation, is all
// that a gateway gets.
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

// An order reaches the gateways within one push.
constexpr auto MaxPush = 100ms;
// Voters take a snapshot after 64 entries.
constexpr unsigned VersionsPerSnapshot = 70;

unsigned order(const GatewayDeployment &To, const std::string &Method,
               const std::string &Zone, const std::string &Body = {}) {
  return call(To.voter(),
              {Method, "/evacuations/" + Zone, {{"Host", "voter"}}, Body, {}})
      .m_Head.m_Status;
}

// Engines 1 and 4 are in zone z1.
std::ptrdiff_t arrivalsInZone(const EngineFleet &Fleet,
                              Clock::time_point From) {
  const auto All = Fleet.arrivals();
  return std::count_if(All.begin(), All.end(), [&](const Arrival &Each) {
    return Each.m_Index % 3 == 1 && Each.m_At > From;
  });
}

} // namespace

TEST_CASE("an evacuated zone gets no requests until the withdrawal, whichever "
          "process is restarted") {
  GatewayDeployment D(73, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  EngineFleet Fleet(Options);
  Fleet.start();
  for (unsigned Version = 2; Version <= VersionsPerSnapshot; ++Version)
    D.configure(Version);
  CallerLoad Load({D.gateway(0)}, {{40.0, true, {}}, {40.0, false, {}}}, 11);
  const auto Begun = Clock::now();
  Load.start();
  std::this_thread::sleep_for(2s);
  CHECK(arrivalsInZone(Fleet, Begun) > 0);
  CHECK(order(D, "POST", "z9") == 404);
  CHECK(order(D, "POST", "z1", "{}") == 400);
  CHECK(order(D, "PUT", "z1") == 405);

  REQUIRE(order(D, "POST", "z1") == 200);
  const auto Evacuated = Clock::now();
  std::this_thread::sleep_for(2s);
  CHECK(order(D, "POST", "z1") == 200);
  const auto Killed = Clock::now();
  D.signalGateway(0, SIGKILL);
  D.startGateway(0);
  D.waitUntilReady(0);
  std::this_thread::sleep_for(2s);

  D.signalGateway(0, SIGKILL);
  D.killVoter();
  D.startVoter();
  D.startGateway(0);
  D.waitUntilReady(0);
  std::this_thread::sleep_for(3s);
  CHECK(arrivalsInZone(Fleet, Evacuated + MaxPush) == 0);

  REQUIRE(order(D, "DELETE", "z1") == 200);
  const auto Withdrawn = Clock::now();
  std::this_thread::sleep_for(2s);
  CHECK(arrivalsInZone(Fleet, Withdrawn) > 0);
  CHECK(order(D, "DELETE", "z1") == 200);
  for (const CallRecord &Each : Load.finish())
    if (Each.m_SentAt > Evacuated && Each.m_SentAt < Killed - 1s)
      CHECK(Each.m_Status == 200);
}
