// Requests with one part in their prompts crash every engine that begins an
// answer on them, while sound requests share their other parts. Guards against
// gateways that blame the engine, send such a request to the next one and know
// nothing of the crash when another one comes.
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

// Sound callers ask about one of these subjects.
constexpr std::uint64_t SubjectCount = 12;
constexpr const char *SystemPart = "5e";
constexpr std::size_t MaxSentAfterFifthCrash = 3;
// Time in which what one gateway knows reaches all of them.
constexpr auto StableWindow = 3s;

struct Scenario {
  const char *m_Name;
  FleetOptions m_Fleet;
  // Parts that crash engines, each sent at this rate.
  std::vector<std::string> m_Crashing;
  double m_CrashingPerSecond = 0.0;
  // The crashing part is the first one of its prompts.
  bool m_CrashesFirst = false;
  // A gateway is killed and another one paused meanwhile.
  bool m_GatewaysFail = false;
};

std::string subject(Random &Generator) {
  return fmt::format("a{}", uniform(Generator, 0, SubjectCount - 1));
}

std::vector<std::string> soundParts(Random &Generator) {
  return {SystemPart, subject(Generator)};
}

std::vector<CallerKind> callers(const Scenario &Played) {
  std::vector<CallerKind> Kinds = {{30.0, true, soundParts},
                                   {8.0, false, soundParts}};
  for (const std::string &Part : Played.m_Crashing)
    for (const bool IsStream : {true, false})
      Kinds.push_back({Played.m_CrashingPerSecond / 2, IsStream,
                       [Part, First = Played.m_CrashesFirst](Random &R) {
                         const std::string Sound = subject(R);
                         return First ? std::vector{Part, Sound}
                                      : std::vector{std::string(SystemPart),
                                                    Part, Sound};
                       }});
  return Kinds;
}

// Requests with the part that engines received later than the stable window
// after the fifth crash.
std::size_t sentAfterFifthCrash(const EngineFleet &Fleet,
                                const std::string &Part) {
  std::vector<Clock::time_point> Crashes;
  for (const Crash &Each : Fleet.crashes())
    if (Each.m_Cause == Part)
      Crashes.push_back(Each.m_At);
  if (Crashes.size() < 5)
    return 0;
  const auto Arrivals = Fleet.arrivals();
  return static_cast<std::size_t>(
      std::count_if(Arrivals.begin(), Arrivals.end(), [&](const Arrival &A) {
        return A.m_At > Crashes[4] + StableWindow &&
               std::count(A.m_Parts.begin(), A.m_Parts.end(), Part) > 0;
      }));
}

// When sound requests have to be served again: two stable windows after the
// fifth crash, or the last one if there are fewer.
Clock::time_point settledAt(const EngineFleet &Fleet) {
  const auto Crashes = Fleet.crashes();
  if (Crashes.empty())
    return Clock::now();
  return Crashes[std::min<std::size_t>(Crashes.size(), 5) - 1].m_At +
         2 * StableWindow;
}

// Fraction of the sound requests sent after the time that were answered.
double soundAnswered(const std::deque<CallRecord> &Records,
                     Clock::time_point After) {
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  for (const CallRecord &Each : Records) {
    if (Each.m_Kind > 1 || Each.m_SentAt < After)
      continue;
    ++Sent;
    Answered += isWhole(Each) ? 1 : 0;
  }
  return Sent == 0 ? 0.0
                   : static_cast<double>(Answered) / static_cast<double>(Sent);
}

void play(Scenario Played, int Octet) {
  INFO(Played.m_Name);
  GatewayDeployment Gateways(Octet, 4);
  Gateways.start();
  FleetOptions Options = Played.m_Fleet;
  Options.m_Network = Gateways.engineNetwork();
  Options.m_Voter = Gateways.voter();
  Options.m_CrashingParts = {Played.m_Crashing.begin(),
                             Played.m_Crashing.end()};
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  std::vector<HttpTarget> Targets;
  // Callers stay away from the gateways that fail.
  for (unsigned I = Played.m_GatewaysFail ? 2 : 0; I < 4; ++I)
    Targets.push_back(Gateways.gateway(I));
  // Sound requests alone, then with the others.
  CallerLoad Before(Targets, callers({"", {}, {}}), 3);
  const auto Begun = Clock::now();
  Before.start();
  std::this_thread::sleep_for(3s);
  const double Usual = soundAnswered(Before.finish(), Begun);
  CHECK(Usual > 0.9);
  CallerLoad Load(Targets, callers(Played), 5);
  Load.start();
  std::this_thread::sleep_for(4s);
  if (Played.m_GatewaysFail) {
    Gateways.signalGateway(0, SIGKILL);
    Gateways.signalGateway(1, SIGSTOP);
    std::this_thread::sleep_for(1s);
    Gateways.startGateway(0);
    Fleet.endEngine(0);
    std::this_thread::sleep_for(3s);
    Gateways.signalGateway(1, SIGCONT);
  }
  std::this_thread::sleep_for(22s);
  // A late crash is followed by enough sound requests, too.
  const auto Latest = Clock::now() + 40s;
  while (Clock::now() < settledAt(Fleet) + 3s && Clock::now() < Latest)
    std::this_thread::sleep_for(100ms);
  const auto &Records = Load.finish();
  const auto Crashes = Fleet.crashes();
  for (const std::string &Part : Played.m_Crashing) {
    const auto Count =
        std::count_if(Crashes.begin(), Crashes.end(),
                      [&](const Crash &Each) { return Each.m_Cause == Part; });
    INFO("part " << Part << ", crashes " << Count);
    CHECK(sentAfterFifthCrash(Fleet, Part) <= MaxSentAfterFifthCrash);
    CHECK(Count > 0);
  }
  const auto Settled = settledAt(Fleet);
  INFO("crashes in all " << Crashes.size() << ", usual share " << Usual);
  CHECK(soundAnswered(Records, Settled) >= 0.5 * Usual);
  // An answer that a crash cut short never looks complete.
  CHECK(
      std::count_if(Records.begin(), Records.end(), [](const CallRecord &Each) {
        return isAnswered(Each) && !isWhole(Each);
      }) == 0);
}

FleetOptions rankGroup() {
  FleetOptions Options;
  Options.m_Grouped = true;
  return Options;
}

FleetOptions unframed() {
  FleetOptions Options;
  Options.m_Unframed = true;
  return Options;
}

} // namespace

TEST_CASE("a part that crashes a rank group is kept from it, sound requests "
          "that share its other parts are served") {
  play({"one part, several a second", rankGroup(), {"bad"}, 4.0}, 91);
}

TEST_CASE("a rare crashing part at the start of prompts is kept from engines") {
  play({"first part, one in two seconds", {}, {"bad"}, 0.5, true}, 92);
}

TEST_CASE("two crashing parts at once are kept from engines whose answers end "
          "with their connections") {
  play({"two parts, unframed", unframed(), {"bad1", "bad2"}, 2.0}, 93);
}

TEST_CASE("a crashing part is kept from engines while gateways are killed and "
          "paused and another engine ends") {
  play({"gateways fail", {}, {"bad"}, 2.0, false, true}, 94);
}
