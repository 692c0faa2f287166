// Tests the estimates of the service rate and the time to first token.
#include "Routing/ServiceRate.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("only busy time is used for the rate") {
  const ServiceRateOptions Options;
  ServiceRate Rate = startServiceRate(Options, TimePoint());
  CHECK(tokensPerSecond(Rate) == Approx(Options.m_InitialTokensPerSecond));
  TimePoint Now;
  for (int Round = 0; Round < 50; ++Round) {
    // An idle hour, then ten requests within a second.
    Now += 1h;
    recordBusyStart(Rate, Now);
    for (int Request = 0; Request < 10; ++Request)
      recordServed(Rate, 50, Options, Now += 100ms);
  }
  CHECK(tokensPerSecond(Rate) == Approx(500.0).epsilon(0.05));
}

TEST_CASE("an estimate that rejects every request decays") {
  const FirstTokenLatencyOptions Options;
  FirstTokenLatency Time;
  for (int Round = 0; Round < 200; ++Round)
    recordFirstToken(Time, 10s, Options, TimePoint(1s));
  CHECK(expectedFirstToken(Time, Options, TimePoint(1s)) > 9s);
  const TimePoint Later = TimePoint(1s + Options.m_HalfLife * 10);
  CHECK(expectedFirstToken(Time, Options, Later) <
        Options.m_UnloadedLatency + 10ms);
}
