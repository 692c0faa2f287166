// The life of an idempotent request at an entry.
#include "Entry/ForwardedRequest.h"

#include "Core/WorkerPool.h"
#include "Entry/CallRequests.h"
#include "Entry/EntryContext.h"
#include "Entry/MembershipDirectory.h"
#include "Entry/RequestGate.h"
#include "Entry/RequestMetrics.h"
#include "Events/EventLog.h"

#include <algorithm>

namespace mangocart {

namespace {

// A caller that takes its answer slowly stops the reading from the agent here.
constexpr std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
constexpr Duration ProgressInterval = std::chrono::milliseconds(200);
constexpr Duration RetryAfterNoServer = std::chrono::seconds(1);
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr unsigned StatusBadGateway = 502;

CallSize streamedSize(const HttpRequest &Request, const schema::Route &Route) {
  CallSize Size = sizeOf(Request);
  Size.m_ShowsProgress = Route.streamed();
  return Size;
}

} // namespace

void ForwardedRequest::start(EntryContext &Context,
                             std::shared_ptr<HttpExchange> Exchange,
                             RouteMatch Match, std::string RequestId,
                             GatePass Pass) {
  const std::shared_ptr<ForwardedRequest> Self(
      new ForwardedRequest(Context, std::move(Exchange), std::move(Match),
                           std::move(RequestId), std::move(Pass)));
  Self->begin();
}

ForwardedRequest::ForwardedRequest(EntryContext &Context,
                                   std::shared_ptr<HttpExchange> Exchange,
                                   RouteMatch Match, std::string RequestId,
                                   GatePass Pass)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Match(std::move(Match)), m_RequestId(std::move(RequestId)),
      m_Pass(std::move(Pass)), m_Arrived(RuntimeClock::now()),
      m_Deadline(m_Arrived +
                 std::chrono::milliseconds(m_Match.m_Route->deadline_ms())),
      m_Size(streamedSize(m_Exchange->request(), *m_Match.m_Route)),
      m_DeadlineTimer(m_Exchange->executor()),
      m_RetryTimer(m_Exchange->executor()) {}

void ForwardedRequest::begin() {
  m_Request = toCallRequest(m_Exchange->request(), m_RequestId,
                            m_Match.m_Service->name());
  m_Request.set_streamed(m_Match.m_Route->streamed());
  m_Request.set_configuration_version(m_Match.m_Configuration->version());
  const std::weak_ptr<ForwardedRequest> Weak = weak_from_this();
  m_Exchange->onClosed([Weak] {
    const auto Self = Weak.lock();
    if (!Self || Self->m_Over)
      return;
    ++Self->m_Context.m_Counters.m_HungUp;
    Self->breakOff();
  });
  m_Exchange->onDrained([Weak] {
    const auto Self = Weak.lock();
    if (Self && Self->m_Call)
      Self->m_Call->resumeReading();
  });
  armDeadline();
  m_Context.m_Directory.earnRetry(m_Match.m_Service->name());
  attempt();
}

void ForwardedRequest::armDeadline() {
  m_DeadlineTimer.expires_at(m_Deadline);
  m_DeadlineTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (Error || Self->m_Over)
          return;
        if (Self->m_Streaming)
          return Self->breakOff();
        Self->refuse({StatusGatewayTimeout, "deadline-passed",
                      "the answer was not complete within the route's deadline",
                      schema::UNKNOWN, RetryAfterNoServer});
      });
}

Duration ForwardedRequest::timeLeft() const {
  return m_Deadline - RuntimeClock::now();
}

void ForwardedRequest::attempt() {
  const schema::Service &Service = *m_Match.m_Service;
  ChoiceRequest Choice;
  Choice.m_Service = Service.name();
  Choice.m_Policy = Service.routing_policy();
  Choice.m_MaxOutstanding = Service.max_outstanding_per_backend_server();
  Choice.m_Size = m_Size;
  Choice.m_Tried = &m_Tried;
  Choice.m_FailedZone = m_FailedZone;
  m_Target = m_Context.m_Directory.choose(Choice);
  if (!m_Target)
    return refuse({StatusUnavailable, "no-backend-server",
                   "no backend server of the service can take the request now",
                   m_Tried.empty() ? schema::NOT_RUN : schema::UNKNOWN,
                   RetryAfterNoServer});
  m_Tried.push_back(m_Target->m_Name);
  m_CallStarted = RuntimeClock::now();
  m_Whole = {};
  m_Request.set_deadline_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft())
          .count()));
  ++m_Context.m_Counters.m_Attempts;
  m_Context.m_Directory.callStarted(*m_Target, m_Size);
  m_Call = CallAttempt::start(m_Context.m_Peers, m_Target->m_Agent, m_Request,
                              m_Exchange->executor(), handlers());
}

