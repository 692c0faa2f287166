// Handles one caller's request at a gateway: sends it to a backend server,
// forwards the response, retries where at-most-once allows it, and enforces the
// deadline.
#ifndef MANGOCART_GATEWAY_PROXIEDREQUEST_H
#define MANGOCART_GATEWAY_PROXIEDREQUEST_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/CrashGuard.h"
#include "Gateway/EventStreamSplitter.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/ServiceDispatcher.h"
#include "Http/HttpClient.h"
#include "Routing/CrashEvidence.h"

#include <memory>

namespace mangocart {

// A request with its route, customer and service resolved.
struct ResolvedRequest {
  // Keeps m_Route and m_Customer alive.
  RoutingPlanPtr m_Plan;
  const RouteConfig *m_Route = nullptr;
  // Null if the route requires no key.
  const CustomerConfig *m_Customer = nullptr;
  std::string m_Service;
  CallerRequest m_Caller;
};

// Runs on the exchange's worker thread and is kept alive by the handlers that
// it registers.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
  static void start(GatewayContext &Context,
                    const std::shared_ptr<HttpExchange> &Exchange,
                    ResolvedRequest Request);

  ProxiedRequest(GatewayContext &Context,
                 std::shared_ptr<HttpExchange> Exchange,
                 ResolvedRequest Request);

private:
  // How the response is forwarded to the caller.
  enum class ForwardingMode {
    // Buffered until complete, so that a failed attempt can be retried.
    Buffered,
    // Forwarded as complete events of an event stream.
    Events,
    // Forwarded as received, because the response is too large to buffer.
    Unbuffered
  };

  void begin();
  // Asks the dispatcher for a backend server.
  void startAttempt();
  void onDispatched(DispatchResult Result);
  void send();
  // Counts the attempt in the retry budget if it is a retry.
  void recordRetrySent();
  DispatchRequest makeDispatchRequest() const;
  HttpCallHandlers makeHandlers();

  void onHead(HttpHead Head);
  void onBody(std::string_view Chunk);
  void onEnd();
  // The whole answer has been received.
  void onComplete();
  // Ends the attempt once it is known whether its server has ended as well.
  void onConnectionLost(std::string Detail);
  // Called when a suspect of this request is held or on probation because a
  // server has ended. CrashedGroup is its rank group, empty if it has none.
  void onRestricted(SuspectState State, const std::string &CrashedGroup);
  // Drops the attempt, fails the request and returns true if one of its
  // suspects doesn't allow it.
  bool failIfHeld(bool Reserve);
  void onError(const HttpError &Error);
  // Lost while its answer was received, or before.
  AttemptResult lostResult() const;
  void onDeadline();
  void onCallerDisconnected();
  // The drain of the gateway has ended: answers with what is known.
  void onStopping();
  // Cancels the attempt and tries another backend server if the request may be
  // retried; otherwise keeps waiting for the response.
  void failOver(std::string_view Detail);
  // Cancels the attempt, which may have run, and logs and reports its end.
  void dropAttempt(std::string_view Detail, CallResult Result);
  // Cancels the attempt, whose response isn't usable.
  void abandonAttempt(std::string_view Detail);
  // Ends the call of the attempt, if there is one, without a result.
  void cancelCall();
  void monitorAttempt();

  // Records the time since the last event of the stream.
  void recordEventGap(std::string_view Events);
  void forwardToCaller(std::string Bytes);
  // Records the first data of the current attempt's answer.
  // Completes an answer that ended with its connection if its server still
  // runs; ends the attempt if it doesn't.
  void onServerVerified(ServerLiveness Liveness);
  // Waits for a heartbeat that the server's incarnation has sent after the end
  // of its answer.
  void waitForHeartbeat(TimePoint EndedAt);
  void recordAnswerBegan();
  void recordFirstByte();
  void startResponse();
  void endAttempt(AttemptResult Result, std::string_view Detail);
  // Takes another attempt from the retry budget of the service, and logs the
  // decision.
  bool takeRetry();
  void logAttemptEnd(AttemptResult Result, std::string_view Detail) const;
  // Reports the end of the attempt to the directory.
  void reportResult(CallResult Result);
  // The same for an attempt whose answer was received whole.
  void reportAnswered();
  void finish(std::string_view Outcome, unsigned Status);
  void fail(std::string_view Reason,
            std::optional<Duration> RetryAfter = std::nullopt);
  ResponseKind responseKind() const;
  HttpHead callerHead() const;
  Duration timeLeft() const;
  std::uint32_t priority() const;
  // The part of its time that the caller had used when the request arrived. A
  // caller that retries sends a remaining time below the route's timeout.
  Duration usedTime() const;
  // Whether the caller comes back after a rejection. Always false for services
  // without priorities or customers to tell apart: their calls go by arrival.
  bool isReturned() const;
  bool responseIsStream() const;

  GatewayContext &m_Context;
  const std::shared_ptr<HttpExchange> m_Exchange;
  const ResolvedRequest m_Request;
  const std::string m_Digest;
  const TimePoint m_ArrivedAt;
  // When data was last sent to the caller.
  TimePoint m_LastProgress;
  TimePoint m_Deadline;
  Timer m_Timer;
  // Expires when the current attempt has received no data for too long.
  Timer m_AttemptTimer;
  // Runs while a heartbeat is waited for.
  Timer m_HeartbeatTimer;
  CallSize m_Size;
  RequestState m_State;

  // The current attempt; m_Target is set while the directory counts it as
  // outstanding.
  std::shared_ptr<HttpCall> m_HttpCall;
  std::optional<BackendTarget> m_Target;
  TimePoint m_SentAt;
  // When the retry budget allowed the next attempt, until it is sent; empty if
  // the next attempt isn't a retry.
  std::optional<TimePoint> m_RetryTakenAt;
  // Number of the request at the crash guard; 0 before it is watched.
  std::uint64_t m_GuardNumber = 0;
  // The suspect because of which the request was rejected.
  std::optional<SuspectId> m_HeldFor;
  // Number of the attempt at the attempt monitor; 0 if it is not monitored.
  std::uint64_t m_MonitorId = 0;
  // Number of the request at the dispatcher while it waits for a backend
  // server.
  std::optional<std::uint64_t> m_DispatchId;
  // Names of the backend servers tried so far, in order.
  std::vector<std::string> m_Tried;
  std::string m_FailedZone;

  // Head of the response, and the buffered part of its body (m_Body).
  HttpHead m_Head;
  bool m_HeadReceived = false;
  // The current attempt has delivered data to the caller.
  bool m_DataForwarded = false;
  // The directory knows that the answer of the current attempt has begun.
  bool m_HasAnswerBegun = false;
  // The directory counts the stream of the current attempt.
  bool m_IsStreamCounted = false;
  // When the last event of the current attempt was received; empty if the time
  // to the next one isn't that of a pass.
  std::optional<TimePoint> m_LastEvent;
  std::string m_Body;
  ForwardingMode m_ForwardingMode = ForwardingMode::Buffered;
  EventStreamSplitter m_Splitter;
  bool m_ResponseStarted = false;
  std::optional<Duration> m_FirstByte;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
