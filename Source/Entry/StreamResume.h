// Relays a streamed answer to the caller event by event, and determines whether
// and where it can be resumed if the backend server is lost. Performs no I/O.
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

// Progress of the answer sent to the caller. Of a resumable stream only
// complete events are sent, so that the events of another server can follow.
struct StreamProgress {
  // If false, chunks are forwarded unchanged, and a failure ends the stream.
  bool m_Resumable = false;
  // Incomplete event.
  std::string m_PartialEvent;
  // The final event of the stream and all data after it; sent once the answer
  // of the backend server is known to be complete.
  std::string m_FinalEvents;
  // An event was sent to the caller.
  bool m_EventSent = false;
  // Index of the next token to send.
  std::optional<std::uint64_t> m_NextToken;
  // The current answer continues an interrupted one and has had no token yet.
  bool m_AwaitingToken = false;
  // An answer of this stream continued an interrupted one.
  bool m_Continued = false;

  bool operator==(const StreamProgress &) const = default;
};

struct StreamChunk {
  // Data to send to the caller.
  std::string m_Data;
  // False if the answer does not continue at the requested token.
  bool m_InOrder = true;

  bool operator==(const StreamChunk &) const = default;
};

StreamChunk processChunk(StreamProgress &Stream, std::string_view Data);
// To be called when the answer of the backend server is complete: returns the
// data still held back. Empty if a continued stream lacks its final event, so
// that it is not mistaken for a complete one.
std::optional<std::string> takeRemainder(StreamProgress &Stream);

// Previous attempts of a request.
struct AttemptHistory {
  // Backend servers in the order of the attempts; none is tried twice.
  std::vector<std::string> m_Tried;
  // Availability zone of the last failed attempt; empty for none.
  std::string m_FailedZone;
  // The head of an answer was sent to the caller.
  bool m_AnswerBegun = false;
  StreamProgress m_Stream;

  bool operator==(const AttemptHistory &) const = default;
};

// Input for the retry decision. A resumable stream is treated as one whose
// answer has not begun, and costs only the fraction of its work that is
// repeated. Only idempotent requests have an attempt history; a claimed request
// never runs twice.
FailedAttempt describeFailure(const AttemptHistory &History,
                              const CallSize &Size, std::string_view Body,
                              bool ProvenNotRun, TimePoint Deadline);

// beginContinuation() prepares for the answer of the next attempt and discards
// held data; resumeBody() returns the body to send, or nothing if the body
// cannot specify where to resume.
std::optional<std::string> resumeBody(const StreamProgress &Stream,
                                      std::string_view Body);
void beginContinuation(StreamProgress &Stream);

// Parameters for the selection of the next server. A resumed stream may use
// twice the concurrency limit of a new request, because its caller already has
// part of the answer.
ChoiceRequest nextChoice(const AttemptHistory &History,
                         const ChoiceRequest &First);

} // namespace mangocart

#endif
