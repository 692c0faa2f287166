// Repeats of all gateways together stay within the common budget in every
// sliding window, whatever each of them knows of the others.
#include "Core/Random.h"
#include "Gateway/RetryBudgetShare.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr double Ratio = 0.2;
constexpr double Slack = 88.0;
const RepeatOptions Options{Ratio, Slack, 10s};

} // namespace

TEST_CASE("repeats in a burst end with slack and earnings") {
  RepeatShare S;
  const TimePoint Now{1000s};
  for (int I = 0; I < 100; ++I)
    noteRequest(S, Options, Now);
  int Repeats = 0;
  while (takeRepeat(S, Options, 4, Now))
    ++Repeats;
  // 20 earned, and a fourth of the part of the slack that is given out.
  CHECK(Repeats == 31);
  CHECK_FALSE(takeRepeat(S, Options, 4, Now + 5s));
  CHECK(takeRepeat(S, Options, 4, Now + 12s));
}

TEST_CASE("without requests only the slack is there") {
  RepeatShare S;
  int Repeats = 0;
  while (takeRepeat(S, Options, 1, TimePoint(1000s)))
    ++Repeats;
  CHECK(Repeats == 44);
}

TEST_CASE("pattern: callers that fail and come again at every gateway, one of "
          "which starts anew") {
  struct Event {
    TimePoint m_At;
    bool m_IsRepeat;
  };
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    Random Generator(Seed);
    std::vector<RepeatShare> Gateways(4);
    std::vector<Event> Events;
    TimePoint Now{1000s};
    for (int I = 0; I < 6000; ++I) {
      Now += std::chrono::milliseconds(uniform(Generator, 1, 20));
      // A gateway that starts anew forgets what it has spent.
      if (I == 3000)
        Gateways[0] = RepeatShare();
      RepeatShare &At = Gateways[uniform(Generator, 0, 3)];
      noteRequest(At, Options, Now);
      Events.push_back({Now, false});
      while (uniform(Generator, 0, 9) > 0 && takeRepeat(At, Options, 4, Now))
        Events.push_back({Now, true});
    }
    std::size_t Begin = 0;
    int Requests = 0;
    int Repeats = 0;
    for (const Event &E : Events) {
      ++(E.m_IsRepeat ? Repeats : Requests);
      while (E.m_At - Events[Begin].m_At > Options.m_Window) {
        --(Events[Begin].m_IsRepeat ? Repeats : Requests);
        ++Begin;
      }
      REQUIRE(Repeats <= Ratio * Requests + Slack);
    }
  }
}
