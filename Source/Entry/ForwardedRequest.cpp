#include "Entry/ForwardedRequest.h"

#include "Core/WorkerPool.h"
#include "Entry/AdmissionController.h"
#include "Entry/CallRequests.h"
#include "Entry/EntryContext.h"
#include "Entry/MembershipDirectory.h"
#include "Entry/RequestMetrics.h"
#include "Events/EventLog.h"

#include <algorithm>

namespace mangocart {

namespace {

// Reading from the agent is paused while more than this is buffered for a slow
// caller.
constexpr std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
constexpr Duration ProgressInterval = std::chrono::milliseconds(200);
// Admission control updates the capacity every 100 ms; in the meantime another
// entry may have taken a slot.
constexpr Duration MaxSlotWait = std::chrono::milliseconds(300);
constexpr Duration SlotPollInterval = std::chrono::milliseconds(10);
constexpr Duration RetryAfterNoServer = std::chrono::seconds(1);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr unsigned StatusBadGateway = 502;

CallSize streamedSize(const HttpRequest &Request, const schema::Route &Route) {
  CallSize Size = estimateSize(Request);
  Size.m_ReportsProgress = Route.streamed();
  return Size;
}

} // namespace

void ForwardedRequest::start(EntryContext &Context,
                             std::shared_ptr<HttpExchange> Exchange,
                             RouteMatch Match, std::string RequestId,
                             AdmissionPermit Permit) {
  const std::shared_ptr<ForwardedRequest> Self(
      new ForwardedRequest(Context, std::move(Exchange), std::move(Match),
                           std::move(RequestId), std::move(Permit)));
  Self->begin();
}

ForwardedRequest::ForwardedRequest(EntryContext &Context,
                                   std::shared_ptr<HttpExchange> Exchange,
                                   RouteMatch Match, std::string RequestId,
                                   AdmissionPermit Permit)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Match(std::move(Match)), m_RequestId(std::move(RequestId)),
      m_Permit(std::move(Permit)), m_Arrived(RuntimeClock::now()),
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
    if (!Self || Self->m_Finished)
      return;
    ++Self->m_Context.m_Counters.m_HungUp;
    Self->abortStream();
  });
  m_Exchange->onStopping([Weak] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    const bool NotRun = Self->m_History.m_Tried.empty();
    Self->fail({NotRun ? StatusUnavailable : StatusBadGateway, "stopping",
                "the entry stops before the answer is complete; ask another "
                "entry",
                NotRun ? schema::NOT_RUN : schema::UNKNOWN, Duration::zero()},
               "stopping");
  });
  m_Exchange->onDrained([Weak] {
    const auto Self = Weak.lock();
    if (Self && Self->m_Call)
      Self->m_Call->resumeReading();
  });
  armDeadline();
  m_Context.m_Directory.recordFirstAttempt(m_Match.m_Service->name());
  attempt();
}

void ForwardedRequest::armDeadline() {
  m_DeadlineTimer.expires_at(m_Deadline);
  m_DeadlineTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (Error || Self->m_Finished)
          return;
        Self->fail({StatusGatewayTimeout, "deadline-passed",
                    "the answer was not complete within the route's deadline",
                    schema::UNKNOWN, RetryAfterNoServer},
                   "deadline-passed");
      });
}

Duration ForwardedRequest::timeLeft() const {
  return m_Deadline - RuntimeClock::now();
}

ChoiceRequest ForwardedRequest::choice() const {
  const schema::Service &Service = *m_Match.m_Service;
  ChoiceRequest First;
  First.m_Service = Service.name();
  First.m_Policy = Service.routing_policy();
  First.m_MaxOutstanding = Service.max_outstanding_per_backend_server();
  First.m_OtherQueuedRequests =
      m_Context.m_Admission.load(Service.name()).m_Waiting;
  First.m_Size = m_Size;
  return nextChoice(m_History, First);
}