CallHandlers ForwardedRequest::handlers() {
  CallHandlers Handlers;
  const auto Self = shared_from_this();
  Handlers.m_OnHead = [Self](const schema::CallHead &Head) {
    Self->takeHead(Head);
  };
  Handlers.m_OnBody = [Self](std::string Data) {
    Self->takeBody(std::move(Data));
  };
  Handlers.m_OnEnd = [Self] { Self->takeEnd(); };
  Handlers.m_OnRefusal = [Self](const schema::CallRefusal &Refusal) {
    Self->takeRefusal(Refusal);
  };
  Handlers.m_OnBroken = [Self](const CallBroken &Broken) {
    Self->takeBreak(Broken);
  };
  return Handlers;
}

void ForwardedRequest::takeHead(const schema::CallHead &Head) {
  observeFirstByte(m_Context.m_Metrics, m_Match.m_Service->name(),
                   RuntimeClock::now() - m_Arrived);
  m_Context.m_Gate.noteFirstByte(m_Match.m_Service->name(),
                                 RuntimeClock::now() - m_CallStarted);
  HttpHead Converted = toHttpHead(Head, m_RequestId);
  if (!m_Match.m_Route->streamed()) {
    m_Whole.m_Head = std::move(Converted);
    return;
  }
  m_Streaming = true;
  m_Exchange->startStream(std::move(Converted));
}

void ForwardedRequest::takeBody(std::string Data) {
  noteProgress();
  if (!m_Streaming) {
    m_Whole.m_Body.append(Data);
    return;
  }
  m_Exchange->writeChunk(std::move(Data));
  if (m_Exchange->queuedBytes() > MaxQueuedBytes && m_Call)
    m_Call->pauseReading();
}

// Telling the directory of every piece would cost a lock each.
void ForwardedRequest::noteProgress() {
  const TimePoint Now = RuntimeClock::now();
  if (Now - m_ProgressNoted < ProgressInterval)
    return;
  m_ProgressNoted = Now;
  m_Context.m_Directory.callProgressed(*m_Target);
}

void ForwardedRequest::takeEnd() {
  endCall(CallResult::Answered);
  observeWhole(m_Context.m_Metrics, m_Match.m_Service->name(),
               RuntimeClock::now() - m_Arrived);
  ++m_Context.m_Counters.m_Answered;
  if (m_Streaming)
    m_Exchange->finishStream();
  else
    m_Exchange->respond(std::move(m_Whole));
  finish();
}

void ForwardedRequest::takeRefusal(const schema::CallRefusal &Refusal) {
  endCall(CallResult::Refused);
  if (retry(Refusal.outcome() == schema::NOT_RUN))
    return;
  refuse({StatusUnavailable, "refused",
          "the backend servers that were tried refused the request",
          Refusal.outcome(),
          std::max(RetryAfterNoServer, Duration(std::chrono::milliseconds(
                                           Refusal.retry_after_ms())))});
}

void ForwardedRequest::takeBreak(const CallBroken &Broken) {
  m_FailedZone = m_Target->m_AvailabilityZone;
  m_Context.m_Events.write(Event::CallBroken,
                           {{"request", m_RequestId},
                            {"backend_server", m_Target->m_Name},
                            {"detail", Broken.m_Detail}});
  endCall(CallResult::Broken);
  if (m_Streaming)
    return breakOff();
  if (retry(Broken.m_NothingSent))
    return;
  refuse({StatusBadGateway, "answer-lost",
          "the backend servers that were tried did not answer whole",
          schema::UNKNOWN, RetryAfterNoServer});
}

void ForwardedRequest::endCall(CallResult Result) {
  if (!m_Target)
    return;
  m_Context.m_Directory.callEnded(
      *m_Target, m_Size, {Result, RuntimeClock::now() - m_CallStarted});
  m_Target.reset();
  m_Call.reset();
}

bool ForwardedRequest::retry(bool ProvenNotRun) {
  FailedAttempt Failed;
  Failed.m_Attempt = static_cast<std::uint32_t>(m_Tried.size());
  Failed.m_Idempotent = true;
  Failed.m_ProvenNotRun = ProvenNotRun;
  Failed.m_AnswerBegun = m_Streaming;
  Failed.m_Deadline = m_Deadline;
  const RetryDecision Decision =
      m_Context.m_Directory.judgeRetry(m_Match.m_Service->name(), Failed);
  if (Decision.m_Verdict != RetryVerdict::Retry)
    return false;
  m_RetryTimer.expires_after(Decision.m_Delay);
  m_RetryTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error && !Self->m_Over)
          Self->attempt();
      });
  return true;
}

void ForwardedRequest::refuse(const OwnAnswer &Answer) {
  if (m_Over)
    return;
  noteRefusal(m_Context, Answer, m_RequestId);
  m_Exchange->respond(toResponse(Answer, m_RequestId));
  finish();
}

void ForwardedRequest::breakOff() {
  ++m_Context.m_Counters.m_Broken;
  m_Exchange->abort();
  finish();
}

void ForwardedRequest::finish() {
  m_Over = true;
  m_Pass.reset();
  m_DeadlineTimer.cancel();
  m_RetryTimer.cancel();
  if (m_Call)
    m_Call->cancel();
  endCall(CallResult::Cancelled);
}

} // namespace mangocart
