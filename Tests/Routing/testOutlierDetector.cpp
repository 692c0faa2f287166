// Tests which servers are ejected, how many at once, and how they are
// reinstated.
#include "Routing/OutlierDetector.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

// Ten calls of 100 tokens at each server, all at the same speed.
OutlierDetector healthy(std::uint64_t Count) {
  OutlierDetector State;
  for (std::uint64_t Server = 0; Server < Count; ++Server)
    for (int Call = 0; Call < 10; ++Call) {
      recordStart(State, Server, Start);
      recordEnd(State, Server, false, 3s, 100, {}, Start);
    }
  return State;
}

void addCalls(OutlierDetector &State, std::uint64_t Server, bool Failed,
              Duration Time) {
  for (int Call = 0; Call < 20; ++Call) {
    recordStart(State, Server, Start);
    recordEnd(State, Server, Failed, Time, 100, {}, Start);
  }
}

// Adds a call to each server whose last progress was the given time ago.
void addStalledCalls(OutlierDetector &State, std::uint64_t First,
                     std::uint64_t End, Duration For) {
  for (std::uint64_t Server = First; Server < End; ++Server) {
    recordStart(State, Server, Start - For);
    recordProgress(State, Server, Start - For);
  }
}

std::string causes(const std::vector<EjectionChange> &Changes) {
  std::string Text;
  for (const EjectionChange &Each : Changes)
    Text += std::to_string(Each.m_BackendServer) + " " +
            std::string(toString(Each.m_Cause)) + ";";
  return Text;
}

} // namespace

TEST_CASE("servers are compared with their peers") {
  struct Row {
    const char *m_Case;
    std::uint64_t m_Servers;
    void (*m_Fault)(OutlierDetector &);
    const char *m_Expected;
  };
  const Row Rows[] = {
      {"all healthy", 12, [](auto &) {}, ""},
      {"a tenth of the speed", 12, [](auto &S) { addCalls(S, 4, false, 30s); },
       "4 slow;"},
      {"half of the speed is tolerated", 12,
       [](auto &S) { addCalls(S, 4, false, 6s); }, ""},
      {"all slow: the workload changed", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 12; ++Server)
           addCalls(S, Server, false, 30s);
       },
       ""},
      {"failing", 12, [](auto &S) { addCalls(S, 2, true, 0s); }, "2 failing;"},
      {"all failing", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 12; ++Server)
           addCalls(S, Server, true, 0s);
       },
       ""},
      {"one stalls, the others make progress", 12,
       [](auto &S) {
         addStalledCalls(S, 0, 11, 10ms);
         addStalledCalls(S, 11, 12, 4s);
       },
       "11 stalled;"},
      {"the only one with work stalls", 12,
       [](auto &S) { addStalledCalls(S, 3, 4, 4s); }, "3 stalled;"},
      {"all stall: the observer was suspended", 12,
       [](auto &S) { addStalledCalls(S, 0, 12, 4s); }, ""},
      {"a pause below the stall timeout", 12,
       [](auto &S) { addStalledCalls(S, 3, 4, 2900ms); }, ""},
      {"at most a quarter, the worst first", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 5; ++Server)
           addCalls(S, Server, false, 20s + Server * 1s);
       },
       "4 slow;3 slow;2 slow;"},
      {"one of two", 2, [](auto &S) { addCalls(S, 1, true, 0s); },
       "1 failing;"},
      {"the only server is never ejected", 1,
       [](auto &S) { addStalledCalls(S, 0, 1, 9s); }, ""}};
  for (const Row &Each : Rows) {
    OutlierDetector State = healthy(Each.m_Servers);
    Each.m_Fault(State);
    CAPTURE(Each.m_Case);
    CHECK(causes(updateEjections(State, {}, Start)) == Each.m_Expected);
    const auto Ejected =
        std::count_if(State.m_Servers.begin(), State.m_Servers.end(),
                      [&](const auto &Server) {
                        return isEjected(State, Server.first, Start);
                      });
    CHECK(Ejected <= std::max<std::int64_t>(1, Each.m_Servers / 4));
  }
}

TEST_CASE("few observations or cancelled calls cause no ejection") {
  OutlierDetector State = healthy(12);
  recordStart(State, 20, Start);
  recordEnd(State, 20, true, 0s, 0, {}, Start);
  addCalls(State, 3, false, 3s);
  recordStart(State, 3, Start);
  recordEnd(State, 3, false, 100s, 0, {}, Start);
  CHECK(updateEjections(State, {}, Start).empty());
}

TEST_CASE("traffic ramps up after an ejection, and ejections get longer") {
  const OutlierDetectorOptions Options;
  OutlierDetector State = healthy(12);
  CHECK(trafficShare(State, 4, Options, Start) == 1.0);
  TimePoint Now = Start;
  Duration Time = Options.m_BaseEjectionTime;
  for (int Round = 0; Round < 8; ++Round) {
    addCalls(State, 4, false, 30s);
    REQUIRE(causes(updateEjections(State, Options, Now)) == "4 slow;");
    CHECK(updateEjections(State, Options, Now + Time - 1us).empty());
    CHECK(isEjected(State, 4, Now + Time - 1us));
    CHECK_FALSE(isEjected(State, 4, Now + Time));
    Now += Time;
    CHECK(trafficShare(State, 4, Options, Now) == Options.m_InitialShare);
    CHECK(trafficShare(State, 4, Options, Now + Options.m_RampTime / 2) ==
          Approx(0.55));
    CHECK(trafficShare(State, 4, Options, Now + Options.m_RampTime) == 1.0);
    CHECK(causes(updateEjections(State, Options, Now)) == "4 none;");
    Time = std::min<Duration>(Time * 2, Options.m_MaxEjectionTime);
  }
  Now += Options.m_BackoffResetTime;
  addCalls(State, 4, false, 30s);
  CHECK(updateEjections(State, Options, Now)[0].m_Until ==
        Now + Options.m_BaseEjectionTime);
}

TEST_CASE("a reinstated server is ejected after one more failure") {
  for (const bool FailsAgain : {true, false}) {
    OutlierDetector State = healthy(12);
    addCalls(State, 2, true, 0s);
    REQUIRE(causes(updateEjections(State, {}, Start)) == "2 failing;");
    const TimePoint Back = Start + OutlierDetectorOptions().m_BaseEjectionTime;
    updateEjections(State, {}, Back);
    recordStart(State, 2, Back);
    recordEnd(State, 2, FailsAgain, 3s, 100, {}, Back);
    CHECK(causes(updateEjections(State, {}, Back)) ==
          (FailsAgain ? "2 failing;" : ""));
  }
}
