// Attempts, response forwarding and completion.
#include "Gateway/ProxiedRequest.h"

#include "Core/Milliseconds.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/AttemptMonitor.h"
#include "Gateway/CrashGuard.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/RequestDigest.h"
#include "Gateway/RequestPriority.h"
#include "Gateway/ResponseBuffering.h"
#include "Gateway/SuspensionDetector.h"
#include "Http/HttpClients.h"
#include "Raft/RaftPeers.h"
#include "Settings.pb.h"

#include <fmt/ranges.h>

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerFailure = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
// Longest wait for a service if the caller sends no deadline.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(30);
// By then the next announcements may have added backend servers, and a queue of
// a few requests has been processed.
constexpr Duration RetryAfterRejection = milliseconds(300);
// Reading from the backend server pauses while more than this is queued for a
// slow caller.
constexpr std::size_t MaxQueuedBytes = std::size_t{64} * 1024;
// Limit of outstanding requests from all gateways for a backend server that is
// no engine; the server queues some of them.
constexpr std::uint32_t DefaultMaxOutstanding = 16;
// A caller that has used at least this much of its time comes back after a
// rejection. Half of the shortest Retry-After of a service that is short of
// capacity; the caller's own delays are far shorter.
constexpr Duration MinUsedTime = milliseconds(100);

// Updates of the voters that arrived while this process was suspended are read
// within this time; their heartbeats seem to be newer than they are.
constexpr Duration LateUpdates = milliseconds(500);
constexpr Duration HeartbeatPollInterval = milliseconds(50);

bool isSuccess(unsigned Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::string joinParts(const std::vector<std::string> &Parts) {
  return fmt::format("{}", fmt::join(Parts, ","));
}

std::string digestOf(const ResolvedRequest &Resolved,
                     const HttpRequest &Request) {
  return requestDigest({Resolved.m_Customer
                            ? std::string_view(Resolved.m_Customer->m_Name)
                            : std::string_view(),
                        Request.m_Method, Resolved.m_Caller.m_Host,
                        Request.m_Target, Request.m_Body});
}

std::vector<SuspectId> suspectsOf(const CallerRequest &Caller,
                                  const std::string &Digest) {
  std::vector<SuspectId> Suspects = {{SuspectKind::Request, Digest}};
  for (const std::string &Part : Caller.m_SharedParts)
    Suspects.push_back({SuspectKind::PromptPart, Part});
  return Suspects;
}

CallSize sizeOf(const ResolvedRequest &Request) {
  CallSize Size;
  const CallerRequest &Caller = Request.m_Caller;
  Size.m_PromptTokens = Caller.m_PromptTokens;
  const std::uint64_t Output = Caller.m_EstimatedOutputTokens > 0
                                   ? Caller.m_EstimatedOutputTokens
                                   : Caller.m_MaxOutputTokens;
  Size.m_Tokens = std::max<std::uint64_t>(1, Caller.m_PromptTokens + Output);
  Size.m_ReportsProgress = Request.m_Route->m_Kind == RouteKind::Stream;
  return Size;
}

} // namespace

void ProxiedRequest::start(GatewayContext &Context,
                           const std::shared_ptr<HttpExchange> &Exchange,
                           ResolvedRequest Request) {
  std::make_shared<ProxiedRequest>(Context, Exchange, std::move(Request))
      ->begin();
}

ProxiedRequest::ProxiedRequest(GatewayContext &Context,
                               std::shared_ptr<HttpExchange> Exchange,
                               ResolvedRequest Request)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Request(std::move(Request)),
      m_Digest(digestOf(m_Request, m_Exchange->request())),
      m_ArrivedAt(RuntimeClock::now()), m_LastProgress(m_ArrivedAt),
      m_Timer(m_Exchange->executor()), m_AttemptTimer(m_Exchange->executor()),
      m_HeartbeatTimer(m_Exchange->executor()), m_Size(sizeOf(m_Request)) {
  const Duration CallerTimeout =
      m_Request.m_Caller.m_TimeLeft.value_or(DefaultTimeLeft);
  m_Deadline =
      m_ArrivedAt + std::min(CallerTimeout, m_Request.m_Route->m_Timeout);
  m_State.m_Retryable = m_Request.m_Route->isRetryable();
  m_State.m_MaxAttempts =
      std::max<std::uint32_t>(m_Request.m_Route->m_MaxAttempts, 1);
}

