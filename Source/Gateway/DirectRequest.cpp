// Attempts, their answers and their ends.
#include "Gateway/DirectRequest.h"

#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/AttemptWatch.h"
#include "Gateway/GatewayMetrics.h"
#include "Http/HttpClients.h"
#include "Raft/RaftPeers.h"
#include "Settings.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerFailure = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
// Without a hint of the caller; a service that doesn't answer in this time is
// not waited for.
constexpr Duration DefaultTimeLeft = std::chrono::seconds(30);
// When a refused request may come again: the next announcements may bring
// other backend servers, and a queue of a few requests has gone by.
constexpr Duration RetryAfterRefusal = milliseconds(300);
// Larger answers aren't held back.
constexpr std::size_t MaxHeldBytes = std::size_t{256} * 1024;
// Above this the caller reads too slowly and the backend server is not read.
constexpr std::size_t MaxQueuedBytes = std::size_t{64} * 1024;
// Requests of all gateways that a plain backend server may have; it queues some
// of them.
constexpr std::uint32_t DefaultOutstanding = 16;

bool isSuccess(unsigned Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

std::uint64_t wholeMs(Duration Time) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, duration_cast<milliseconds>(Time).count()));
}

CallSize sizeOf(const RoutedCall &Call) {
  CallSize Size;
  const CallerRequest &Caller = Call.m_Caller;
  Size.m_PromptTokens = Caller.m_PromptTokens;
  const std::uint64_t Output = Caller.m_LikelyOutputTokens > 0
                                   ? Caller.m_LikelyOutputTokens
                                   : Caller.m_MaxOutputTokens;
  Size.m_Tokens = std::max<std::uint64_t>(1, Caller.m_PromptTokens + Output);
  Size.m_ReportsProgress = Call.m_Route->m_Kind == CallKind::Stream;
  return Size;
}

} // namespace

void DirectRequest::start(GatewayContext &Context,
                          const std::shared_ptr<HttpExchange> &Exchange,
                          RoutedCall Call) {
  std::make_shared<DirectRequest>(Context, Exchange, std::move(Call))->begin();
}

DirectRequest::DirectRequest(GatewayContext &Context,
                             std::shared_ptr<HttpExchange> Exchange,
                             RoutedCall Call)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Call(std::move(Call)), m_Arrived(RuntimeClock::now()),
      m_Progressed(m_Arrived), m_Timer(m_Exchange->executor()),
      m_PatienceTimer(m_Exchange->executor()), m_Size(sizeOf(m_Call)) {
  const Duration Waits = m_Call.m_Caller.m_TimeLeft.value_or(DefaultTimeLeft);
  m_Deadline = m_Arrived + std::min(Waits, m_Call.m_Route->m_Timeout);
  m_Known.m_Repeatable = m_Call.m_Route->isRepeatable();
  m_Known.m_MaxSent = std::max<std::uint32_t>(m_Call.m_Route->m_MaxAttempts, 1);
}

void DirectRequest::begin() {
  m_Exchange->onClosed([Self = shared_from_this()] { Self->onCallerGone(); });
  m_Timer.expires_at(m_Deadline);
  m_Timer.async_wait([Weak = weak_from_this()](boost::system::error_code E) {
    const auto Self = Weak.lock();
    if (!E && Self)
      Self->onTimeOver();
  });
  m_Context.m_Repeats.noteRequest(m_Call.m_Service);
  attempt();
}

Duration DirectRequest::timeLeft() const {
  return m_Deadline - RuntimeClock::now();
}

bool DirectRequest::answerIsStream() const {
  return m_Call.m_Route->m_Kind == CallKind::Stream;
}

