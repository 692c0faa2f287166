// Estimates of the rate at which a queue is served and of the time to first
// token, used for the expected wait of new requests.
#ifndef MANGOCART_ROUTING_SERVICERATE_H
#define MANGOCART_ROUTING_SERVICERATE_H

#include "Core/RuntimeClock.h"

#include <cstdint>

namespace mangocart {

struct ServiceRateOptions {
  // Half-life of the measured rate.
  Duration m_HalfLife = std::chrono::seconds(10);
  // Initial rate, and the measuring time that it is weighted with.
  double m_InitialTokensPerSecond = 1000.0;
  Duration m_InitialWeight = std::chrono::seconds(1);

  bool operator==(const ServiceRateOptions &) const = default;
};

// Only time with queued requests is measured: an idle queue does not show the
// capacity of the servers.
struct ServiceRate {
  double m_Tokens = 0.0;
  double m_Seconds = 0.0;
  // Time of the last dequeue or the start of the current busy period.
  TimePoint m_Updated;

  bool operator==(const ServiceRate &) const = default;
};

ServiceRate startServiceRate(const ServiceRateOptions &Options, TimePoint Now);

// Records a request that arrives at an empty queue.
void recordBusyStart(ServiceRate &Rate, TimePoint Now);

// Records the dispatch of a queued request with the estimated number of tokens.
void recordServed(ServiceRate &Rate, std::uint64_t Tokens,
                  const ServiceRateOptions &Options, TimePoint Now);

double tokensPerSecond(const ServiceRate &Rate);

struct FirstTokenLatencyOptions {
  // Time to first token of an idle server.
  Duration m_UnloadedLatency = std::chrono::milliseconds(300);
  // Weight of a new observation in the moving average.
  double m_Weight = 0.05;
  // The average decays by half in this time without observations; otherwise an
  // estimate that rejects every request would never be corrected.
  Duration m_HalfLife = std::chrono::seconds(1);

  bool operator==(const FirstTokenLatencyOptions &) const = default;
};

// Moving average of the time from dispatch to the first token.
struct FirstTokenLatency {
  // Average time beyond the unloaded latency, in seconds.
  double m_ExcessSeconds = 0.0;
  TimePoint m_Updated;

  bool operator==(const FirstTokenLatency &) const = default;
};

void recordFirstToken(FirstTokenLatency &Time, Duration Observed,
                      const FirstTokenLatencyOptions &Options, TimePoint Now);

Duration expectedFirstToken(const FirstTokenLatency &Time,
                            const FirstTokenLatencyOptions &Options,
                            TimePoint Now);

} // namespace mangocart

#endif