void ProxiedRequest::begin() {
  m_Exchange->onClosed(
      [Self = shared_from_this()] { Self->onCallerDisconnected(); });
  m_Exchange->onStopping([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onStopping();
  });
  m_Timer.expires_at(m_Deadline);
  m_Timer.async_wait([Weak = weak_from_this()](boost::system::error_code E) {
    const auto Self = Weak.lock();
    if (!E && Self)
      Self->onDeadline();
  });
  m_Context.m_RetryBudgets.recordRequest(m_Request.m_Service);
  m_GuardNumber = m_Context.m_CrashGuard.begin(
      {m_Request.m_Service, suspectsOf(m_Request.m_Caller, m_Digest),
       m_Exchange->executor(),
       [Weak = weak_from_this()](SuspectState State,
                                 const std::string &CrashedGroup) {
         if (const auto Self = Weak.lock())
           Self->onRestricted(State, CrashedGroup);
       }});
  startAttempt();
}

Duration ProxiedRequest::timeLeft() const {
  return m_Deadline - RuntimeClock::now();
}

bool ProxiedRequest::responseIsStream() const {
  return m_Request.m_Route->m_Kind == RouteKind::Stream;
}

std::uint32_t ProxiedRequest::priority() const {
  return priorityOf(*m_Request.m_Route, m_Request.m_Customer);
}

Duration ProxiedRequest::usedTime() const {
  const Duration Timeout = m_Request.m_Route->m_Timeout;
  return std::max(Duration::zero(),
                  Timeout - m_Request.m_Caller.m_TimeLeft.value_or(Timeout));
}

bool ProxiedRequest::isReturned() const {
  return usedTime() >= MinUsedTime &&
         (m_Request.m_Plan->hasPriorities(m_Request.m_Service) ||
          m_Request.m_Plan->plan().m_Customers.size() > 1);
}

DispatchRequest ProxiedRequest::makeDispatchRequest() const {
  const RouteConfig &Route = *m_Request.m_Route;
  const ServiceConfig *Service =
      m_Request.m_Plan->findService(m_Request.m_Service);
  DispatchRequest Request;
  Request.m_Service = m_Request.m_Service;
  Request.m_Size = m_Size;
  Request.m_MaxOutstanding =
      Service && Service->m_Engine && Service->m_Engine->m_Slots > 0
          ? Service->m_Engine->m_Slots
          : DefaultMaxOutstanding;
  if (Service && Service->m_Engine)
    Request.m_PrefillTokensPerPass = prefillTokensPerPass(*Service->m_Engine);
  Request.m_PassRules = m_Request.m_Plan->passRules(m_Request.m_Service);
  Request.m_Tried = m_Tried;
  Request.m_FailedZone = m_FailedZone;
  WaitingCall &Times = Request.m_Times;
  Times.m_Arrived = m_ArrivedAt;
  Times.m_TargetTime = m_ResponseStarted
                           ? m_ArrivedAt
                           : m_ArrivedAt + Route.m_TargetLatency - usedTime();
  Times.m_Deadline = m_Deadline;
  Times.m_CallerTimeoutAt = m_Deadline;
  if (Route.m_CallerIdleTimeout > Duration::zero())
    Times.m_CallerTimeoutAt =
        std::min(m_Deadline, m_LastProgress + Route.m_CallerIdleTimeout);
  Times.m_Priority = priority();
  if (m_Request.m_Customer)
    Times.m_Customer = m_Request.m_Customer->m_Name;
  Times.m_Returned = isReturned();
  Times.m_IsRetry = !m_Tried.empty();
  return Request;
}

// --- Sending

