// One request crashes every engine that runs it and comes again under new IDs,
// at any gateway. Guards against gateways that blame the engine, send the
// request to the next one and don't recognize it when it comes again, and
// against sound requests that are held back because they were at a crash.
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

constexpr std::size_t MaxSentAfterThirdCrash = 3;
// Time in which what one gateway knows reaches all of them.
constexpr auto StableWindow = 3s;
constexpr auto PlayTime = 26s;
// A second crashing body, of requests that aren't idempotent.
constexpr const char *Bad = "bad";
constexpr const char *BadUnsafe = "bad unsafe";
// Bodies that many sound requests have.
constexpr std::uint64_t PopularBodies = 5;

// Kinds 0 to 3 of callers(): sound streams and plain requests.
constexpr std::size_t SoundKinds = 4;

struct Scenario {
  const char *m_Name;
  FleetOptions m_Fleet;
  // Requests a second with each of the crashing bodies.
  double m_CrashingPerSecond = 0.0;
  bool m_CrashesAsStream = false;
  // A second crashing request comes as often.
  bool m_CrashesUnsafe = false;
  // Callers send a request that wasn't answered again, so often.
  unsigned m_Retries = 0;
  // Another engine ends at this interval; zero: none.
  std::chrono::milliseconds m_OtherEnds{0};
  // A gateway is killed and another one paused meanwhile.
  bool m_GatewaysFail = false;
};

std::vector<CallerKind> callers(const Scenario &Played) {
  const auto Own = [](Random &R) { return fmt::format("body {:x}", R()); };
  const auto Popular = [](Random &R) {
    return fmt::format("popular {}", uniform(R, 0, PopularBodies - 1));
  };
  const unsigned Retries = Played.m_Retries;
  std::vector<CallerKind> Kinds = {{10.0, true, {}, Own, false, Retries},
                                   {15.0, false, {}, Own, false, Retries},
                                   {10.0, false, {}, Popular, false, Retries},
                                   {5.0, false, {}, Own, true, 0}};
  const double Rate = Played.m_CrashingPerSecond;
  if (Rate > 0.0)
    Kinds.push_back({Rate,
                     Played.m_CrashesAsStream,
                     {},
                     [](Random &) { return std::string(Bad); },
                     false,
                     Retries});
  if (Played.m_CrashesUnsafe)
    Kinds.push_back({Rate,
                     false,
                     {},
                     [](Random &) { return std::string(BadUnsafe); },
                     true,
                     0});
  return Kinds;
}

std::vector<Clock::time_point> crashTimes(const EngineFleet &Fleet,
                                          const std::string &Body) {
  std::vector<Clock::time_point> Times;
  for (const Crash &Each : Fleet.crashes())
    if (Each.m_Cause == Body)
      Times.push_back(Each.m_At);
  return Times;
}

// Requests with the body that engines received later than the stable window
// after its third crash.
std::size_t sentAfterThirdCrash(const EngineFleet &Fleet,
                                const std::string &Body) {
  const auto Crashes = crashTimes(Fleet, Body);
  if (Crashes.size() < 3)
    return 0;
  const auto Arrivals = Fleet.arrivals();
  return static_cast<std::size_t>(
      std::count_if(Arrivals.begin(), Arrivals.end(), [&](const Arrival &A) {
        return A.m_At > Crashes[2] + StableWindow && A.m_Body == Body;
      }));
}

// When sound requests have to be served again: two stable windows after the
// latest third crash, or after the first one if none has a third.
Clock::time_point settledAt(const EngineFleet &Fleet) {
  Clock::time_point From = Fleet.crashes().front().m_At;
  for (const char *Body : {Bad, BadUnsafe})
    if (const auto Crashes = crashTimes(Fleet, Body); Crashes.size() >= 3)
      From = std::max(From, Crashes[2]);
  return From + 2 * StableWindow;
}

struct SoundRequests {
  std::size_t m_Sent = 0;
  std::size_t m_Answered = 0;
};

