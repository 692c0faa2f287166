// Checks drafts event by event and bookings field by field.
#include "Load/ResponseCheck.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;

CheckedResponse truncated(std::string Detail) {
  return {CheckResult::Truncated, {}, {}, std::move(Detail)};
}

CheckedResponse mismatched(std::string Detail) {
  return {CheckResult::Mismatched, {}, {}, std::move(Detail)};
}

ReportedOutcome reportedOutcome(const HttpHead &Head) {
  const auto Text = findHeader(Head.m_Headers, "Mangocart-Outcome");
  if (!Text)
    return ReportedOutcome::None;
  if (*Text == "ran")
    return ReportedOutcome::Ran;
  if (*Text == "not-run")
    return ReportedOutcome::NotRun;
  return ReportedOutcome::Unknown;
}

// Removes the next event from the front and returns its data; nullopt if there
// is no complete event.
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

CheckedResponse checkDraft(const PlannedRequest &Planned,
                           std::string_view Body) {
  const auto Opening = takeEvent(Body);
  const auto Opened = Opening ? parseObject(*Opening) : std::nullopt;
  if (!Opened)
    return truncated("no opening event");
  if (textOf(*Opened, "checksum") != checksumText(Planned.m_Body))
    return mismatched("the opening event has the checksum of another request");
  for (std::uint64_t I = 0; I < Planned.m_MaxTokens; ++I) {
    const auto Token = takeEvent(Body);
    if (!Token || *Token == DraftDoneData)
      return truncated("token " + std::to_string(I) + " is missing");
    if (*Token != draftTokenData(Planned.m_Prompt, I))
      return mismatched("token " + std::to_string(I) +
                        " differs: " + std::string(*Token));
  }
  const auto Done = takeEvent(Body);
  if (!Done)
    return truncated("the closing event is missing");
  if (*Done != DraftDoneData || !Body.empty())
    return mismatched("more events than requested");
  return {CheckResult::Ok, {}, {}, {}};
}

CheckedResponse checkBooking(const PlannedRequest &Planned,
                             std::string_view Body) {
  const auto Object = parseObject(Body);
  if (!Object)
    return truncated("the response is not a complete JSON object");
  if (textOf(*Object, "checksum") != checksumText(Planned.m_Body) ||
      textOf(*Object, "key") != Planned.m_Id)
    return mismatched(
        "the response has the checksum or key of another booking");
  const json::value *Serial = Object->if_contains("serial");
  boost::system::error_code Error;
  const std::uint64_t Number =
      Serial ? Serial->to_number<std::uint64_t>(Error) : 0;
  if (!Serial || Error)
    return truncated("the response has no serial number");
  return {
      CheckResult::Ok, {}, BookingReceipt{textOf(*Object, "desk"), Number}, {}};
}

CheckedResponse checkByKind(const PlannedRequest &Planned,
                            const ReceivedResponse &Response) {
  if (Response.m_Error)
    return {CheckResult::Failed, {}, {}, Response.m_Error->m_Detail};
  if (Response.m_Head.m_Status != StatusOk)
    return {CheckResult::Rejected, {}, {}, Response.m_Body};
  return Planned.m_Kind == RequestKind::Draft
             ? checkDraft(Planned, Response.m_Body)
             : checkBooking(Planned, Response.m_Body);
}

} // namespace

CheckedResponse checkResponse(const PlannedRequest &Planned,
                              const ReceivedResponse &Response) {
  CheckedResponse Checked = checkByKind(Planned, Response);
  Checked.m_Outcome = reportedOutcome(Response.m_Head);
  return Checked;
}

} // namespace mangocart