GateCall DirectRequest::makeGateCall() const {
  const PlannedRoute &Route = *m_Call.m_Route;
  const PlannedService *Service = m_Call.m_Plan->findService(m_Call.m_Service);
  GateCall Call;
  Call.m_Service = m_Call.m_Service;
  Call.m_Size = m_Size;
  Call.m_MaxOutstanding =
      Service && Service->m_Engine && Service->m_Engine->m_Slots > 0
          ? Service->m_Engine->m_Slots
          : DefaultOutstanding;
  Call.m_Tried = m_Tried;
  Call.m_FailedZone = m_FailedZone;
  WaitingCall &Times = Call.m_Times;
  Times.m_Arrived = m_Arrived;
  // A caller that comes again has used a part of its time: what it has left is
  // less than the route's timeout.
  const Duration Used = std::max(
      Duration::zero(),
      Route.m_Timeout - m_Call.m_Caller.m_TimeLeft.value_or(Route.m_Timeout));
  Times.m_OnTimeUntil =
      m_AnswerStarted ? m_Arrived : m_Arrived + Route.m_TargetLatency - Used;
  Times.m_Deadline = m_Deadline;
  Times.m_LeavesAt = m_Deadline;
  if (Route.m_Patience > Duration::zero())
    Times.m_LeavesAt = std::min(m_Deadline, m_Progressed + Route.m_Patience);
  Times.m_Priority = m_Call.m_Customer && m_Call.m_Customer->m_Priority
                         ? *m_Call.m_Customer->m_Priority
                         : Route.m_Priority;
  return Call;
}

// --- Sending

void DirectRequest::attempt() {
  if (timeLeft() <= Duration::zero())
    return onTimeOver();
  m_AtGate = 0;
  m_AtGate =
      m_Context.m_Gates.enter(makeGateCall(), m_Exchange->executor(),
                              [Self = shared_from_this()](GateAnswer Answer) {
                                Self->onGate(std::move(Answer));
                              });
}

void DirectRequest::onGate(GateAnswer Answer) {
  m_AtGate.reset();
  m_Target = std::move(Answer.m_Target);
  if (m_Finished) {
    // The caller left while the answer was on its way.
    report(CallResult::Cancelled);
    return;
  }
  if (!m_Target)
    return giveUp(toString(Answer.m_Refusal), Answer.m_RetryAfter);
  send();
}

void DirectRequest::send() {
  const Duration Left = timeLeft();
  if (Left <= Duration::zero()) {
    report(CallResult::Cancelled);
    return onTimeOver();
  }
  ForwardedFacts Facts;
  Facts.m_BackendServer = m_Target->m_Name;
  Facts.m_TimeLeft = Left;
  if (m_Call.m_Customer)
    Facts.m_Customer = m_Call.m_Customer->m_Name;
  Facts.m_LastEventId =
      m_Cutter.lastId() ? m_Cutter.lastId() : m_Call.m_Caller.m_LastEventId;
  m_Context.m_Metrics.m_Attempts.add();
  if (m_Known.m_Sent > 0)
    m_Context.m_Metrics.m_Repeats.add();
  if (m_AnswerStarted)
    m_Context.m_Metrics.m_Resumed.add();
  ++m_Known.m_Sent;
  m_Sent = RuntimeClock::now();
  m_HeadSeen = false;
  m_Brought = false;
  m_Body.clear();
  m_Cutter.dropPending();
  const HttpTarget To{m_Target->m_Agent.m_Address, m_Target->m_Agent.m_Port};
  m_HttpCall =
      m_Context.m_Clients.on(m_Exchange->executor())
          .send(To, m_Context.m_Protocol.forward(m_Exchange->request(), Facts),
                Left + milliseconds(1), makeHandlers());
  watch();
}

void DirectRequest::watch() {
  const PlannedService *Service = m_Call.m_Plan->findService(m_Call.m_Service);
  if (!m_Known.m_Repeatable || !Service || !Service->m_Engine)
    return;
  m_Watched = m_Context.m_Watch.begin(
      *m_Target, m_Exchange->executor(), [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->goElsewhere("its machine doesn't answer");
      });
  const auto Patience =
      attemptPatience(m_Context.m_Gates.expectedFirstByte(m_Call.m_Service),
                      m_Call.m_Route->m_Patience);
  if (!Patience)
    return;
  m_PatienceTimer.expires_after(*Patience);
  m_PatienceTimer.async_wait([Weak = weak_from_this(), Attempt = m_Watched](
                                 boost::system::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && Self->m_Watched == Attempt && !Self->m_Brought)
      Self->goElsewhere("nothing came from it");
  });
}