void ProxiedRequest::startAttempt() {
  if (timeLeft() <= Duration::zero())
    return onDeadline();
  if (failIfHeld(false))
    return;
  if (m_Tried.empty() && isReturned())
    m_Context.m_Metrics.m_Priorities.recordReturned(priority());
  m_DispatchId = 0;
  m_DispatchId = m_Context.m_Dispatcher.submit(
      makeDispatchRequest(), m_Exchange->executor(),
      [Self = shared_from_this()](DispatchResult Result) {
        Self->onDispatched(std::move(Result));
      });
}

void ProxiedRequest::onDispatched(DispatchResult Result) {
  m_DispatchId.reset();
  m_Target = std::move(Result.m_Target);
  if (m_Finished) {
    // The caller disconnected while the dispatcher's result was queued.
    reportResult(CallResult::Cancelled);
    return;
  }
  PriorityMetrics &Priorities = m_Context.m_Metrics.m_Priorities;
  if (!m_Target) {
    Priorities.recordRejected(priority(), isReturned());
    return fail(toString(Result.m_Rejection), Result.m_RetryAfter);
  }
  if (m_Tried.empty())
    Priorities.recordDispatched(priority(), RuntimeClock::now() - m_ArrivedAt);
  if (!failIfHeld(true))
    send();
}

bool ProxiedRequest::failIfHeld(bool Reserve) {
  const GuardDecision Decision =
      m_Context.m_CrashGuard.decide(m_GuardNumber, Reserve);
  if (Decision.m_Allowed)
    return false;
  m_HeldFor = Decision.m_Suspect;
  if (m_HttpCall)
    dropAttempt("the request may crash servers", CallResult::Cancelled);
  else
    reportResult(CallResult::Cancelled);
  fail("suspect-held", Decision.m_RetryAfter);
  return true;
}

void ProxiedRequest::onRestricted(SuspectState State,
                                  const std::string &CrashedGroup) {
  if (m_Finished)
    return;
  // While it waits for a backend server.
  if (m_DispatchId) {
    failIfHeld(false);
    return;
  }
  // The answer may crash its server as well once it begins. The ranks of the
  // crashed group don't begin it: they report that it has not run.
  if (State != SuspectState::Held || !m_HttpCall || !m_Target ||
      m_DataForwarded || !m_State.m_Retryable ||
      (!CrashedGroup.empty() &&
       m_Context.m_Directory.groupName(m_Target->m_Name) == CrashedGroup))
    return;
  failIfHeld(false);
}

void ProxiedRequest::send() {
  const Duration Left = timeLeft();
  if (Left <= Duration::zero()) {
    reportResult(CallResult::Cancelled);
    return onDeadline();
  }
  ForwardedMetadata Metadata;
  Metadata.m_BackendServer = m_Target->m_Name;
  Metadata.m_TimeLeft = Left;
  if (m_Request.m_Customer)
    Metadata.m_Customer = m_Request.m_Customer->m_Name;
  Metadata.m_LastEventId = m_Splitter.lastId()
                               ? m_Splitter.lastId()
                               : m_Request.m_Caller.m_LastEventId;
  Metadata.m_Urgency =
      urgencyOf(*m_Request.m_Plan, m_Request.m_Service, priority());
  m_Context.m_Metrics.m_Attempts.add();
  if (m_State.m_AttemptCount > 0)
    m_Context.m_Metrics.m_Retries.add();
  if (m_ResponseStarted)
    m_Context.m_Metrics.m_Resumed.add();
  ++m_State.m_AttemptCount;
  m_SentAt = RuntimeClock::now();
  recordRetrySent();
  m_HeadReceived = false;
  m_DataForwarded = false;
  m_LastEvent.reset();
  m_Body.clear();
  m_Splitter.discardPending();
  const HttpTarget To{m_Target->m_Agent.m_Address, m_Target->m_Agent.m_Port};
  m_Context.m_CrashGuard.attemptSent(m_GuardNumber, *m_Target);
  m_HttpCall =
      m_Context.m_Clients.on(m_Exchange->executor())
          .send(To,
                m_Context.m_Protocol.forward(m_Exchange->request(), Metadata),
                Left + milliseconds(1), makeHandlers());
  monitorAttempt();
}

