// Decides from the results of the attempts so far whether a request may be
// retried and how the gateway responds to the caller. The at-most-once
// guarantee depends on these rules.
#ifndef MANGOCART_GATEWAY_ATTEMPTOUTCOME_H
#define MANGOCART_GATEWAY_ATTEMPTOUTCOME_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangocart {

// Result of an attempt that did not succeed.
enum class AttemptResult {
  // No byte of the request was sent.
  NeverSent,
  // The backend server reported that it did not run the request.
  ReportedNotRun,
  // The backend server sent a complete response with a failure status.
  FailureResponse,
  // The connection was lost, or an invalid response was received, after sending
  // of the request had started.
  ConnectionLost,
  // Part of the response was forwarded to the caller and the rest was not
  // received.
  ResponseTruncated
};

std::string_view toString(AttemptResult Result);

// Whether this attempt may have run the request.
bool mayHaveRun(AttemptResult Result);

// State of a request after an attempt has ended.
struct RequestState {
  // The route allows the request to run more than once.
  bool m_Retryable = false;
  // At least one attempt may have run the request.
  bool m_MayHaveRun = false;
  // Part of the response was sent to the caller and another backend server
  // cannot continue it.
  bool m_ResponseCommitted = false;
  // Number of backend servers the request was sent to, and the route's limit.
  std::uint32_t m_AttemptCount = 0;
  std::uint32_t m_MaxAttempts = 1;
  // The deadline of the caller or the route has passed.
  bool m_DeadlinePassed = false;

  bool operator==(const RequestState &) const = default;
};

// Whether at-most-once and the route's limits allow another attempt. The retry
// budget is checked separately, afterwards.
bool mayRetry(const RequestState &State);

// How the gateway ends a request for which no backend server gave a usable
// response.
enum class RequestFailure {
  // 503 with Retry-After: the request has not run and will not run.
  RejectedNotRun,
  // 502: an attempt may have run the request.
  OutcomeUnknown,
  // 504: the deadline has passed and an attempt may have run the request.
  DeadlinePassed,
  // Part of the response was already sent to the caller: the connection is
  // closed.
  ConnectionClosed
};

std::string_view toString(RequestFailure Failure);

RequestFailure failureOf(const RequestState &State);

// How long to wait for the first data of an attempt at an engine before the
// request fails over to another one. ExpectedFirstByte is the mean time to the
// first byte. CallerIdleTimeout is the time after which the caller disconnects;
// 0 if it does not. Returns nullopt for no limit, when the engines are so slow
// that another attempt would be too late for the caller as well.
std::optional<Duration> attemptTimeout(Duration ExpectedFirstByte,
                                       Duration CallerIdleTimeout);

} // namespace mangocart

#endif
