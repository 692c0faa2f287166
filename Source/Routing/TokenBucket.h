// Token bucket: refilled at a constant rate up to a maximum (the burst).
#ifndef MANGOCART_ROUTING_TOKENBUCKET_H
#define MANGOCART_ROUTING_TOKENBUCKET_H

#include "Core/RuntimeClock.h"

#include <optional>

namespace mangocart {

struct TokenBucket {
  // Negative after a request that was larger than the burst.
  double m_Level = 0.0;
  // Empty before the first use, which starts with a full bucket.
  std::optional<TimePoint> m_Updated;

  bool operator==(const TokenBucket &) const = default;
};

// Adds the tokens earned since the last update.
void refill(TokenBucket &Bucket, double PerSecond, double Burst, TimePoint Now);

// Consumes the amount if the bucket holds enough. An amount larger than the
// burst is consumed from a full bucket and leaves a negative level, so that it
// is not rejected forever.
bool tryConsume(TokenBucket &Bucket, double Amount, double PerSecond,
                double Burst, TimePoint Now);

// Time until tryConsume() of the amount would succeed; capped, also when the
// rate is zero.
Duration timeUntilAvailable(const TokenBucket &Bucket, double Amount,
                            double PerSecond, double Burst);

} // namespace mangocart

#endif
