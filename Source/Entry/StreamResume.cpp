// Events, tokens and the rules of resuming.
#include "Entry/StreamResume.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr std::string_view EventEnd("\n\n");
constexpr std::string_view TokenStart("data: {\"index\":");
constexpr std::string_view ClosingStart("data: [DONE]");
constexpr const char *ResumeKey = "resume_from";
// A longer event isn't held back; its stream can't be resumed any more.
constexpr std::size_t MaxHeldBytes = std::size_t{64} * 1024;
// Resuming repeats at least this share of a request's work.
constexpr double LeastCost = 0.1;

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

// Gives up resuming and lets everything pass.
void passOn(StreamProgress &Stream, std::string &Out) {
  Stream.m_Resumable = false;
  Out += std::exchange(Stream.m_Closing, {});
  Out += std::exchange(Stream.m_Held, {});
}

// False when a continued answer has another token than the next one.
bool takeToken(StreamProgress &Stream, std::uint64_t Index) {
  const bool InOrder = !Stream.m_NextToken || *Stream.m_NextToken == Index;
  if (!InOrder && Stream.m_Continued)
    return false;
  // An engine that doesn't count its tokens can't be asked to go on at one.
  if (!InOrder)
    Stream.m_Resumable = false;
  Stream.m_NextToken = Index + 1;
  Stream.m_AwaitsToken = false;
  return true;
}

bool takeEvent(StreamProgress &Stream, std::string_view Event,
               std::string &Out) {
  if (!Stream.m_Closing.empty() || Event.starts_with(ClosingStart)) {
    Stream.m_Closing += Event;
    return true;
  }
  const auto Index = tokenIndex(Event);
  if (Index && !takeToken(Stream, *Index))
    return false;
  // The caller has the event that opens the answer.
  if (!Index && Stream.m_AwaitsToken)
    return true;
  Stream.m_Opened = true;
  Out += Event;
  return true;
}

} // namespace

StreamPiece takePiece(StreamProgress &Stream, std::string_view Data) {
  if (!Stream.m_Resumable)
    return {std::string(Data), true};
  Stream.m_Held += Data;
  StreamPiece Piece;
  std::string_view Rest = Stream.m_Held;
  for (std::size_t End = Rest.find(EventEnd); End != std::string_view::npos;
       End = Rest.find(EventEnd)) {
    const std::size_t Size = End + EventEnd.size();
    if (!takeEvent(Stream, Rest.substr(0, Size), Piece.m_Data))
      return {{}, false};
    Rest.remove_prefix(Size);
  }
  Stream.m_Held.erase(0, Stream.m_Held.size() - Rest.size());
  if (!Stream.m_Resumable ||
      Stream.m_Held.size() + Stream.m_Closing.size() > MaxHeldBytes)
    passOn(Stream, Piece.m_Data);
  return Piece;
}

std::optional<std::string> takeRest(StreamProgress &Stream) {
  if (Stream.m_Continued && Stream.m_Resumable && Stream.m_Closing.empty())
    return std::nullopt;
  std::string Rest;
  passOn(Stream, Rest);
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
  Stream.m_Held.clear();
  Stream.m_Closing.clear();
  Stream.m_AwaitsToken = Stream.m_Opened;
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
  // The tokens that went out aren't generated again, only the prompt is read.
  if (History.m_Stream.m_NextToken)
    Failed.m_Cost = std::clamp(
        static_cast<double>(Size.m_PromptTokens) /
            static_cast<double>(std::max<std::uint64_t>(Size.m_Tokens, 1)),
        LeastCost, 1.0);
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
