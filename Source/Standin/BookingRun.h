// A booking: runs once for each request that reaches it, repeated or not, as a
// plain service that can't tell a repetition does.
#ifndef MANGOCART_STANDIN_BOOKINGRUN_H
#define MANGOCART_STANDIN_BOOKINGRUN_H

#include "Standin/RunLog.h"
#include "Standin/StandinWork.h"

namespace mangocart {

class BookingRun : public StandinWork {
public:
  BookingRun(std::shared_ptr<StandinShared> Shared,
             std::shared_ptr<HttpExchange> Exchange, RunLog &Log);

private:
  void run() override;
  // A booking that has begun runs to its end, whoever waits for it.
  void clientGone() override {}

  void record();
  void answer(const RunRecord &Record);
  std::string answerBody(const RunRecord &Record);

  RunLog &m_Log;
};

} // namespace mangocart

#endif