HttpCallHandlers DirectRequest::makeHandlers() {
  HttpCallHandlers Handlers;
  const auto Self = shared_from_this();
  Handlers.m_Belongs = [Self](const HttpHead &Head) {
    return Self->m_Context.m_Protocol.answers(
        Head, Self->m_Call.m_Caller.m_RequestId);
  };
  Handlers.m_OnHead = [Self](HttpHead Head) { Self->onHead(std::move(Head)); };
  Handlers.m_OnBody = [Self](std::string_view Piece) { Self->onBody(Piece); };
  Handlers.m_OnEnd = [Self] { Self->onEnd(); };
  Handlers.m_OnError = [Self](const HttpError &Error) { Self->onError(Error); };
  return Handlers;
}

// --- The answer

void DirectRequest::onHead(HttpHead Head) {
  m_Head = std::move(Head);
  m_HeadSeen = true;
  m_Context.m_Watch.heard(*m_Target);
  const bool Ran = verdict() == BackendVerdict::Ran;
  m_Passing = answerIsStream() && Ran && isSuccess(m_Head.m_Status)
                  ? Passing::Events
                  : Passing::Whole;
}

void DirectRequest::onBody(std::string_view Piece) {
  m_Context.m_Watch.heard(*m_Target);
  if (m_Passing == Passing::Events) {
    std::string Events = m_Cutter.take(Piece);
    if (!Events.empty())
      passOn(std::move(Events));
    return;
  }
  if (m_Passing == Passing::Pieces)
    return passOn(std::string(Piece));
  m_Body.append(Piece);
  if (m_Body.size() <= MaxHeldBytes || !isSuccess(m_Head.m_Status) ||
      m_AnswerStarted)
    return;
  m_Passing = Passing::Pieces;
  m_Known.m_AnswerBegun = true;
  passOn(std::move(m_Body));
  m_Body.clear();
}

BackendVerdict DirectRequest::verdict() const {
  return m_Context.m_Protocol.judge(m_Head, toString(m_Target->m_Agent));
}

HttpHead DirectRequest::callerHead() const {
  HttpHead Head = m_Context.m_Protocol.toCaller(m_Head);
  if (m_Context.m_Leaving)
    Head.m_Headers.push_back({"Connection", "close"});
  return Head;
}

void DirectRequest::noteFirstByte() {
  const TimePoint Now = RuntimeClock::now();
  m_FirstByte = Now - m_Arrived;
  m_Context.m_Gates.noteFirstByte(m_Call.m_Service, Now - m_Sent);
  m_Context.m_Metrics.m_FirstByte.observe(
      std::chrono::duration<double>(*m_FirstByte).count());
}

void DirectRequest::startAnswer() {
  if (m_AnswerStarted)
    return;
  m_AnswerStarted = true;
  m_Known.m_AnswerBegun = !m_Call.m_Route->m_Resumable;
  noteFirstByte();
  m_Exchange->startStream(callerHead());
}

void DirectRequest::passOn(std::string Bytes) {
  m_Brought = true;
  startAnswer();
  m_Progressed = RuntimeClock::now();
  m_Context.m_Directory.callProgressed(*m_Target);
  m_Exchange->writeChunk(std::move(Bytes));
  if (m_Exchange->queuedBytes() <= MaxQueuedBytes || !m_HttpCall)
    return;
  m_HttpCall->pauseReading();
  m_Exchange->onDrained([Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->m_HttpCall)
      Self->m_HttpCall->resumeReading();
  });
}

