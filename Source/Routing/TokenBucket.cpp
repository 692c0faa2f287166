#include "Routing/TokenBucket.h"

#include <algorithm>

namespace mangocart {

namespace {

// Upper bound of the returned wait.
constexpr Duration LongestWait = std::chrono::hours(1);

} // namespace

void refill(TokenBucket &Bucket, double PerSecond, double Burst,
            TimePoint Now) {
  if (!Bucket.m_Updated)
    Bucket.m_Level = Burst;
  else if (Now > *Bucket.m_Updated)
    Bucket.m_Level +=
        PerSecond *
        std::chrono::duration<double>(Now - *Bucket.m_Updated).count();
  Bucket.m_Level = std::min(Bucket.m_Level, Burst);
  if (!Bucket.m_Updated || Now > *Bucket.m_Updated)
    Bucket.m_Updated = Now;
}

bool tryConsume(TokenBucket &Bucket, double Amount, double PerSecond,
                double Burst, TimePoint Now) {
  refill(Bucket, PerSecond, Burst, Now);
  if (Bucket.m_Level < std::min(Amount, Burst))
    return false;
  Bucket.m_Level -= Amount;
  return true;
}

Duration timeUntilAvailable(const TokenBucket &Bucket, double Amount,
                            double PerSecond, double Burst) {
  const double Missing = std::min(Amount, Burst) - Bucket.m_Level;
  if (Missing <= 0.0)
    return Duration::zero();
  const double Longest = std::chrono::duration<double>(LongestWait).count();
  const double Seconds =
      PerSecond > 0.0 ? std::min(Missing / PerSecond, Longest) : Longest;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace mangocart
