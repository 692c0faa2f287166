// Retry and failure rules.
#include "Gateway/AttemptOutcome.h"

#include <algorithm>

namespace mangocart {

namespace {

// Times to the first byte vary with prompt sizes and queues; very few exceed
// the mean by this factor.
constexpr int TimeoutFactor = 4;
// Covers one pass of a rank group that was held or stalls briefly.
constexpr Duration MinAttemptTimeout = std::chrono::milliseconds(600);

} // namespace

std::string_view toString(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::NeverSent:
    return "never-sent";
  case AttemptResult::ReportedNotRun:
    return "said-not-run";
  case AttemptResult::FailureResponse:
    return "answered-failure";
  case AttemptResult::ConnectionLost:
    return "lost";
  case AttemptResult::ResponseTruncated:
    return "cut-off";
  }
  return "unknown";
}

bool mayHaveRun(AttemptResult Result) {
  return Result != AttemptResult::NeverSent &&
         Result != AttemptResult::ReportedNotRun;
}

bool mayRetry(const RequestState &State) {
  if (State.m_DeadlinePassed || State.m_ResponseCommitted ||
      State.m_AttemptCount >= State.m_MaxAttempts)
    return false;
  return State.m_Retryable || !State.m_MayHaveRun;
}

std::string_view toString(RequestFailure Failure) {
  switch (Failure) {
  case RequestFailure::RejectedNotRun:
    return "refused-not-run";
  case RequestFailure::OutcomeUnknown:
    return "failed-unknown";
  case RequestFailure::DeadlinePassed:
    return "failed-timeout";
  case RequestFailure::ConnectionClosed:
    return "cut";
  }
  return "unknown";
}

RequestFailure failureOf(const RequestState &State) {
  if (State.m_ResponseCommitted)
    return RequestFailure::ConnectionClosed;
  if (!State.m_MayHaveRun)
    return RequestFailure::RejectedNotRun;
  return State.m_DeadlinePassed ? RequestFailure::DeadlinePassed
                                : RequestFailure::OutcomeUnknown;
}

std::optional<Duration> attemptTimeout(Duration ExpectedFirstByte,
                                       Duration CallerIdleTimeout) {
  const Duration Timeout =
      std::max(MinAttemptTimeout, TimeoutFactor * ExpectedFirstByte);
  if (CallerIdleTimeout > Duration::zero() &&
      Timeout + ExpectedFirstByte > CallerIdleTimeout)
    return std::nullopt;
  return Timeout;
}

} // namespace mangocart
