// An idempotent request on its way: chooses a backend server, follows the
// answer, and goes on at another server after a failure where that is allowed.
#ifndef MANGOCART_ENTRY_FORWARDEDREQUEST_H
#define MANGOCART_ENTRY_FORWARDEDREQUEST_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Entry/CallAttempt.h"
#include "Entry/LocalReply.h"
#include "Entry/AdmissionController.h"
#include "Entry/RouteMatch.h"
#include "Entry/StreamResume.h"
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
  void attemptAfter(Duration Wait);
  ChoiceRequest choice() const;
  // Every server that is left is full for the moment: waits for a place, but
  // not for long. False when there is nothing to wait for.
  bool awaitPlace();
  // False when the stream can't go on.
  bool prepareContinuation();
  CallHandlers handlers();
  void takeHead(const schema::CallHead &Head);
  void takeBody(const std::string &Data);
  void takeEnd();
  void takeRefusal(const schema::CallRefusal &Refusal);
  void takeBreak(const CallBroken &Broken);
  void endCall(CallResult Result);
  // Arranges another attempt or ends the request with the answer.
  void retryOr(bool ProvenNotRun, const OwnAnswer &Answer);
  void noteProgress();
  // The final answer: a refusal, or a broken end once the answer has begun.
  void giveUp(const OwnAnswer &Answer, std::string_view Cause);
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
  AttemptHistory m_History;
  // Since when there was no place at any server.
  std::optional<TimePoint> m_PlaceAwaited;
  // Head and body of an answer that goes out whole.
  HttpResponse m_Whole;
  bool m_Over = false;
};

} // namespace mangocart

#endif
