// The drain ends before the process is killed. Requests that would outlast it
// are rejected on arrival, as other gateways can take them.
#include "Gateway/GatewayDrain.h"

#include <algorithm>

namespace mangocart {

namespace {

// The load balancer in front of the gateways checks their health once a second
// and removes one after two failed checks; new connections are accepted until
// then.
constexpr Duration ListenerCloseDelay = std::chrono::milliseconds(2500);
// Part of the time until the process is killed that is reserved for its exit.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);
// A request may take longer than recent ones by this factor: a stream that is
// cut off is worse for its caller than a rejection with nothing run.
constexpr double AnswerTimeFactor = 1.5;

// Number of windows that have ended since the start of the recorded one.
std::int64_t windowsSince(const AnswerTimes &Times, TimePoint Now) {
  return (Now - Times.m_WindowStart) / Times.m_Window;
}

} // namespace

DrainLimits gatewayDrainLimits(Duration UntilKilled) {
  DrainLimits Limits;
  Limits.m_MaxDuration = UntilKilled - std::min(ExitMargin, UntilKilled / 4);
  // Requests that were accepted last need time to be answered.
  Limits.m_ListenDuration =
      std::min(ListenerCloseDelay, Limits.m_MaxDuration / 2);
  return Limits;
}

void recordAnswerTime(AnswerTimes &Times, Duration Observed, TimePoint Now) {
  if (const std::int64_t Ended = windowsSince(Times, Now); Ended > 0) {
    Times.m_Previous = Ended == 1 ? Times.m_Current : std::nullopt;
    Times.m_Current.reset();
    Times.m_WindowStart += Ended * Times.m_Window;
  }
  Times.m_Current = std::max(Times.m_Current.value_or(Observed), Observed);
}

std::optional<Duration> longestAnswerTime(const AnswerTimes &Times,
                                          TimePoint Now) {
  const std::int64_t Ended = windowsSince(Times, Now);
  if (Ended > 1)
    return std::nullopt;
  if (Ended == 1)
    return Times.m_Current;
  // An empty optional compares as less than any value.
  return std::max(Times.m_Current, Times.m_Previous);
}

bool isAnsweredBefore(TimePoint DrainEnd, TimePoint Now, Duration TimeLeft,
                      std::optional<Duration> LongestAnswer) {
  Duration Expected = TimeLeft;
  if (LongestAnswer)
    Expected = std::min(Expected, std::chrono::duration_cast<Duration>(
                                      *LongestAnswer * AnswerTimeFactor));
  return Expected <= DrainEnd - Now;
}

} // namespace mangocart
