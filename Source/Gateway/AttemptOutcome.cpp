// The table as code.
#include "Gateway/AttemptOutcome.h"

#include <algorithm>

namespace mangocart {

namespace {

// Times to a first byte vary by prompts and queues; hardly any takes this many
// times the mean.
constexpr int PatienceFactor = 4;
// A pass of a group that was held or stalls for a moment.
constexpr Duration LeastPatience = std::chrono::milliseconds(600);

} // namespace

std::string_view toString(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::NeverSent:
    return "never-sent";
  case AttemptEnd::SaidNotRun:
    return "said-not-run";
  case AttemptEnd::AnsweredFailure:
    return "answered-failure";
  case AttemptEnd::Lost:
    return "lost";
  case AttemptEnd::CutOff:
    return "cut-off";
  }
  return "unknown";
}

bool mayHaveRun(AttemptEnd End) {
  return End != AttemptEnd::NeverSent && End != AttemptEnd::SaidNotRun;
}

bool mayTryAgain(const RequestKnowledge &Known) {
  if (Known.m_TimeOver || Known.m_AnswerBegun ||
      Known.m_Sent >= Known.m_MaxSent)
    return false;
  return Known.m_Repeatable || !Known.m_MayHaveRun;
}

std::string_view toString(OwnEnd End) {
  switch (End) {
  case OwnEnd::RefuseNotRun:
    return "refused-not-run";
  case OwnEnd::FailUnknown:
    return "failed-unknown";
  case OwnEnd::FailTimeout:
    return "failed-timeout";
  case OwnEnd::CutConnection:
    return "cut";
  }
  return "unknown";
}

OwnEnd ownEndOf(const RequestKnowledge &Known) {
  if (Known.m_AnswerBegun)
    return OwnEnd::CutConnection;
  if (!Known.m_MayHaveRun)
    return OwnEnd::RefuseNotRun;
  return Known.m_TimeOver ? OwnEnd::FailTimeout : OwnEnd::FailUnknown;
}

std::optional<Duration> attemptPatience(Duration ExpectedFirst,
                                        Duration CallersPatience) {
  const Duration Patience =
      std::max(LeastPatience, PatienceFactor * ExpectedFirst);
  if (CallersPatience > Duration::zero() &&
      Patience + ExpectedFirst > CallersPatience)
    return std::nullopt;
  return Patience;
}

} // namespace mangocart
