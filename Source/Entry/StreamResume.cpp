#include "Entry/StreamResume.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr std::string_view EventEnd("\n\n");
constexpr std::string_view TokenStart("data: {\"index\":");
constexpr std::string_view FinalEventStart("data: [DONE]");
constexpr const char *ResumeKey = "resume_from";
// A longer event is not held back; its stream cannot be resumed any more.
constexpr std::size_t MaxHeldBytes = std::size_t{64} * 1024;
// Minimum cost of resuming, as a fraction of the work of the request.
constexpr double MinRetryCost = 0.1;

std::optional<std::uint64_t> tokenIndex(std::string_view Event) {
  if (!Event.starts_with(TokenStart))
    return std::nullopt;
  Event.remove_prefix(TokenStart.size());
  std::uint64_t Index = 0;
  const auto [End, Error] =
      std::from_chars(Event.data(), Event.data() + Event.size(), Index);
  if (Error != std::errc())
    return std::nullopt;
  return Index;
}

// Disables resuming and releases all data held back.
void disableResume(StreamProgress &Stream, std::string &Out) {
  Stream.m_Resumable = false;
  Out += std::exchange(Stream.m_FinalEvents, {});
  Out += std::exchange(Stream.m_PartialEvent, {});
}

// Returns false if a continued answer has another token than the expected one.
bool processToken(StreamProgress &Stream, std::uint64_t Index) {
  const bool InOrder = !Stream.m_NextToken || *Stream.m_NextToken == Index;
  if (!InOrder && Stream.m_Continued)
    return false;
  // An engine that does not number its tokens consecutively cannot resume at a
  // given one.
  if (!InOrder)
    Stream.m_Resumable = false;
  Stream.m_NextToken = Index + 1;
  Stream.m_AwaitingToken = false;
  return true;
}

bool processEvent(StreamProgress &Stream, std::string_view Event,
                  std::string &Out) {
  if (!Stream.m_FinalEvents.empty() || Event.starts_with(FinalEventStart)) {
    Stream.m_FinalEvents += Event;
    return true;
  }
  const auto Index = tokenIndex(Event);
  if (Index && !processToken(Stream, *Index))
    return false;
  // The caller already has the opening event.
  if (!Index && Stream.m_AwaitingToken)
    return true;
  Stream.m_EventSent = true;
  Out += Event;
  return true;
}

} // namespace

StreamChunk processChunk(StreamProgress &Stream, std::string_view Data) {
  if (!Stream.m_Resumable)
    return {std::string(Data), true};
  Stream.m_PartialEvent += Data;
  StreamChunk Chunk;
  std::string_view Rest = Stream.m_PartialEvent;
  for (std::size_t End = Rest.find(EventEnd); End != std::string_view::npos;
       End = Rest.find(EventEnd)) {
    const std::size_t Size = End + EventEnd.size();
    if (!processEvent(Stream, Rest.substr(0, Size), Chunk.m_Data))
      return {{}, false};
    Rest.remove_prefix(Size);
  }
  Stream.m_PartialEvent.erase(0, Stream.m_PartialEvent.size() - Rest.size());
  if (!Stream.m_Resumable ||
      Stream.m_PartialEvent.size() + Stream.m_FinalEvents.size() > MaxHeldBytes)
    disableResume(Stream, Chunk.m_Data);
  return Chunk;
}

std::optional<std::string> takeRemainder(StreamProgress &Stream) {
  if (Stream.m_Continued && Stream.m_Resumable && Stream.m_FinalEvents.empty())
    return std::nullopt;
  std::string Rest;
  disableResume(Stream, Rest);
  return Rest;
}

std::optional<std::string> resumeBody(const StreamProgress &Stream,
                                      std::string_view Body) {
  if (!Stream.m_NextToken)
    return std::string(Body);
  boost::system::error_code Error;
  json::value Parsed =
      json::parse(json::string_view(Body.data(), Body.size()), Error);
  if (Error || !Parsed.is_object())
    return std::nullopt;
  Parsed.as_object()[ResumeKey] = *Stream.m_NextToken;
  return json::serialize(Parsed);
}

void beginContinuation(StreamProgress &Stream) {
  Stream.m_PartialEvent.clear();
  Stream.m_FinalEvents.clear();
  Stream.m_AwaitingToken = Stream.m_EventSent;
  Stream.m_Continued = true;
}

FailedAttempt describeFailure(const AttemptHistory &History,
                              const CallSize &Size, std::string_view Body,
                              bool ProvenNotRun, TimePoint Deadline) {
  FailedAttempt Failed;
  Failed.m_Attempt = static_cast<std::uint32_t>(History.m_Tried.size());
  Failed.m_Idempotent = true;
  Failed.m_ProvenNotRun = ProvenNotRun;
  Failed.m_Deadline = Deadline;
  if (!History.m_AnswerBegun)
    return Failed;
  Failed.m_AnswerBegun =
      !History.m_Stream.m_Resumable || !resumeBody(History.m_Stream, Body);
  // Tokens already sent are not generated again; only the prompt is processed
  // again.
  if (History.m_Stream.m_NextToken)
    Failed.m_Cost = std::clamp(
        static_cast<double>(Size.m_PromptTokens) /
            static_cast<double>(std::max<std::uint64_t>(Size.m_Tokens, 1)),
        MinRetryCost, 1.0);
  return Failed;
}

ChoiceRequest nextChoice(const AttemptHistory &History,
                         const ChoiceRequest &First) {
  ChoiceRequest Choice = First;
  Choice.m_Tried = &History.m_Tried;
  Choice.m_FailedZone = History.m_FailedZone;
  if (History.m_AnswerBegun)
    Choice.m_MaxOutstanding *= 2;
  return Choice;
}

} // namespace mangocart
