// The measured rate of service and time to first token.
#include "Routing/ServiceRate.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("only busy time counts towards the rate") {
  const ServiceRateOptions Options;
  ServiceRate Rate = startServiceRate(Options, TimePoint());
  CHECK(tokensPerSecond(Rate) == Approx(Options.m_FirstTokensPerSecond));
  TimePoint Now;
  for (int Round = 0; Round < 50; ++Round) {
    // An hour without work, then ten requests in a second.
    Now += 1h;
    noteBusy(Rate, Now);
    for (int Request = 0; Request < 10; ++Request)
      noteServed(Rate, 50, Options, Now += 100ms);
  }
  CHECK(tokensPerSecond(Rate) == Approx(500.0).epsilon(0.05));
}

TEST_CASE("an estimate that refuses every request fades") {
  const FirstTokenOptions Options;
  FirstTokenTime Time;
  for (int Round = 0; Round < 200; ++Round)
    noteFirstToken(Time, 10s, Options, TimePoint(1s));
  CHECK(expectedFirstToken(Time, Options, TimePoint(1s)) > 9s);
  const TimePoint Later = TimePoint(1s + Options.m_HalfLife * 10);
  CHECK(expectedFirstToken(Time, Options, Later) < Options.m_Unloaded + 10ms);
}
