// A streamed answer on its way to the caller, event by event, and where it may
// go on when the backend server is lost. Decisions without I/O.
#ifndef MANGOCART_ENTRY_STREAMRESUME_H
#define MANGOCART_ENTRY_STREAMRESUME_H

#include "Core/RuntimeClock.h"
#include "Entry/BackendDirectory.h"
#include "Routing/RetryBudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// What of the answer has gone to the caller. Of a stream that may be resumed
// only whole events go out, so that another server's can follow.
struct StreamProgress {
  // False: pieces pass as they come, and a break ends the stream.
  bool m_Resumable = false;
  // Begun event whose end hasn't come yet.
  std::string m_Held;
  // The event that ends a draft and all after it; goes out once the backend
  // server's answer is known to be whole.
  std::string m_Closing;
  // Some event has gone to the caller.
  bool m_Opened = false;
  // Index of the token after the last one that went out.
  std::optional<std::uint64_t> m_NextToken;
  // The present answer goes on with one that broke off, and has had no token.
  bool m_AwaitsToken = false;
  // Some answer of this stream went on with one that broke off.
  bool m_Continued = false;

  bool operator==(const StreamProgress &) const = default;
};

struct StreamPiece {
  // To be sent to the caller.
  std::string m_Data;
  // False: the answer doesn't go on at the token that was asked for.
  bool m_Fits = true;

  bool operator==(const StreamPiece &) const = default;
};

StreamPiece takePiece(StreamProgress &Stream, std::string_view Data);
// The backend server's answer is whole: what is still held. None when a
// continued stream lacks its closing event, so that it can't pass for whole.
std::optional<std::string> takeRest(StreamProgress &Stream);

// A request's attempts up to now.
struct AttemptHistory {
  // Backend servers in order; none is tried twice.
  std::vector<std::string> m_Tried;
  // Availability zone of the last failed attempt, empty for none.
  std::string m_FailedZone;
  // The head of an answer has gone to the caller.
  bool m_AnswerBegun = false;
  StreamProgress m_Stream;

  bool operator==(const AttemptHistory &) const = default;
};

// What the retry budget judges. A stream that can be resumed counts as one
// whose answer has not begun, and costs the part of its work that is repeated.
// Only idempotent requests have such a history; a claimed one never runs twice.
FailedAttempt describeFailure(const AttemptHistory &History,
                              const CallSize &Size, std::string_view Body,
                              bool ProvenNotRun, TimePoint Deadline);

// Begins the next attempt's answer: drops what is held and returns the body to
// send, or none when the body can't say where to go on.
std::optional<std::string> resumeBody(const StreamProgress &Stream,
                                      std::string_view Body);
void beginContinuation(StreamProgress &Stream);

// The choice of the next server. A stream that goes on may use as much again
// of a server's places as a new request: its caller has part of the answer.
ChoiceRequest nextChoice(const AttemptHistory &History,
                         const ChoiceRequest &First);

} // namespace mangocart

#endif
