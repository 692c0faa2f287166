// Token bucket: what flows in at a rate and can be saved up to a burst.
#ifndef MANGOCART_ROUTING_TOKENBUCKET_H
#define MANGOCART_ROUTING_TOKENBUCKET_H

#include "Core/RuntimeClock.h"

#include <optional>

namespace mangocart {

struct TokenBucket {
  // May be below zero after a request that was larger than the burst.
  double m_Level = 0.0;
  // None before the first use, which starts with a full burst.
  std::optional<TimePoint> m_Updated;

  bool operator==(const TokenBucket &) const = default;
};

// Adds what has flowed in until now.
void refill(TokenBucket &Bucket, double PerSecond, double Burst, TimePoint Now);

// Takes the amount if the bucket has any left; an amount above the burst is
// taken once the bucket is full and leaves a debt, so that it isn't refused
// forever.
bool tryTake(TokenBucket &Bucket, double Amount, double PerSecond, double Burst,
             TimePoint Now);

// Time until tryTake() of the amount would pass; the longest duration when
// nothing flows in.
Duration timeUntil(const TokenBucket &Bucket, double Amount, double PerSecond,
                   double Burst);

} // namespace mangocart

#endif
