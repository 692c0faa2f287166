// Handles a booking request. Every request is executed, retries included, as a
// service without duplicate detection does.
#ifndef MANGOCART_STANDIN_BOOKINGHANDLER_H
#define MANGOCART_STANDIN_BOOKINGHANDLER_H

#include "Standin/RunLog.h"
#include "Standin/StandinRequestHandler.h"

namespace mangocart {

class BookingHandler : public StandinRequestHandler {
public:
  BookingHandler(std::shared_ptr<StandinContext> Context,
                 std::shared_ptr<HttpExchange> Exchange, RunLog &Log);

private:
  void run() override;
  // A booking that has started is completed even if its client disconnects.
  void clientDisconnected() override {}

  void recordRun();
  void respond(const RunRecord &Record);
  std::string responseBody(const RunRecord &Record);

  RunLog &m_Log;
};

} // namespace mangocart

#endif
