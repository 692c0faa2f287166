// Handles an idempotent request: selects a backend server, relays the answer,
// and retries or resumes at another server after a failure where that is
// allowed.
#ifndef MANGOCART_ENTRY_FORWARDEDREQUEST_H
#define MANGOCART_ENTRY_FORWARDEDREQUEST_H

#include "Core/Timer.h"
#include "Entry/AdmissionController.h"
#include "Entry/BackendDirectory.h"
#include "Entry/CallAttempt.h"
#include "Entry/LocalReply.h"
#include "Entry/RouteMatch.h"
#include "Entry/StreamResume.h"
#include "Http/HttpServer.h"

namespace mangocart {

struct EntryContext;

class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  static void start(EntryContext &Context,
                    std::shared_ptr<HttpExchange> Exchange, RouteMatch Match,
                    std::string RequestId, AdmissionPermit Permit);

private:
  ForwardedRequest(EntryContext &Context,
                   std::shared_ptr<HttpExchange> Exchange, RouteMatch Match,
                   std::string RequestId, AdmissionPermit Permit);
  void begin();
  void armDeadline();
  void attempt();
  void attemptAfter(Duration Wait);
  ChoiceRequest choice() const;
  // Called if all remaining servers are full: waits for a free slot for a short
  // time. Returns false if no slot can be expected.
  bool waitForSlot();
  // Returns false if the stream cannot be resumed.
  bool prepareContinuation();
  CallHandlers handlers();
  void handleHead(const schema::CallHead &Head);
  void handleBody(const std::string &Data);
  void handleEnd();
  void handleRefusal(const schema::CallRefusal &Refusal);
  void handleBroken(const CallBroken &Broken);
  void endCall(CallResult Result);
  // Schedules another attempt, or ends the request with the given reply.
  void retryOrFail(bool ProvenNotRun, const LocalReply &Answer);
  void reportProgress();
  // Ends the request with the reply, or aborts the stream if part of the answer
  // was sent.
  void fail(const LocalReply &Answer, std::string_view Cause);
  void abortStream();
  void finish();
  Duration timeLeft() const;

  EntryContext &m_Context;
  std::shared_ptr<HttpExchange> m_Exchange;
  const RouteMatch m_Match;
  const std::string m_RequestId;
  // Released when the request ends.
  AdmissionPermit m_Permit;
  const TimePoint m_Arrived;
  const TimePoint m_Deadline;
  const CallSize m_Size;
  Timer m_DeadlineTimer;
  // Delays the next attempt.
  Timer m_RetryTimer;
  schema::CallRequest m_Request;

  std::shared_ptr<CallAttempt> m_Call;
  // Set while a call is in progress.
  std::optional<BackendTarget> m_Target;
  TimePoint m_CallStarted;
  TimePoint m_ProgressReported;
  AttemptHistory m_History;
  // Start of the wait for a free slot.
  std::optional<TimePoint> m_SlotWaitStart;
  // Head and body of an answer that is not streamed.
  HttpResponse m_BufferedResponse;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