void ProxiedRequest::recordRetrySent() {
  const auto TakenAt = std::exchange(m_RetryTakenAt, std::nullopt);
  if (!TakenAt)
    return;
  m_Context.m_RetryBudgets.recordRetrySent(m_Request.m_Service);
  m_Context.m_Events.write(
      Event::RetrySent,
      {{"request", m_Request.m_Caller.m_RequestId},
       {"service", m_Request.m_Service},
       {"backend_server", m_Target->m_Name},
       {"sent", m_State.m_AttemptCount},
       {"waited_ms", wholeMilliseconds(m_SentAt - *TakenAt)}});
}

void ProxiedRequest::monitorAttempt() {
  const ServiceConfig *Service =
      m_Request.m_Plan->findService(m_Request.m_Service);
  if (!m_State.m_Retryable || !Service || !Service->m_Engine)
    return;
  m_MonitorId = m_Context.m_AttemptMonitor.begin(
      *m_Target, m_Exchange->executor(), [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->failOver("the backend server's machine does not respond");
      });
  const auto Timeout = attemptTimeout(
      m_Context.m_Dispatcher.expectedFirstByte(m_Request.m_Service),
      m_Request.m_Route->m_CallerIdleTimeout);
  if (!Timeout)
    return;
  m_AttemptTimer.expires_after(*Timeout);
  m_AttemptTimer.async_wait([Weak = weak_from_this(), Attempt = m_MonitorId](
                                boost::system::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && Self->m_MonitorId == Attempt &&
        !Self->m_DataForwarded)
      Self->failOver("no data received within the attempt timeout");
  });
}

HttpCallHandlers ProxiedRequest::makeHandlers() {
  HttpCallHandlers Handlers;
  const auto Self = shared_from_this();
  // Answers to requests without an ID can't be told apart.
  if (!m_Request.m_Caller.m_RequestId.empty())
    Handlers.m_OwnerOf = [Self](const HttpHead &Head) {
      return Self->m_Context.m_Protocol.ownerOf(
          Head, Self->m_Request.m_Caller.m_RequestId);
    };
  Handlers.m_OnHead = [Self](HttpHead Head) { Self->onHead(std::move(Head)); };
  Handlers.m_OnBody = [Self](std::string_view Chunk) { Self->onBody(Chunk); };
  Handlers.m_OnEnd = [Self] { Self->onEnd(); };
  Handlers.m_OnError = [Self](const HttpError &Error) { Self->onError(Error); };
  return Handlers;
}

// --- Response

void ProxiedRequest::onHead(HttpHead Head) {
  m_Head = std::move(Head);
  m_HeadReceived = true;
  m_Context.m_AttemptMonitor.onDataReceived(*m_Target);
  const ResponseKind Kind = responseKind();
  m_Context.m_Directory.noteAnswer(
      *m_Target, m_Context.m_Protocol.readNotice(m_Head),
      Kind == ResponseKind::WrongServer ? std::optional<TimePoint>()
                                        : m_SentAt);
  m_ForwardingMode = responseIsStream() && Kind == ResponseKind::Ran &&
                             hasEvents(m_Head, m_ResponseStarted)
                         ? ForwardingMode::Events
                         : ForwardingMode::Buffered;
}

void ProxiedRequest::onBody(std::string_view Chunk) {
  m_Context.m_AttemptMonitor.onDataReceived(*m_Target);
  m_Context.m_CrashGuard.dataReceived(m_GuardNumber);
  recordAnswerBegan();
  if (m_ForwardingMode == ForwardingMode::Events) {
    std::string Events = m_Splitter.take(Chunk);
    if (!Events.empty()) {
      recordEventGap(Events);
      forwardToCaller(std::move(Events));
    }
    if (m_Splitter.pendingBytes() > m_Context.m_Settings.max_buffered_bytes())
      abandonAttempt("an event of the stream is too large");
    return;
  }
  if (m_ForwardingMode == ForwardingMode::Unbuffered)
    return forwardToCaller(std::string(Chunk));
  m_Body.append(Chunk);
  switch (bufferAction(
      {m_Body.size(), isSuccess(m_Head.m_Status), m_ResponseStarted},
      m_Context.m_Settings.max_buffered_bytes())) {
  case BufferAction::Continue:
    return;
  case BufferAction::Abandon:
    return abandonAttempt("the body of a failure response is too large");
  case BufferAction::Forward:
    break;
  }
  m_ForwardingMode = ForwardingMode::Unbuffered;
  m_State.m_ResponseCommitted = true;
  forwardToCaller(std::move(m_Body));
  m_Body.clear();
}