void DirectRequest::onEnd() {
  m_HttpCall.reset();
  switch (verdict()) {
  case BackendVerdict::NotRun:
    return endAttempt(AttemptEnd::SaidNotRun, "the backend server refused it");
  case BackendVerdict::GroupBroken:
    m_Context.m_Directory.noteGroupBroken(*m_Target);
    return endAttempt(AttemptEnd::SaidNotRun, "the rank group is broken");
  case BackendVerdict::OtherServer:
    m_Context.m_Directory.markReplaced(*m_Target);
    return endAttempt(AttemptEnd::SaidNotRun,
                      "another backend server has the address");
  case BackendVerdict::Ran:
    break;
  }
  if (m_Passing != Passing::Whole) {
    if (m_Cutter.pendingBytes() > 0)
      return endAttempt(AttemptEnd::Lost, "the stream ended within an event");
    report(CallResult::Answered);
    startAnswer();
    m_Exchange->finishStream();
    return finish("answered", m_Head.m_Status);
  }
  if (m_Head.m_Status >= FirstServerFailure || m_AnswerStarted)
    return endAttempt(AttemptEnd::AnsweredFailure,
                      "the backend server answered with a failure");
  report(CallResult::Answered);
  noteFirstByte();
  m_Exchange->respond({callerHead(), std::move(m_Body)});
  finish("answered", m_Head.m_Status);
}

void DirectRequest::onError(const HttpError &Error) {
  m_HttpCall.reset();
  if (Error.m_Code == HttpErrorCode::TimedOut)
    return onTimeOver();
  if (Error.m_NothingSent) {
    // The backend server never saw it.
    --m_Known.m_Sent;
    return endAttempt(AttemptEnd::NeverSent, Error.m_Detail);
  }
  endAttempt(m_AnswerStarted ? AttemptEnd::CutOff : AttemptEnd::Lost,
             Error.m_Detail);
}

// --- Ends

void DirectRequest::report(CallResult Result) {
  if (!m_Target)
    return;
  if (const std::uint64_t Number = std::exchange(m_Watched, 0))
    m_Context.m_Watch.end(*m_Target, Number);
  m_Context.m_Directory.callEnded(*m_Target, m_Size,
                                  {Result, RuntimeClock::now() - m_Sent});
  m_Tried.push_back(m_Target->m_Name);
  m_FailedZone = m_Target->m_AvailabilityZone;
  m_Target.reset();
  m_Context.m_Gates.pump(m_Call.m_Service);
}

void DirectRequest::writeAttemptEnd(AttemptEnd End,
                                    std::string_view Detail) const {
  m_Context.m_Events.write(
      Event::AttemptEnded,
      {{"request", m_Call.m_Caller.m_RequestId},
       {"backend_server", m_Target ? m_Target->m_Name : ""},
       {"end", toString(End)},
       {"detail", Detail},
       {"status", m_HeadSeen ? m_Head.m_Status : 0U},
       {"sent", m_Known.m_Sent},
       {"attempt_ms", wholeMs(RuntimeClock::now() - m_Sent)}});
}

void DirectRequest::endAttempt(AttemptEnd End, std::string_view Detail) {
  m_Known.m_MayHaveRun = m_Known.m_MayHaveRun || mayHaveRun(End);
  writeAttemptEnd(End, Detail);
  if (End == AttemptEnd::AnsweredFailure)
    report(CallResult::Failed);
  else if (End == AttemptEnd::SaidNotRun)
    report(CallResult::Refused);
  else
    report(CallResult::Broken);
  const bool Repeats = m_Known.m_Sent > 0;
  if (mayTryAgain(m_Known) &&
      (!Repeats || m_Context.m_Repeats.takeRepeat(m_Call.m_Service)))
    return attempt();
  if (End == AttemptEnd::AnsweredFailure && !m_AnswerStarted) {
    m_Exchange->respond({callerHead(), std::move(m_Body)});
    return finish("answered-failure", m_Head.m_Status);
  }
  giveUp(toString(End));
}

