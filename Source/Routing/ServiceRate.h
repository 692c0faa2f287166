// Rate at which an entry's queue is served and the time to first token behind
// it, for the expected wait of arrivals.
#ifndef MANGOCART_ROUTING_SERVICERATE_H
#define MANGOCART_ROUTING_SERVICERATE_H

#include "Core/RuntimeClock.h"

#include <cstdint>

namespace mangocart {

struct ServiceRateOptions {
  // Service of this age counts half.
  Duration m_HalfLife = std::chrono::seconds(10);
  // Rate before anything was measured, and how much time of it counts.
  double m_FirstTokensPerSecond = 1000.0;
  Duration m_FirstWeight = std::chrono::seconds(1);

  bool operator==(const ServiceRateOptions &) const = default;
};

// Only time in which requests waited counts: an idle queue says nothing of what
// the servers could do.
struct ServiceRate {
  double m_Tokens = 0.0;
  double m_Seconds = 0.0;
  // Last dequeue or the start of the present busy time.
  TimePoint m_Updated;

  bool operator==(const ServiceRate &) const = default;
};

ServiceRate startServiceRate(const ServiceRateOptions &Options, TimePoint Now);

// A request came to a queue in which none waited.
void noteBusy(ServiceRate &Rate, TimePoint Now);

// A waiting request of so many estimated tokens was sent on.
void noteServed(ServiceRate &Rate, std::uint64_t Tokens,
                const ServiceRateOptions &Options, TimePoint Now);

double tokensPerSecond(const ServiceRate &Rate);

struct FirstTokenOptions {
  // Time to first token of a server without a queue.
  Duration m_Unloaded = std::chrono::milliseconds(300);
  // Weight of a new observation.
  double m_Weight = 0.05;
  // What was observed counts half after so long without observations, so that
  // an estimate which refuses every request can't confirm itself.
  Duration m_HalfLife = std::chrono::seconds(1);

  bool operator==(const FirstTokenOptions &) const = default;
};

// Running mean of the time from sending a request on to its first token.
struct FirstTokenTime {
  // Observed beyond the unloaded time, seconds.
  double m_Extra = 0.0;
  TimePoint m_Updated;

  bool operator==(const FirstTokenTime &) const = default;
};

void noteFirstToken(FirstTokenTime &Time, Duration Observed,
                    const FirstTokenOptions &Options, TimePoint Now);

Duration expectedFirstToken(const FirstTokenTime &Time,
                            const FirstTokenOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
