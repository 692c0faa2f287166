// The measured rate of service.
#include "Routing/ServiceRate.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

double seconds(Duration Of) {
  return std::chrono::duration<double>(Of).count();
}

} // namespace

ServiceRate startServiceRate(const ServiceRateOptions &Options, TimePoint Now) {
  const double Weight = seconds(Options.m_FirstWeight);
  return {Options.m_FirstTokensPerSecond * Weight, Weight, Now};
}

void noteBusy(ServiceRate &Rate, TimePoint Now) { Rate.m_Updated = Now; }

void noteServed(ServiceRate &Rate, std::uint64_t Tokens,
                const ServiceRateOptions &Options, TimePoint Now) {
  const double Passed = std::max(0.0, seconds(Now - Rate.m_Updated));
  const double Kept = std::exp2(-Passed / seconds(Options.m_HalfLife));
  Rate.m_Tokens = Rate.m_Tokens * Kept + static_cast<double>(Tokens);
  Rate.m_Seconds = Rate.m_Seconds * Kept + Passed;
  Rate.m_Updated = Now;
}

double tokensPerSecond(const ServiceRate &Rate) {
  return Rate.m_Seconds > 0.0 ? Rate.m_Tokens / Rate.m_Seconds : 0.0;
}

void noteFirstToken(FirstTokenTime &Time, Duration Observed,
                    const FirstTokenOptions &Options, TimePoint Now) {
  const double Extra =
      std::max(0.0, seconds(Observed) - seconds(Options.m_Unloaded));
  Time.m_Extra += Options.m_Weight * (Extra - Time.m_Extra);
  Time.m_Updated = Now;
}

Duration expectedFirstToken(const FirstTokenTime &Time,
                            const FirstTokenOptions &Options, TimePoint Now) {
  const double Age = std::max(0.0, seconds(Now - Time.m_Updated));
  const double Extra =
      Time.m_Extra * std::exp2(-Age / seconds(Options.m_HalfLife));
  return Options.m_Unloaded + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(Extra));
}

} // namespace mangocart
