#include "Entry/LocalReply.h"

#include "Entry/EntryContext.h"
#include "Events/EventLog.h"

#include <boost/json.hpp>

#include <chrono>

namespace mangocart {

std::string_view toText(schema::Outcome Outcome) {
  switch (Outcome) {
  case schema::RAN:
    return "ran";
  case schema::NOT_RUN:
    return "not-run";
  default:
    return "unknown";
  }
}

void recordRefusal(EntryContext &Context, const LocalReply &Answer,
                   std::string_view RequestId) {
  ++Context.m_Counters.m_Refused;
  Context.m_Events.write(Event::RequestRefused, {{"request", RequestId},
                                                 {"code", Answer.m_Code},
                                                 {"status", Answer.m_Status}});
}

HttpResponse toResponse(const LocalReply &Answer, std::string_view RequestId) {
  boost::json::object Body;
  Body["error"] = Answer.m_Code;
  Body["message"] = Answer.m_Message;
  Body["outcome"] = toText(Answer.m_Outcome);
  Body["request"] = RequestId;
  HttpResponse Response;
  Response.m_Head.m_Status = Answer.m_Status;
  Response.m_Head.m_Headers = {
      {"Content-Type", "application/json"},
      {std::string(RequestHeader), std::string(RequestId)},
      {std::string(OutcomeHeader), std::string(toText(Answer.m_Outcome))}};
  if (Answer.m_RetryAfter) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Answer.m_RetryAfter);
    Response.m_Head.m_Headers.push_back(
        {std::string(RetryAfterHeader), std::to_string(Seconds.count())});
  }
  Response.m_Body = boost::json::serialize(Body);
  return Response;
}

} // namespace mangocart