ResponseKind ProxiedRequest::responseKind() const {
  return m_Context.m_Protocol.classify(m_Head, toString(m_Target->m_Agent));
}

HttpHead ProxiedRequest::callerHead() const {
  HttpHead Head = m_Context.m_Protocol.toCallerHead(m_Head);
  if (m_Context.isDraining())
    Head.m_Headers.push_back({"Connection", "close"});
  return Head;
}

void ProxiedRequest::recordFirstByte() {
  const TimePoint Now = RuntimeClock::now();
  m_FirstByte = Now - m_ArrivedAt;
  m_Context.m_Dispatcher.recordFirstByte(m_Request.m_Service, Now - m_SentAt);
  const double Seconds = std::chrono::duration<double>(*m_FirstByte).count();
  m_Context.m_Metrics.m_FirstByte.observe(Seconds);
  if (m_ForwardingMode == ForwardingMode::Events)
    m_Context.m_Metrics.m_FirstEvent[promptSizeClass(m_Size.m_PromptTokens)]
        ->observe(Seconds);
}

void ProxiedRequest::recordAnswerBegan() {
  if (!std::exchange(m_HasAnswerBegun, true))
    m_Context.m_Directory.answerBegan(*m_Target, m_Size);
}

void ProxiedRequest::startResponse() {
  if (m_ResponseStarted)
    return;
  m_ResponseStarted = true;
  m_State.m_ResponseCommitted = !m_Request.m_Route->m_Resumable;
  recordFirstByte();
  m_Exchange->startStream(callerHead());
}

void ProxiedRequest::recordEventGap(std::string_view Events) {
  const TimePoint Now = RuntimeClock::now();
  const auto Last = std::exchange(m_LastEvent, Now);
  // Several events that arrive together end more than one pass.
  const std::size_t End = Events.find("\n\n");
  const bool IsSingle =
      End == std::string_view::npos || End + 2 == Events.size();
  if (Last && IsSingle)
    m_Context.m_Directory.gapObserved(*m_Target, Now - *Last);
}

void ProxiedRequest::forwardToCaller(std::string Bytes) {
  m_DataForwarded = true;
  startResponse();
  m_LastProgress = RuntimeClock::now();
  if (m_ForwardingMode == ForwardingMode::Events &&
      !std::exchange(m_IsStreamCounted, true))
    m_Context.m_Directory.streamBegan(*m_Target);
  m_Context.m_Directory.callProgressed(*m_Target);
  m_Exchange->writeChunk(std::move(Bytes));
  if (m_Exchange->queuedBytes() <= MaxQueuedBytes || !m_HttpCall)
    return;
  m_HttpCall->pauseReading();
  m_LastEvent.reset();
  m_Exchange->onDrained([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->m_HttpCall)
      Self->m_HttpCall->resumeReading();
  });
}

void ProxiedRequest::onEnd() {
  m_HttpCall.reset();
  switch (responseKind()) {
  case ResponseKind::NotRun:
    return endAttempt(AttemptResult::ReportedNotRun,
                      "the backend server rejected the request");
  case ResponseKind::GroupBroken:
    m_Context.m_Directory.noteGroupBroken(*m_Target);
    return endAttempt(AttemptResult::ReportedNotRun,
                      "the rank group is broken");
  case ResponseKind::WrongServer:
    m_Context.m_Directory.markReplaced(*m_Target);
    return endAttempt(AttemptResult::ReportedNotRun,
                      "a different backend server uses the address");
  case ResponseKind::Ran:
    break;
  }
  if (!endsWithConnection(m_Head))
    return onComplete();
  // A server that ends closes its connections as well, so the answer is whole
  // only if the server still runs.
  m_Context.m_CrashGuard.verifyRunning(
      *m_Target, m_Exchange->executor(),
      [Self = shared_from_this()](ServerLiveness Liveness) {
        if (!Self->m_Finished && Self->m_Target)
          Self->onServerVerified(Liveness);
      });
}