void ForwardedRequest::attempt() {
  m_Target = m_Context.m_Directory.choose(choice());
  if (!m_Target && waitForSlot())
    return;
  m_SlotWaitStart.reset();
  if (!m_Target)
    return fail({StatusUnavailable, "no-backend-server",
                 "no backend server of the service can take the request now",
                 m_History.m_Tried.empty() ? schema::NOT_RUN : schema::UNKNOWN,
                 RetryAfterNoServer},
                "no-backend-server");
  m_History.m_Tried.push_back(m_Target->m_Name);
  if (m_History.m_AnswerBegun && !prepareContinuation())
    return;
  m_CallStarted = RuntimeClock::now();
  m_BufferedResponse = {};
  m_Request.set_deadline_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft())
          .count()));
  ++m_Context.m_Counters.m_Attempts;
  m_Context.m_Directory.callStarted(*m_Target, m_Size);
  m_Call = CallAttempt::start(m_Context.m_Peers, m_Target->m_Agent, m_Request,
                              m_Exchange->executor(), handlers());
}

bool ForwardedRequest::waitForSlot() {
  // Do not wait if the deadline could expire during the wait.
  if (timeLeft() <= 2 * MaxSlotWait ||
      !m_Context.m_Directory.hasCandidates(choice()))
    return false;
  const TimePoint Now = RuntimeClock::now();
  if (Now - m_SlotWaitStart.value_or(Now) >= MaxSlotWait)
    return false;
  m_SlotWaitStart = m_SlotWaitStart.value_or(Now);
  attemptAfter(SlotPollInterval);
  return true;
}

bool ForwardedRequest::prepareContinuation() {
  StreamProgress &Stream = m_History.m_Stream;
  auto Body = resumeBody(Stream, m_Exchange->request().m_Body);
  if (!Body) {
    m_Target.reset();
    fail({}, "answer-begun");
    return false;
  }
  m_Request.set_body(std::move(*Body));
  beginContinuation(Stream);
  ++m_Context.m_Counters.m_Resumed;
  m_Context.m_Events.write(Event::StreamResumed,
                           {{"request", m_RequestId},
                            {"backend_server", m_Target->m_Name},
                            {"token", Stream.m_NextToken.value_or(0)}});
  return true;
}

CallHandlers ForwardedRequest::handlers() {
  CallHandlers Handlers;
  const auto Self = shared_from_this();
  Handlers.m_OnHead = [Self](const schema::CallHead &Head) {
    Self->handleHead(Head);
  };
  Handlers.m_OnBody = [Self](const std::string &Data) {
    Self->handleBody(Data);
  };
  Handlers.m_OnEnd = [Self] { Self->handleEnd(); };
  Handlers.m_OnRefusal = [Self](const schema::CallRefusal &Refusal) {
    Self->handleRefusal(Refusal);
  };
  Handlers.m_OnBroken = [Self](const CallBroken &Broken) {
    Self->handleBroken(Broken);
  };
  if (!m_Match.m_Route->streamed())
    Handlers.m_MaxBodyBytes = MaxBufferedAnswerBytes;
  return Handlers;
}

void ForwardedRequest::handleHead(const schema::CallHead &Head) {
  if (m_History.m_AnswerBegun) {
    if (Head.status() == StatusOk)
      return;
    m_Call->cancel();
    endCall(CallResult::Refused);
    return retryOrFail(false, {});
  }
  observeFirstByte(m_Context.m_Metrics, m_Match.m_Service->name(),
                   RuntimeClock::now() - m_Arrived);
  m_Context.m_Admission.recordFirstByte(m_Match.m_Service->name(),
                                        RuntimeClock::now() - m_CallStarted);
  HttpHead Converted = toHttpHead(Head, m_RequestId);
  if (!m_Match.m_Route->streamed()) {
    m_BufferedResponse.m_Head = std::move(Converted);
    return;
  }
  m_History.m_AnswerBegun = true;
  m_History.m_Stream.m_Resumable =
      m_Match.m_Service->resumes_streams() && Head.status() == StatusOk;
  m_Exchange->startStream(std::move(Converted));
}

void ForwardedRequest::handleBody(const std::string &Data) {
  reportProgress();
  if (!m_History.m_AnswerBegun) {
    m_BufferedResponse.m_Body.append(Data);
    return;
  }
  StreamChunk Chunk = processChunk(m_History.m_Stream, Data);
  if (!Chunk.m_InOrder)
    return fail({}, "other-token");
  if (!Chunk.m_Data.empty())
    m_Exchange->writeChunk(std::move(Chunk.m_Data));
  if (m_Exchange->queuedBytes() > MaxQueuedBytes && m_Call)
    m_Call->pauseReading();
}