SoundRequests countSound(const std::deque<CallRecord> &Records,
                         Clock::time_point After, std::size_t FirstKind = 0) {
  SoundRequests Count;
  for (const CallRecord &Each : Records)
    if (Each.m_Kind >= FirstKind && Each.m_Kind < SoundKinds &&
        Each.m_SentAt >= After) {
      ++Count.m_Sent;
      Count.m_Answered += isWhole(Each) ? 1 : 0;
    }
  return Count;
}

// Fails if a call that a crash cut short looks complete.
void checkNoneCutShort(const std::deque<CallRecord> &Records) {
  CHECK(
      std::count_if(Records.begin(), Records.end(), [](const CallRecord &Each) {
        return isAnswered(Each) && !isWhole(Each);
      }) == 0);
}

struct Deployment {
  Deployment(FleetOptions Options, int Octet) : m_Gateways(Octet, 4) {
    m_Gateways.start();
    Options.m_Network = m_Gateways.engineNetwork();
    Options.m_Voter = m_Gateways.voter();
    Options.m_CrashingBodies = {Bad, BadUnsafe};
    m_Fleet = std::make_unique<EngineFleet>(Options);
    m_Fleet->start();
    std::this_thread::sleep_for(1s);
  }

  // Callers stay away from the first two gateways if these fail.
  std::vector<HttpTarget> targets(bool GatewaysFail) const {
    std::vector<HttpTarget> Targets;
    for (unsigned I = GatewaysFail ? 2 : 0; I < 4; ++I)
      Targets.push_back(m_Gateways.gateway(I));
    return Targets;
  }

  void failGateways() {
    std::this_thread::sleep_for(4s);
    m_Gateways.signalGateway(0, SIGKILL);
    m_Gateways.signalGateway(1, SIGSTOP);
    std::this_thread::sleep_for(1s);
    m_Gateways.startGateway(0);
    std::this_thread::sleep_for(3s);
    m_Gateways.signalGateway(1, SIGCONT);
  }

  GatewayDeployment m_Gateways;
  std::unique_ptr<EngineFleet> m_Fleet;
};

const std::deque<CallRecord> &play(const Scenario &Played, Deployment &On,
                                   CallerLoad &Load) {
  Load.start();
  const auto Until = Clock::now() + PlayTime;
  if (Played.m_GatewaysFail)
    On.failGateways();
  for (unsigned I = 0; Clock::now() < Until; ++I) {
    if (Played.m_OtherEnds > 0ms)
      On.m_Fleet->endEngine(I % Played.m_Fleet.m_Engines);
    std::this_thread::sleep_for(
        std::max(Played.m_OtherEnds, std::chrono::milliseconds(500)));
  }
  return Load.finish();
}

void checkHeldBack(const Scenario &Played, int Octet) {
  INFO(Played.m_Name);
  Deployment On(Played.m_Fleet, Octet);
  CallerLoad Load(On.targets(Played.m_GatewaysFail), callers(Played), 5);
  const auto &Records = play(Played, On, Load);
  for (const char *Body : {Bad, BadUnsafe}) {
    if (Body == BadUnsafe && !Played.m_CrashesUnsafe)
      continue;
    const auto Crashes = crashTimes(*On.m_Fleet, Body);
    INFO(Body << ", crashes " << Crashes.size());
    CHECK_FALSE(Crashes.empty());
    CHECK(sentAfterThirdCrash(*On.m_Fleet, Body) <= MaxSentAfterThirdCrash);
  }
  const SoundRequests Sound = countSound(Records, settledAt(*On.m_Fleet));
  INFO("crashes in all " << On.m_Fleet->crashes().size() << ", sound answered "
                         << Sound.m_Answered << " of " << Sound.m_Sent);
  CHECK(Sound.m_Answered >= 0.9 * static_cast<double>(Sound.m_Sent));
  checkNoneCutShort(Records);
}

} // namespace

TEST_CASE("two requests that crash engines, several a second, are kept from "
          "them, sound ones are served",
          "[request]") {
  checkHeldBack({"frequent", {}, 2.0, false, true, 2}, 81);
}