void ProxiedRequest::onServerVerified(ServerLiveness Liveness) {
  if (Liveness == ServerLiveness::Ended)
    return endAttempt(lostResult(), "the backend server ended with its answer");
  if (Liveness == ServerLiveness::Unknown)
    return endAttempt(lostResult(),
                      "the backend server sent an invalid response "
                      "to a probe after its answer");
  // A server doesn't start again between the end of its answer and the probe,
  // unless this process was suspended and has read that end late.
  if (Liveness == ServerLiveness::Running ||
      !m_Context.m_Suspensions.wasSuspended(m_SentAt))
    return onComplete();
  waitForHeartbeat(RuntimeClock::now());
}

void ProxiedRequest::waitForHeartbeat(TimePoint EndedAt) {
  const auto HasHeartbeat =
      m_Context.m_Directory.hasHeartbeatSince(*m_Target, EndedAt + LateUpdates);
  if (HasHeartbeat && *HasHeartbeat)
    return onComplete();
  if (HasHeartbeat)
    return endAttempt(lostResult(), "the backend server has started again");
  m_HeartbeatTimer.expires_after(HeartbeatPollInterval);
  m_HeartbeatTimer.async_wait(
      [Weak = weak_from_this(), EndedAt](boost::system::error_code E) {
        const auto Self = Weak.lock();
        if (!E && Self && !Self->m_Finished && Self->m_Target)
          Self->waitForHeartbeat(EndedAt);
      });
}

void ProxiedRequest::onComplete() {
  if (m_ForwardingMode != ForwardingMode::Buffered) {
    if (m_Splitter.pendingBytes() > 0)
      return onConnectionLost("the stream ended in the middle of an event");
    m_Context.m_CrashGuard.answered(m_GuardNumber);
    reportAnswered();
    startResponse();
    m_Exchange->finishStream();
    return finish("answered", m_Head.m_Status);
  }
  if (m_Head.m_Status >= FirstServerFailure || m_ResponseStarted)
    return endAttempt(AttemptResult::FailureResponse,
                      "the backend server responded with a failure status");
  if (isSuccess(m_Head.m_Status))
    m_Context.m_CrashGuard.answered(m_GuardNumber);
  reportAnswered();
  recordFirstByte();
  m_Exchange->respond({callerHead(), std::move(m_Body)});
  finish("answered", m_Head.m_Status);
}

AttemptResult ProxiedRequest::lostResult() const {
  return m_ResponseStarted ? AttemptResult::ResponseTruncated
                           : AttemptResult::ConnectionLost;
}

void ProxiedRequest::onConnectionLost(std::string Detail) {
  m_Context.m_CrashGuard.connectionLost(
      m_GuardNumber, [Self = shared_from_this(), Detail = std::move(Detail)] {
        if (!Self->m_Finished && Self->m_Target)
          Self->endAttempt(Self->lostResult(), Detail);
      });
}

void ProxiedRequest::onError(const HttpError &Error) {
  m_HttpCall.reset();
  if (Error.m_Code == HttpErrorCode::TimedOut)
    return onDeadline();
  if (Error.m_NothingSent) {
    // Not counted as an attempt, as the backend server received nothing.
    --m_State.m_AttemptCount;
    return endAttempt(AttemptResult::NeverSent, Error.m_Detail);
  }
  if (Error.m_Code == HttpErrorCode::ConnectionLost)
    return onConnectionLost(Error.m_Detail);
  endAttempt(lostResult(), Error.m_Detail);
}

// --- Completion

