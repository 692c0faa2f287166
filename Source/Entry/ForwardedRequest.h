// An idempotent request on its way: chooses a backend server, follows the
// answer, and tries another server while nothing has reached the caller.
#ifndef MANGOCART_ENTRY_FORWARDEDREQUEST_H
#define MANGOCART_ENTRY_FORWARDEDREQUEST_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Entry/CallAttempt.h"
#include "Entry/OwnAnswer.h"
#include "Entry/RequestGate.h"
#include "Entry/RouteTable.h"
#include "Http/HttpServer.h"

namespace mangocart {

struct EntryContext;

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  static void start(EntryContext &Context,
                    std::shared_ptr<HttpExchange> Exchange, RouteMatch Match,
                    std::string RequestId, GatePass Pass);

private:
  ForwardedRequest(EntryContext &Context,
                   std::shared_ptr<HttpExchange> Exchange, RouteMatch Match,
                   std::string RequestId, GatePass Pass);
  void begin();
  void armDeadline();
  void attempt();
  CallHandlers handlers();
  void takeHead(const schema::CallHead &Head);
  void takeBody(std::string Data);
  void takeEnd();
  void takeRefusal(const schema::CallRefusal &Refusal);
  void takeBreak(const CallBroken &Broken);
  void endCall(CallResult Result);
  // True when another attempt has been arranged.
  bool retry(bool ProvenNotRun);
  void noteProgress();
  void refuse(const OwnAnswer &Answer);
  void breakOff();
  void finish();
  Duration timeLeft() const;

  EntryContext &m_Context;
  std::shared_ptr<HttpExchange> m_Exchange;
  const RouteMatch m_Match;
  const std::string m_RequestId;
  // Given back when the request is over.
  GatePass m_Pass;
  const TimePoint m_Arrived;
  const TimePoint m_Deadline;
  const CallSize m_Size;
  Timer m_DeadlineTimer;
  // Waits between a failed attempt and the next one.
  Timer m_RetryTimer;
  schema::CallRequest m_Request;

  std::shared_ptr<CallAttempt> m_Call;
  // Set while a call is under way.
  std::optional<BackendTarget> m_Target;
  TimePoint m_CallStarted;
  TimePoint m_ProgressNoted;
  std::vector<std::string> m_Tried;
  std::string m_FailedZone;
  // Head and body of an answer that goes out whole.
  HttpResponse m_Whole;
  // True once bytes of an answer have gone to the caller: no other try then.
  bool m_Streaming = false;
  bool m_Over = false;
};

} // namespace mangocart

#endif
