// Answers that break off: streams that go on at an engine that fails, and heads
// that end in the middle. Guards against the text of a failure in the middle of
// a stream, and against answers that end as complete after a part of their
// events or of their body.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

TEST_CASE("a stream that goes on at a failing engine ends as broken") {
  const unsigned Status = GENERATE(204U, 404U, 500U, 503U);
  INFO("status " << Status);
  GatewayDeployment D(74, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  Options.m_Engines = 3;
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  CallerLoad Load({D.gateway(0)}, {{40.0, true, {}}}, 11);
  Load.start();
  std::this_thread::sleep_for(1s);
  // From here on, streams at the first engine break and find no other one.
  Fleet.setFailing(1, Status);
  Fleet.setFailing(2, Status);
  for (int Break = 0; Break < 2; ++Break) {
    std::this_thread::sleep_for(200ms);
    Fleet.endEngine(0);
    std::this_thread::sleep_for(2s);
  }
  const auto &Records = Load.finish();
  const auto Whole = std::find_if(Records.begin(), Records.end(), isWhole);
  REQUIRE(Whole != Records.end());
  std::size_t Broken = 0;
  for (const CallRecord &Each : Records) {
    if (Each.m_Status != 200)
      continue;
    CHECK(Whole->m_Body.starts_with(Each.m_Body));
    if (!isWhole(Each)) {
      CHECK_FALSE(Each.m_Ended);
      ++Broken;
    }
  }
  CHECK(Broken > 0);
}

// Guards against an engine that has started again and is taken for the run that
// crashed: streams of that run ended as complete after a part of their events.
TEST_CASE("a stream whose engine starts again while the gateway is suspended "
          "isn't whole") {
  const bool ReportsStart = GENERATE(false, true);
  CAPTURE(ReportsStart);
  GatewayDeployment D(111, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  Options.m_Engines = 2;
  Options.m_Unframed = true;
  Options.m_KeepsNames = true;
  Options.m_ReportsStart = ReportsStart;
  Options.m_Restart = 300ms;
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  CallerLoad Load({D.gateway(0)}, {{30.0, true, {}}}, 11);
  Load.start();
  for (int Round = 0; Round < 3; ++Round) {
    std::this_thread::sleep_for(2500ms);
    D.signalGateway(0, SIGSTOP);
    std::this_thread::sleep_for(100ms);
    Fleet.endEngine(0);
    std::this_thread::sleep_for(1000ms);
    D.signalGateway(0, SIGCONT);
  }
  std::this_thread::sleep_for(2500ms);
  const auto &Records = Load.finish();
  const auto Answered =
      std::count_if(Records.begin(), Records.end(), isAnswered);
  const auto Whole = std::count_if(Records.begin(), Records.end(), isWhole);
  CHECK(Answered == Whole);
  CHECK(Whole * 2 > static_cast<std::ptrdiff_t>(Records.size()));
}

// Guards against a success that is made up from the beginning of a head.
TEST_CASE("an engine that closes in the middle of its heads gives no success") {
  const bool Unframed = GENERATE(false, true);
  CAPTURE(Unframed);
  GatewayDeployment D(78, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  Options.m_Engines = 2;
  Options.m_Unframed = Unframed;
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  CallerKind Unsafe;
  Unsafe.m_PerSecond = 20.0;
  Unsafe.m_IsUnsafe = true;
  CallerLoad Load({D.gateway(0)}, {{20.0, true, {}}, {20.0, false, {}}, Unsafe},
                  12);
  Load.start();
  // The other engine stays sound, so that retries find one. The last headers
  // tell how the body is framed.
  for (std::size_t Bytes = 1; Bytes < 140; Bytes += 4) {
    Fleet.setHeadBytes(0, Bytes);
    std::this_thread::sleep_for(100ms);
  }
  std::size_t Whole = 0;
  std::size_t Failed = 0;
  for (const CallRecord &Each : Load.finish()) {
    CAPTURE(Each.m_Kind, Each.m_Status, Each.m_Body);
    if (isAnswered(Each))
      CHECK(isWhole(Each));
    (isWhole(Each) ? Whole : Failed) += 1;
  }
  CHECK(Whole > 0);
  CHECK(Failed > 0);
}