void ProxiedRequest::reportResult(CallResult Result) {
  if (!m_Target)
    return;
  if (const std::uint64_t Number = std::exchange(m_MonitorId, 0))
    m_Context.m_AttemptMonitor.end(*m_Target, Number);
  m_Context.m_CrashGuard.attemptEnded(m_GuardNumber);
  if (std::exchange(m_IsStreamCounted, false))
    m_Context.m_Directory.streamEnded(*m_Target);
  m_Context.m_Directory.callEnded(*m_Target, m_Size,
                                  {Result, RuntimeClock::now() - m_SentAt,
                                   std::exchange(m_HasAnswerBegun, false)});
  m_Tried.push_back(m_Target->m_Name);
  m_FailedZone = m_Target->m_AvailabilityZone;
  m_Target.reset();
  m_Context.m_Dispatcher.dispatchWaiting(m_Request.m_Service);
}

void ProxiedRequest::reportAnswered() {
  m_Context.m_Dispatcher.recordAnswered(m_Request.m_Service,
                                        RuntimeClock::now() - m_ArrivedAt);
  reportResult(CallResult::Answered);
}

void ProxiedRequest::logAttemptEnd(AttemptResult Result,
                                   std::string_view Detail) const {
  m_Context.m_Events.write(
      Event::AttemptEnded,
      {{"request", m_Request.m_Caller.m_RequestId},
       {"backend_server", m_Target ? m_Target->m_Name : ""},
       {"end", toString(Result)},
       {"detail", Detail},
       {"status", m_HeadReceived ? m_Head.m_Status : 0U},
       {"sent", m_State.m_AttemptCount},
       {"attempt_ms", wholeMilliseconds(RuntimeClock::now() - m_SentAt)},
       {"digest", m_Digest},
       {"parts", joinParts(m_Request.m_Caller.m_SharedParts)}});
}

bool ProxiedRequest::takeRetry() {
  const RetryShareDecision Decision =
      m_Context.m_RetryBudgets.takeRetry(m_Request.m_Service);
  m_Context.m_Events.write(Event::RetryDecided,
                           {{"request", m_Request.m_Caller.m_RequestId},
                            {"service", m_Request.m_Service},
                            {"allowed", Decision.m_IsAllowed},
                            {"requests", Decision.m_Requests},
                            {"retries", Decision.m_Retries},
                            {"max_retries", Decision.m_MaxRetries},
                            {"gateways", Decision.m_Gateways}});
  if (Decision.m_IsAllowed)
    m_RetryTakenAt = RuntimeClock::now();
  return Decision.m_IsAllowed;
}

void ProxiedRequest::endAttempt(AttemptResult Result, std::string_view Detail) {
  m_State.m_MayHaveRun = m_State.m_MayHaveRun || mayHaveRun(Result);
  logAttemptEnd(Result, Detail);
  if (Result == AttemptResult::FailureResponse)
    reportResult(CallResult::Failed);
  else if (Result == AttemptResult::ReportedNotRun)
    reportResult(CallResult::Refused);
  else
    reportResult(CallResult::Broken);
  const bool IsRetry = m_State.m_AttemptCount > 0;
  if (mayRetry(m_State) && (!IsRetry || takeRetry()))
    return startAttempt();
  if (Result == AttemptResult::FailureResponse && !m_ResponseStarted) {
    m_Exchange->respond({callerHead(), std::move(m_Body)});
    return finish("answered-failure", m_Head.m_Status);
  }
  fail(toString(Result));
}

void ProxiedRequest::fail(std::string_view Reason,
                          std::optional<Duration> RetryAfter) {
  const RequestFailure Failure = failureOf(m_State);
  const bool Started = m_ResponseStarted;
  unsigned Status = 0;
  GatewayMetrics &Metrics = m_Context.m_Metrics;
  switch (Started ? RequestFailure::ConnectionClosed : Failure) {
  case RequestFailure::ConnectionClosed:
    Metrics.m_Truncated.add();
    m_Exchange->abort();
    return finish(Reason, Status);
  case RequestFailure::RejectedNotRun:
    Metrics.m_RejectedNotRun.add();
    Status = StatusUnavailable;
    break;
  case RequestFailure::OutcomeUnknown:
    Metrics.m_FailedUnknown.add();
    Status = StatusBadGateway;
    break;
  case RequestFailure::DeadlinePassed:
    Metrics.m_FailedTimeout.add();
    Status = StatusGatewayTimeout;
    break;
  }
  const bool IsRejected = Failure == RequestFailure::RejectedNotRun;
  m_Exchange->respond(m_Context.m_Protocol.makeResponse(
      Status, toString(Failure), m_Request.m_Caller.m_RequestId,
      IsRejected ? std::optional(RetryAfter.value_or(RetryAfterRejection))
                 : std::nullopt));
  finish(Reason, Status);
}

