// Checks of drafts event by event and of bookings field by field.
#include "Load/AnswerCheck.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;

CheckedAnswer cut(std::string Detail) {
  return {Verdict::CutLooksComplete, {}, {}, std::move(Detail)};
}

CheckedAnswer mixed(std::string Detail) {
  return {Verdict::Mixed, {}, {}, std::move(Detail)};
}

StatedOutcome statedOutcome(const HttpHead &Head) {
  const auto Text = findHeader(Head.m_Headers, "Mangocart-Outcome");
  if (!Text)
    return StatedOutcome::None;
  if (*Text == "ran")
    return StatedOutcome::Ran;
  if (*Text == "not-run")
    return StatedOutcome::NotRun;
  return StatedOutcome::Unknown;
}

// Takes the next event's data from the front; nothing when none is whole.
std::optional<std::string_view> takeEvent(std::string_view &Rest) {
  constexpr std::string_view Prefix("data: ");
  constexpr std::string_view End("\n\n");
  const std::size_t At = Rest.find(End);
  if (At == std::string_view::npos || !Rest.starts_with(Prefix))
    return std::nullopt;
  const std::string_view Data = Rest.substr(Prefix.size(), At - Prefix.size());
  Rest.remove_prefix(At + End.size());
  return Data;
}

std::optional<json::object> parseObject(std::string_view Text) {
  boost::system::error_code Error;
  json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.get_object());
}

std::string textOf(const json::object &Object, const char *Key) {
  const json::value *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? Value->get_string().c_str() : "";
}

CheckedAnswer checkDraft(const PlannedRequest &Planned, std::string_view Body) {
  const auto Opening = takeEvent(Body);
  const auto Opened = Opening ? parseObject(*Opening) : std::nullopt;
  if (!Opened)
    return cut("no opening event");
  if (textOf(*Opened, "checksum") != checksumText(Planned.m_Body))
    return mixed("the opening event has another request's checksum");
  for (std::uint64_t I = 0; I < Planned.m_MaxTokens; ++I) {
    const auto Token = takeEvent(Body);
    if (!Token || *Token == DraftDoneData)
      return cut("token " + std::to_string(I) + " is missing");
    if (*Token != draftTokenData(Planned.m_Prompt, I))
      return mixed("token " + std::to_string(I) +
                   " is another: " + std::string(*Token));
  }
  const auto Done = takeEvent(Body);
  if (!Done)
    return cut("the closing event is missing");
  if (*Done != DraftDoneData || !Body.empty())
    return mixed("more events than were asked for");
  return {Verdict::Ok, {}, {}, {}};
}

CheckedAnswer checkBooking(const PlannedRequest &Planned,
                           std::string_view Body) {
  const auto Object = parseObject(Body);
  if (!Object)
    return cut("the answer is not a whole JSON object");
  if (textOf(*Object, "checksum") != checksumText(Planned.m_Body) ||
      textOf(*Object, "key") != Planned.m_Id)
    return mixed("the answer has another booking's checksum or key");
  const json::value *Serial = Object->if_contains("serial");
  boost::system::error_code Error;
  const std::uint64_t Number =
      Serial ? Serial->to_number<std::uint64_t>(Error) : 0;
  if (!Serial || Error)
    return cut("the answer has no serial number");
  return {Verdict::Ok, {}, BookingReceipt{textOf(*Object, "desk"), Number}, {}};
}

CheckedAnswer checkByVerdict(const PlannedRequest &Planned,
                             const ReceivedAnswer &Answer) {
  if (Answer.m_Error)
    return {Verdict::Broken, {}, {}, Answer.m_Error->m_Detail};
  if (Answer.m_Head.m_Status != StatusOk)
    return {Verdict::Refused, {}, {}, Answer.m_Body};
  return Planned.m_Kind == RequestKind::Draft
             ? checkDraft(Planned, Answer.m_Body)
             : checkBooking(Planned, Answer.m_Body);
}

} // namespace

CheckedAnswer checkAnswer(const PlannedRequest &Planned,
                          const ReceivedAnswer &Answer) {
  CheckedAnswer Checked = checkByVerdict(Planned, Answer);
  Checked.m_Outcome = statedOutcome(Answer.m_Head);
  return Checked;
}

} // namespace mangocart