// Rate-limited, because each report takes a lock of the directory.
void ForwardedRequest::reportProgress() {
  const TimePoint Now = RuntimeClock::now();
  if (Now - m_ProgressReported < ProgressInterval)
    return;
  m_ProgressReported = Now;
  m_Context.m_Directory.callProgressed(*m_Target);
}

void ForwardedRequest::handleEnd() {
  endCall(CallResult::Answered);
  if (m_History.m_AnswerBegun) {
    auto Rest = takeRemainder(m_History.m_Stream);
    if (!Rest)
      return fail({}, "no-closing-event");
    if (!Rest->empty())
      m_Exchange->writeChunk(std::move(*Rest));
    m_Exchange->finishStream();
  } else {
    m_Exchange->respond(std::move(m_BufferedResponse));
  }
  observeCompletion(m_Context.m_Metrics, m_Match.m_Service->name(),
                    RuntimeClock::now() - m_Arrived);
  ++m_Context.m_Counters.m_Answered;
  finish();
}

void ForwardedRequest::handleRefusal(const schema::CallRefusal &Refusal) {
  // The agent is alive, but the request was lost at its backend server.
  if (Refusal.reason() == schema::CallRefusal::BACKEND_BROKE)
    m_History.m_FailedZone = m_Target->m_AvailabilityZone;
  endCall(CallResult::Refused);
  retryOrFail(Refusal.outcome() == schema::NOT_RUN,
              {StatusUnavailable, "refused",
               "the backend servers that were tried refused the request",
               Refusal.outcome(),
               std::max(RetryAfterNoServer, Duration(std::chrono::milliseconds(
                                                Refusal.retry_after_ms())))});
}

void ForwardedRequest::handleBroken(const CallBroken &Broken) {
  m_History.m_FailedZone = m_Target->m_AvailabilityZone;
  m_Context.m_Events.write(Event::CallBroken,
                           {{"request", m_RequestId},
                            {"backend_server", m_Target->m_Name},
                            {"detail", Broken.m_Detail}});
  endCall(CallResult::Broken);
  retryOrFail(Broken.m_NothingSent,
              {StatusBadGateway, "answer-lost",
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

void ForwardedRequest::retryOrFail(bool ProvenNotRun,
                                   const LocalReply &Answer) {
  const RetryDecision Decision = m_Context.m_Directory.requestRetry(
      m_Match.m_Service->name(),
      describeFailure(m_History, m_Size, m_Exchange->request().m_Body,
                      ProvenNotRun, m_Deadline));
  if (Decision.m_Outcome != RetryOutcome::Retry)
    return fail(Answer, toString(Decision.m_Outcome));
  attemptAfter(Decision.m_Delay);
}

void ForwardedRequest::attemptAfter(Duration Wait) {
  m_RetryTimer.expires_after(Wait);
  m_RetryTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error && !Self->m_Finished)
          Self->attempt();
      });
}

void ForwardedRequest::fail(const LocalReply &Answer, std::string_view Cause) {
  if (m_Finished)
    return;
  if (m_History.m_AnswerBegun) {
    m_Context.m_Events.write(
        Event::StreamBroken,
        {{"request", m_RequestId},
         {"cause", Cause},
         {"token", m_History.m_Stream.m_NextToken.value_or(0)}});
    return abortStream();
  }
  recordRefusal(m_Context, Answer, m_RequestId);
  m_Exchange->respond(toResponse(Answer, m_RequestId));
  finish();
}

void ForwardedRequest::abortStream() {
  ++m_Context.m_Counters.m_Broken;
  m_Exchange->abort();
  finish();
}

void ForwardedRequest::finish() {
  m_Finished = true;
  m_Permit.reset();
  m_DeadlineTimer.cancel();
  m_RetryTimer.cancel();
  if (m_Call)
    m_Call->cancel();
  endCall(CallResult::Cancelled);
}

} // namespace mangocart