void ProxiedRequest::onDeadline() {
  if (m_Finished)
    return;
  m_State.m_DeadlinePassed = true;
  if (m_Target)
    m_State.m_MayHaveRun = true;
  cancelCall();
  reportResult(m_HeadReceived ? CallResult::Cancelled : CallResult::Broken);
  fail("time-over");
}

void ProxiedRequest::failOver(std::string_view Detail) {
  if (m_Finished || !m_HttpCall || !m_Target)
    return;
  RequestState After = m_State;
  After.m_MayHaveRun = true;
  if (!mayRetry(After) || !takeRetry())
    return;
  dropAttempt(Detail, CallResult::Broken);
  startAttempt();
}

void ProxiedRequest::dropAttempt(std::string_view Detail, CallResult Result) {
  cancelCall();
  m_State.m_MayHaveRun = true;
  logAttemptEnd(lostResult(), Detail);
  reportResult(Result);
}

void ProxiedRequest::abandonAttempt(std::string_view Detail) {
  if (!m_HttpCall)
    return;
  cancelCall();
  endAttempt(lostResult(), Detail);
}

void ProxiedRequest::onCallerDisconnected() {
  if (m_Finished)
    return;
  m_Context.m_Metrics.m_CallerDisconnects.add();
  cancelCall();
  reportResult(CallResult::Cancelled);
  finish("caller-gone", 0);
}

void ProxiedRequest::cancelCall() {
  if (m_HttpCall)
    m_HttpCall->cancel();
  m_HttpCall.reset();
}

void ProxiedRequest::onStopping() {
  if (m_Finished)
    return;
  if (m_Target) {
    m_State.m_MayHaveRun = true;
    logAttemptEnd(lostResult(), "the gateway stops");
  }
  cancelCall();
  reportResult(CallResult::Cancelled);
  fail("stopping", Duration::zero());
}

void ProxiedRequest::finish(std::string_view Outcome, unsigned Status) {
  if (m_Finished)
    return;
  m_Finished = true;
  m_Context.m_CrashGuard.end(m_GuardNumber);
  if (std::exchange(m_RetryTakenAt, std::nullopt))
    m_Context.m_RetryBudgets.dropRetry(m_Request.m_Service);
  m_Timer.cancel();
  m_AttemptTimer.cancel();
  m_HeartbeatTimer.cancel();
  if (m_DispatchId)
    m_Context.m_Dispatcher.cancel(m_Request.m_Service, *m_DispatchId);
  const TimePoint Now = RuntimeClock::now();
  m_Context.m_Metrics.m_TotalTime.observe(
      std::chrono::duration<double>(Now - m_ArrivedAt).count());
  m_Context.m_Events.write(
      Event::RequestEnded,
      {{"request", m_Request.m_Caller.m_RequestId},
       {"route", m_Request.m_Route->m_Name},
       {"service", m_Request.m_Service},
       {"kind", toString(m_Request.m_Route->m_Kind)},
       {"outcome", Outcome},
       {"status", Status},
       {"backend_server", m_Tried.empty() ? "" : m_Tried.back()},
       {"sent", m_State.m_AttemptCount},
       {"configuration", m_Request.m_Plan->plan().m_Version},
       {"first_byte_ms", m_FirstByte ? wholeMilliseconds(*m_FirstByte) : 0},
       {"time_ms", wholeMilliseconds(Now - m_ArrivedAt)},
       {"allowed_ms", wholeMilliseconds(m_Deadline - m_ArrivedAt)},
       {"digest", m_Digest},
       {"held_for", m_HeldFor ? toString(*m_HeldFor) : ""}});
}

} // namespace mangocart
