// Runs, records and answers a booking, in this order.
#include "Standin/BookingRun.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>

namespace mangocart {

BookingRun::BookingRun(std::shared_ptr<StandinShared> Shared,
                       std::shared_ptr<HttpExchange> Exchange, RunLog &Log)
    : StandinWork(std::move(Shared), std::move(Exchange)), m_Log(Log) {}

void BookingRun::run() {
  after(shared().m_Options.m_ServiceTime, [this] { record(); });
}

void BookingRun::record() {
  const HttpRequest &Request = exchange().request();
  RunRecord Record{headerText(Request, "Idempotency-Key"),
                   headerText(Request, "Mangocart-Customer"),
                   checksumText(Request.m_Body)};
  if (!m_Log.append(Record)) {
    finish();
    return exchange().respond(
        errorResponse(500, "the run could not be recorded"));
  }
  if (faults().m_DieAfterRun)
    return shared().m_Die();
  after(faults().m_Delay, [this, Record] { answer(Record); });
}

void BookingRun::answer(const RunRecord &Record) {
  ++shared().m_Counts.m_Completed;
  if (faults().m_DropAnswer) {
    exchange().abort();
  } else if (faults().m_CutAfterBytes) {
    exchange().startStream({200, {{"Content-Type", "application/json"}}});
    if (sendPiece(answerBody(Record)))
      exchange().finishStream();
  } else {
    exchange().respond(jsonResponse(200, answerBody(Record)));
  }
  finish();
}

std::string BookingRun::answerBody(const RunRecord &Record) {
  const HttpRequest &Request = exchange().request();
  const boost::json::object Body{
      {"request", headerText(Request, "Mangocart-Request")},
      {"key", Record.m_Key},
      {"customer", Record.m_Customer},
      {"checksum", Record.m_Digest},
      {"bytes", Request.m_Body.size()},
      {"serial", Record.m_Serial},
      {"desk", shared().m_Options.m_Name}};
  return boost::json::serialize(Body);
}

} // namespace mangocart