TEST_CASE("a rare request that crashes engines is kept from them",
          "[request]") {
  checkHeldBack({"rare", {}, 0.4}, 82);
}

TEST_CASE("a stream that crashes a rank group is kept from it", "[request]") {
  FleetOptions Grouped;
  Grouped.m_Grouped = true;
  checkHeldBack({"rank group", Grouped, 1.0, true}, 83);
}

TEST_CASE("a request that crashes engines is kept from them while other "
          "engines end",
          "[request]") {
  checkHeldBack({"others end", {}, 1.0, false, false, 1, 3000ms}, 84);
}

TEST_CASE("requests that crash engines are kept from them while gateways are "
          "killed and paused and answers end with their connections",
          "[request]") {
  FleetOptions Unframed;
  Unframed.m_Unframed = true;
  checkHeldBack({"gateways fail", Unframed, 2.0, false, true, 1, 0ms, true},
                85);
}

TEST_CASE("two requests that crash all of a few engines at once are kept from "
          "them",
          "[request]") {
  FleetOptions Few;
  Few.m_Engines = 3;
  Few.m_Restart = 3000ms;
  checkHeldBack({"few engines", Few, 2.0, false, true, 2}, 86);
}

// Guards against evidence that is too quick: the failover after a lost engine
// serves every request, and none of them may be held back.
TEST_CASE("requests that were at crashes with other causes are served",
          "[request]") {
  Scenario Played{"only others end", {}};
  Played.m_Retries = 1;
  Played.m_OtherEnds = 3000ms;
  Deployment On({}, 87);
  CallerLoad Load(On.targets(false), callers(Played), 5);
  const auto &Records = play(Played, On, Load);
  // Requests that aren't idempotent are sent once, so a crash ends them.
  const SoundRequests Unsafe = countSound(Records, {}, 3);
  const SoundRequests All = countSound(Records, {});
  INFO("answered " << All.m_Answered << " of " << All.m_Sent
                   << ", not idempotent " << Unsafe.m_Answered << " of "
                   << Unsafe.m_Sent);
  CHECK(All.m_Answered - Unsafe.m_Answered == All.m_Sent - Unsafe.m_Sent);
  CHECK(Unsafe.m_Answered >= 0.95 * static_cast<double>(Unsafe.m_Sent));
  checkNoneCutShort(Records);
  for (unsigned I = 0; I < 4; ++I)
    CHECK(On.m_Gateways.log(I).find("\"event\":4106") == std::string::npos);
}

// Guards against machines that stand still and are taken for servers that the
// requests there have ended: what comes again, or shares a part of its prompt,
// would be held back for it.
TEST_CASE("requests at machines that stand still for a while are not held back",
          "[request]") {
  Scenario Played{"machines stand still", {}};
  Played.m_Retries = 1;
  std::vector<CallerKind> Kinds = callers(Played);
  // Each subject comes a few times.
  Kinds[0].m_Parts = [Count = 0U](Random &) mutable {
    return std::vector<std::string>{"5e", fmt::format("a{}", ++Count / 4)};
  };
  Deployment On({}, 88);
  CallerLoad Load(On.targets(false), Kinds, 5);
  Load.start();
  for (int Round = 0; Round < 4; ++Round) {
    std::this_thread::sleep_for(2s);
    for (const unsigned I : {0, 1})
      On.m_Fleet->setFrozen(I, true);
    std::this_thread::sleep_for(4s);
    for (const unsigned I : {0, 1})
      On.m_Fleet->setFrozen(I, false);
  }
  const auto &Records = Load.finish();
  const SoundRequests All = countSound(Records, {});
  INFO("answered " << All.m_Answered << " of " << All.m_Sent);
  CHECK(All.m_Answered >= 0.95 * static_cast<double>(All.m_Sent));
  checkNoneCutShort(Records);
  for (unsigned I = 0; I < 4; ++I)
    CHECK(On.m_Gateways.log(I).find("\"event\":4106") == std::string::npos);
}