void DirectRequest::giveUp(std::string_view Reason,
                           std::optional<Duration> RetryAfter) {
  const OwnEnd End = ownEndOf(m_Known);
  const bool Started = m_AnswerStarted;
  unsigned Status = 0;
  GatewayMetrics &Metrics = m_Context.m_Metrics;
  switch (Started ? OwnEnd::CutConnection : End) {
  case OwnEnd::CutConnection:
    Metrics.m_Cut.add();
    m_Exchange->abort();
    return finish(Reason, Status);
  case OwnEnd::RefuseNotRun:
    Metrics.m_RefusedNotRun.add();
    Status = StatusUnavailable;
    break;
  case OwnEnd::FailUnknown:
    Metrics.m_FailedUnknown.add();
    Status = StatusBadGateway;
    break;
  case OwnEnd::FailTimeout:
    Metrics.m_FailedTimeout.add();
    Status = StatusGatewayTimeout;
    break;
  }
  const bool Refused = End == OwnEnd::RefuseNotRun;
  m_Exchange->respond(m_Context.m_Protocol.ownAnswer(
      Status, toString(End), m_Call.m_Caller.m_RequestId,
      Refused ? std::optional(RetryAfter.value_or(RetryAfterRefusal))
              : std::nullopt));
  finish(Reason, Status);
}

void DirectRequest::onTimeOver() {
  if (m_Finished)
    return;
  m_Known.m_TimeOver = true;
  if (m_Target)
    m_Known.m_MayHaveRun = true;
  if (m_HttpCall)
    m_HttpCall->cancel();
  m_HttpCall.reset();
  report(m_HeadSeen ? CallResult::Cancelled : CallResult::Broken);
  giveUp("time-over");
}

void DirectRequest::goElsewhere(std::string_view Detail) {
  if (m_Finished || !m_HttpCall || !m_Target)
    return;
  RequestKnowledge After = m_Known;
  After.m_MayHaveRun = true;
  if (!mayTryAgain(After) || !m_Context.m_Repeats.takeRepeat(m_Call.m_Service))
    return;
  m_HttpCall->cancel();
  m_HttpCall.reset();
  m_Known = After;
  writeAttemptEnd(m_AnswerStarted ? AttemptEnd::CutOff : AttemptEnd::Lost,
                  Detail);
  report(CallResult::Broken);
  attempt();
}

void DirectRequest::onCallerGone() {
  if (m_Finished)
    return;
  m_Context.m_Metrics.m_HungUp.add();
  if (m_HttpCall)
    m_HttpCall->cancel();
  m_HttpCall.reset();
  report(CallResult::Cancelled);
  finish("caller-gone", 0);
}

void DirectRequest::finish(std::string_view Outcome, unsigned Status) {
  if (m_Finished)
    return;
  m_Finished = true;
  m_Timer.cancel();
  m_PatienceTimer.cancel();
  if (m_AtGate)
    m_Context.m_Gates.cancel(m_Call.m_Service, *m_AtGate);
  const TimePoint Now = RuntimeClock::now();
  m_Context.m_Metrics.m_Whole.observe(
      std::chrono::duration<double>(Now - m_Arrived).count());
  m_Context.m_Events.write(
      Event::RequestEnded,
      {{"request", m_Call.m_Caller.m_RequestId},
       {"route", m_Call.m_Route->m_Name},
       {"service", m_Call.m_Service},
       {"kind", toString(m_Call.m_Route->m_Kind)},
       {"outcome", Outcome},
       {"status", Status},
       {"backend_server", m_Tried.empty() ? "" : m_Tried.back()},
       {"sent", m_Known.m_Sent},
       {"configuration", m_Call.m_Plan->plan().m_Version},
       {"first_byte_ms", m_FirstByte ? wholeMs(*m_FirstByte) : 0},
       {"time_ms", wholeMs(Now - m_Arrived)},
       {"allowed_ms", wholeMs(m_Deadline - m_Arrived)}});
}

} // namespace mangocart
