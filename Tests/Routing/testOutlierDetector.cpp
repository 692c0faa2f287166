// Which servers are ejected against their peers, how many, and the way back.
#include "Routing/OutlierDetector.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

// Ten calls of 100 tokens at each server, all of the same speed.
Ejection healthy(std::uint64_t Count) {
  Ejection State;
  for (std::uint64_t Server = 0; Server < Count; ++Server)
    for (int Call = 0; Call < 10; ++Call) {
      noteStart(State, Server, Start);
      noteEnd(State, Server, false, 3s, 100, {}, Start);
    }
  return State;
}

void calls(Ejection &State, std::uint64_t Server, bool Failed, Duration Time) {
  for (int Call = 0; Call < 20; ++Call) {
    noteStart(State, Server, Start);
    noteEnd(State, Server, Failed, Time, 100, {}, Start);
  }
}

// Servers with a call that made its last progress some time ago.
void still(Ejection &State, std::uint64_t First, std::uint64_t End,
           Duration For) {
  for (std::uint64_t Server = First; Server < End; ++Server) {
    noteStart(State, Server, Start - For);
    noteProgress(State, Server, Start - For);
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

TEST_CASE("servers are judged against their peers") {
  struct Row {
    const char *m_Case;
    std::uint64_t m_Servers;
    void (*m_Fault)(Ejection &);
    const char *m_Expected;
  };
  const Row Rows[] = {
      {"all healthy", 12, [](auto &) {}, ""},
      {"a tenth of the speed", 12, [](auto &S) { calls(S, 4, false, 30s); },
       "4 slow;"},
      {"twice as slow is borne", 12, [](auto &S) { calls(S, 4, false, 6s); },
       ""},
      {"all slow: the questions changed", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 12; ++Server)
           calls(S, Server, false, 30s);
       },
       ""},
      {"failing", 12, [](auto &S) { calls(S, 2, true, 0s); }, "2 failing;"},
      {"all failing", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 12; ++Server)
           calls(S, Server, true, 0s);
       },
       ""},
      {"one stalls, others go on", 12,
       [](auto &S) {
         still(S, 0, 11, 10ms);
         still(S, 11, 12, 4s);
       },
       "11 stalled;"},
      {"the only one with work stalls", 12, [](auto &S) { still(S, 3, 4, 4s); },
       "3 stalled;"},
      {"all stall: the observer stood still", 12,
       [](auto &S) { still(S, 0, 12, 4s); }, ""},
      {"long thought is no stall", 12, [](auto &S) { still(S, 3, 4, 2900ms); },
       ""},
      {"a quarter at most, the worst first", 12,
       [](auto &S) {
         for (std::uint64_t Server = 0; Server < 5; ++Server)
           calls(S, Server, false, 20s + Server * 1s);
       },
       "4 slow;3 slow;2 slow;"},
      {"one of two", 2, [](auto &S) { calls(S, 1, true, 0s); }, "1 failing;"},
      {"never the only one", 1, [](auto &S) { still(S, 0, 1, 9s); }, ""}};
  for (const Row &Each : Rows) {
    Ejection State = healthy(Each.m_Servers);
    Each.m_Fault(State);
    CAPTURE(Each.m_Case);
    CHECK(causes(judge(State, {}, Start)) == Each.m_Expected);
    const auto Ejected =
        std::count_if(State.m_Servers.begin(), State.m_Servers.end(),
                      [&](const auto &Server) {
                        return isEjected(State, Server.first, Start);
                      });
    CHECK(Ejected <= std::max<std::int64_t>(1, Each.m_Servers / 4));
  }
}

TEST_CASE("few observations and cancelled calls are no ground") {
  Ejection State = healthy(12);
  noteStart(State, 20, Start);
  noteEnd(State, 20, true, 0s, 0, {}, Start);
  calls(State, 3, false, 3s);
  noteStart(State, 3, Start);
  noteEnd(State, 3, false, 100s, 0, {}, Start);
  CHECK(judge(State, {}, Start).empty());
}

TEST_CASE("a server comes back slowly, and later each time") {
  const EjectionOptions Options;
  Ejection State = healthy(12);
  CHECK(returnShare(State, 4, Options, Start) == 1.0);
  TimePoint Now = Start;
  Duration Time = Options.m_BaseTime;
  for (int Round = 0; Round < 8; ++Round) {
    calls(State, 4, false, 30s);
    REQUIRE(causes(judge(State, Options, Now)) == "4 slow;");
    CHECK(judge(State, Options, Now + Time - 1us).empty());
    CHECK(isEjected(State, 4, Now + Time - 1us));
    CHECK_FALSE(isEjected(State, 4, Now + Time));
    Now += Time;
    CHECK(returnShare(State, 4, Options, Now) == Options.m_FirstShare);
    CHECK(returnShare(State, 4, Options, Now + Options.m_RampTime / 2) ==
          Approx(0.55));
    CHECK(returnShare(State, 4, Options, Now + Options.m_RampTime) == 1.0);
    CHECK(causes(judge(State, Options, Now)) == "4 none;");
    Time = std::min<Duration>(Time * 2, Options.m_LongestTime);
  }
  Now += Options.m_ForgiveAfter;
  calls(State, 4, false, 30s);
  CHECK(judge(State, Options, Now)[0].m_Until == Now + Options.m_BaseTime);
}

TEST_CASE("a server that failed is on probation when it comes back") {
  for (const bool FailsAgain : {true, false}) {
    Ejection State = healthy(12);
    calls(State, 2, true, 0s);
    REQUIRE(causes(judge(State, {}, Start)) == "2 failing;");
    const TimePoint Back = Start + EjectionOptions().m_BaseTime;
    judge(State, {}, Back);
    noteStart(State, 2, Back);
    noteEnd(State, 2, FailsAgain, 3s, 100, {}, Back);
    CHECK(causes(judge(State, {}, Back)) == (FailsAgain ? "2 failing;" : ""));
  }
}
