// Times of a gateway's drain within the time until it is killed, and the
// requests that it still accepts meanwhile.
#ifndef MANGOCART_GATEWAY_GATEWAYDRAIN_H
#define MANGOCART_GATEWAY_GATEWAYDRAIN_H

#include "Membership/DrainState.h"

#include <optional>

namespace mangocart {

// UntilKilled: time from the signal to stop until the process is killed.
DrainLimits gatewayDrainLimits(Duration UntilKilled);

// The longest of the times that recent requests of a service took to be
// answered. Requests of the last one to two windows count.
struct AnswerTimes {
  Duration m_Window = std::chrono::seconds(10);
  TimePoint m_WindowStart;
  // Longest time of the current window and of the one before it.
  std::optional<Duration> m_Current;
  std::optional<Duration> m_Previous;

  bool operator==(const AnswerTimes &) const = default;
};

void recordAnswerTime(AnswerTimes &Times, Duration Observed, TimePoint Now);
// Nothing without recent requests.
std::optional<Duration> longestAnswerTime(const AnswerTimes &Times,
                                          TimePoint Now);

// Whether a request is expected to be answered before the drain ends. TimeLeft
// is the time that its caller waits; LongestAnswer is the longest recent answer
// time of its service.
bool isAnsweredBefore(TimePoint DrainEnd, TimePoint Now, Duration TimeLeft,
                      std::optional<Duration> LongestAnswer);

} // namespace mangocart

#endif
