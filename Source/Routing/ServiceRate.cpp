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
  const double Weight = seconds(Options.m_InitialWeight);
  return {Options.m_InitialTokensPerSecond * Weight, Weight, Now};
}

void recordBusyStart(ServiceRate &Rate, TimePoint Now) { Rate.m_Updated = Now; }

void recordServed(ServiceRate &Rate, std::uint64_t Tokens,
                  const ServiceRateOptions &Options, TimePoint Now) {
  const double Elapsed = std::max(0.0, seconds(Now - Rate.m_Updated));
  const double Decay = std::exp2(-Elapsed / seconds(Options.m_HalfLife));
  Rate.m_Tokens = Rate.m_Tokens * Decay + static_cast<double>(Tokens);
  Rate.m_Seconds = Rate.m_Seconds * Decay + Elapsed;
  Rate.m_Updated = Now;
}

double tokensPerSecond(const ServiceRate &Rate) {
  return Rate.m_Seconds > 0.0 ? Rate.m_Tokens / Rate.m_Seconds : 0.0;
}

void recordFirstToken(FirstTokenLatency &Time, Duration Observed,
                      const FirstTokenLatencyOptions &Options, TimePoint Now) {
  const double ExcessSeconds =
      std::max(0.0, seconds(Observed) - seconds(Options.m_UnloadedLatency));
  Time.m_ExcessSeconds +=
      Options.m_Weight * (ExcessSeconds - Time.m_ExcessSeconds);
  Time.m_Updated = Now;
}

Duration expectedFirstToken(const FirstTokenLatency &Time,
                            const FirstTokenLatencyOptions &Options,
                            TimePoint Now) {
  const double Age = std::max(0.0, seconds(Now - Time.m_Updated));
  const double ExcessSeconds =
      Time.m_ExcessSeconds * std::exp2(-Age / seconds(Options.m_HalfLife));
  return Options.m_UnloadedLatency +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(ExcessSeconds));
}

} // namespace mangocart
