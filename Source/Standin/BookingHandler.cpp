// Executes a booking, records it in the run log, and only then responds.
#include "Standin/BookingHandler.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>

namespace mangocart {

BookingHandler::BookingHandler(std::shared_ptr<StandinContext> Context,
                               std::shared_ptr<HttpExchange> Exchange,
                               RunLog &Log)
    : StandinRequestHandler(std::move(Context), std::move(Exchange)),
      m_Log(Log) {}

void BookingHandler::run() {
  scheduleAfter(context().m_Options.m_ServiceTime, [this] { recordRun(); });
}

void BookingHandler::recordRun() {
  const HttpRequest &Request = exchange().request();
  RunRecord Record{headerOrEmpty(Request, "Idempotency-Key"),
                   headerOrEmpty(Request, "Mangocart-Customer"),
                   checksumText(Request.m_Body)};
  if (!m_Log.append(Record)) {
    finish();
    return exchange().respond(
        errorResponse(500, "the run could not be recorded"));
  }
  if (faults().m_DieAfterRun)
    return context().m_Terminate();
  scheduleAfter(faults().m_Delay, [this, Record] { respond(Record); });
}

void BookingHandler::respond(const RunRecord &Record) {
  ++context().m_Counters.m_Completed;
  if (faults().m_DropAnswer) {
    exchange().abort();
    return finish();
  }
  HttpResponse Response = jsonResponse(200, responseBody(Record));
  echoRequestId(Response.m_Head, exchange().request());
  if (faults().m_CutAfterBytes) {
    exchange().startStream(std::move(Response.m_Head));
    if (sendChunk(std::move(Response.m_Body)))
      exchange().finishStream();
  } else {
    exchange().respond(std::move(Response));
  }
  finish();
}

std::string BookingHandler::responseBody(const RunRecord &Record) {
  const HttpRequest &Request = exchange().request();
  const boost::json::object Body{
      {"request", headerOrEmpty(Request, "Mangocart-Request")},
      {"key", Record.m_Key},
      {"customer", Record.m_Customer},
      {"checksum", Record.m_Digest},
      {"bytes", Request.m_Body.size()},
      {"serial", Record.m_Serial},
      {"desk", context().m_Options.m_Name}};
  return boost::json::serialize(Body);
}

} // namespace mangocart
