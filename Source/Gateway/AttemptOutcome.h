// What may be said to a caller, and whether another attempt may be made, from
// what is known of the attempts so far. At most once rests on this table.
#ifndef MANGOCART_GATEWAY_ATTEMPTOUTCOME_H
#define MANGOCART_GATEWAY_ATTEMPTOUTCOME_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangocart {

// How an attempt ended.
enum class AttemptEnd {
  // No byte of the request left.
  NeverSent,
  // The backend server said that it did not run the request.
  SaidNotRun,
  // A whole answer that says the backend server failed.
  AnsweredFailure,
  // The connection was lost, or bytes came that are no answer, after the
  // request had begun to leave.
  Lost,
  // Some of the answer has gone to the caller and the rest did not come.
  CutOff
};

std::string_view toString(AttemptEnd End);

// Whether the request may have run, as far as this attempt tells.
bool mayHaveRun(AttemptEnd End);

// What is known of a request when an attempt has ended.
struct RequestKnowledge {
  // The route allows that the request runs more than once.
  bool m_Repeatable = false;
  // Some attempt may have run it.
  bool m_MayHaveRun = false;
  // The answer has begun and can't go on at another backend server.
  bool m_AnswerBegun = false;
  // Backend servers that the request was sent to, and the limit of the route.
  std::uint32_t m_Sent = 0;
  std::uint32_t m_MaxSent = 1;
  // The caller's time, or the route's, is over.
  bool m_TimeOver = false;

  bool operator==(const RequestKnowledge &) const = default;
};

// Whether the rules of at most once and of the route allow another attempt;
// the budget is asked after this.
bool mayTryAgain(const RequestKnowledge &Known);

// How the gateway ends a request that no backend server has answered.
enum class OwnEnd {
  // 503 with Retry-After: the request has not run and never will.
  RefuseNotRun,
  // 502: an attempt may have run it.
  FailUnknown,
  // 504: the time is over and an attempt may have run it.
  FailTimeout,
  // Part of the answer is with the caller: the connection is closed.
  CutConnection
};

std::string_view toString(OwnEnd End);

OwnEnd ownEndOf(const RequestKnowledge &Known);

// How long an attempt at an engine may bring nothing before the request goes
// elsewhere. ExpectedFirst is the mean time to a first byte, CallersPatience
// the time after which the caller leaves; 0: it doesn't. Nothing: it waits, as
// all engines are so slow that another one would be too late as well.
std::optional<Duration> attemptPatience(Duration ExpectedFirst,
                                        Duration CallersPatience);

} // namespace mangocart

#endif
