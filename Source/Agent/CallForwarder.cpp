// Forwards a call from its stream to the backend server, and the response back.
#include "Agent/CallForwarder.h"

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/CallGuard.h"
#include "Core/Hash.h"
#include "Events/EventLog.h"
#include "Metrics/Counter.h"

namespace mangocart {

namespace {

// Reading from the backend server pauses when more than this is queued for an
// entry that reads the response slowly.
constexpr std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
constexpr std::uint32_t RetryAfterUnreachableMilliseconds = 500;
constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

schema::CallRefusal makeRefusal(schema::CallRefusal::Reason Reason,
                                schema::Outcome Outcome) {
  schema::CallRefusal Refusal;
  Refusal.set_reason(Reason);
  Refusal.set_outcome(Outcome);
  Refusal.set_retry_after_ms(RetryAfterUnreachableMilliseconds);
  return Refusal;
}

} // namespace

void CallForwarder::accept(AgentContext &Context,
                           std::shared_ptr<PeerStream> Stream) {
  const std::shared_ptr<CallForwarder> Self(
      new CallForwarder(Context, std::move(Stream)));
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [Self](std::string_view Bytes) {
    Self->handleRequest(Bytes);
  };
  Handlers.m_OnError = [Self](const PeerError &) { Self->handleStreamError(); };
  Self->m_Stream->setHandlers(std::move(Handlers));
  Self->m_Stream->onDrained([Weak = Self->weak_from_this()] {
    const auto Forwarder = Weak.lock();
    if (Forwarder && Forwarder->m_Call)
      Forwarder->m_Call->resumeReading();
  });
}

CallForwarder::CallForwarder(AgentContext &Context,
                             std::shared_ptr<PeerStream> Stream)
    : m_Context(Context), m_Stream(std::move(Stream)) {}

void CallForwarder::handleRequest(std::string_view Bytes) {
  m_Context.m_Counters.m_Calls.add();
  if (m_IsAdmitted ||
      !m_Request.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return m_Stream->reset();
  if (m_Request.service() != m_Context.m_Settings.service())
    return sendRefusal(
        makeRefusal(schema::CallRefusal::WRONG_SERVICE, schema::NOT_RUN));
  const BeginVerdict Verdict = m_Context.m_Guard.begin(m_Request);
  if (Verdict != BeginVerdict::Start)
    return sendRefusal(toRefusal(Verdict));
  m_IsAdmitted = true;
  m_Call = m_Context.m_Clients.on(m_Stream->executor())
               .send(m_Context.backend(), makeBackendRequest(),
                     std::chrono::milliseconds(m_Request.deadline_ms()),
                     makeHandlers());
}

HttpRequest CallForwarder::makeBackendRequest() const {
  HttpRequest Request;
  Request.m_Method = m_Request.method();
  Request.m_Target = m_Request.target();
  Request.m_Body = m_Request.body();
  for (const schema::Header &Header : m_Request.headers())
    if (Header.name() != IdempotencyKeyHeader)
      Request.m_Headers.push_back({Header.name(), Header.value()});
  Request.m_Headers.push_back({BackendRequestHeader, m_Request.request_id()});
  if (!isIdempotent())
    Request.m_Headers.push_back(
        {IdempotencyKeyHeader, m_Request.idempotency_key()});
  return Request;
}

HttpCallHandlers CallForwarder::makeHandlers() {
  HttpCallHandlers Handlers;
  const auto Self = shared_from_this();
  Handlers.m_OwnerOf = [Self](const HttpHead &Head) {
    return ownerByHeader(Head, BackendRequestHeader,
                         Self->m_Request.request_id());
  };
  Handlers.m_OnHead = [Self](const HttpHead &Head) {
    Self->handleResponseHead(Head);
  };
  Handlers.m_OnBody = [Self](std::string_view Data) {
    Self->handleResponseBody(Data);
  };
  Handlers.m_OnEnd = [Self] { Self->handleResponseEnd(); };
  Handlers.m_OnError = [Self](const HttpError &Error) {
    Self->handleBackendError(Error);
  };
  return Handlers;
}

void CallForwarder::handleResponseHead(const HttpHead &Head) {
  schema::CallReply Reply;
  Reply.mutable_head()->set_status(Head.m_Status);
  for (const HttpHeader &Header : Head.m_Headers) {
    schema::Header *Copy = Reply.mutable_head()->add_headers();
    Copy->set_name(Header.m_Name);
    Copy->set_value(Header.m_Value);
  }
  if (!isIdempotent()) {
    m_StoredAnswer.set_status(Head.m_Status);
    *m_StoredAnswer.mutable_headers() = Reply.head().headers();
  }
  sendReply(Reply);
}

void CallForwarder::handleResponseBody(std::string_view Data) {
  m_ByteCount += Data.size();
  m_Checksum = hash64(Data, m_Checksum);
  // The guard doesn't store an answer that is larger than its limit.
  if (!isIdempotent() &&
      m_StoredAnswer.body().size() <= GuardLimits().m_MaxAnswerBytes)
    m_StoredAnswer.mutable_body()->append(Data);
  schema::CallReply Reply;
  Reply.set_body(std::string(Data));
  sendReply(Reply);
  if (!m_HasStreamFailed && m_Stream->queuedBytes() > MaxQueuedBytes && m_Call)
    m_Call->pauseReading();
}

void CallForwarder::handleResponseEnd() {
  finishAtGuard(FinishKind::Answered);
  schema::CallReply Reply;
  Reply.mutable_end()->set_byte_count(m_ByteCount);
  Reply.mutable_end()->set_checksum(m_Checksum);
  sendReply(Reply);
  m_Stream->finish();
}

void CallForwarder::handleBackendError(const HttpError &Error) {
  m_Context.m_Counters.m_Failed.add();
  finishAtGuard(Error.m_NothingSent ? FinishKind::NeverSent
                                    : FinishKind::AnswerLost);
  m_Context.m_Events.write(Event::BackendCallFailed,
                           {{"request", m_Request.request_id()},
                            {"detail", Error.m_Detail},
                            {"nothing_sent", Error.m_NothingSent}});
  sendRefusal(
      Error.m_NothingSent
          ? makeRefusal(schema::CallRefusal::BACKEND_UNREACHABLE,
                        schema::NOT_RUN)
          : makeRefusal(schema::CallRefusal::BACKEND_BROKE, schema::UNKNOWN));
}

void CallForwarder::handleStreamError() {
  m_HasStreamFailed = true;
  if (!m_IsAdmitted || !isIdempotent())
    // A non-idempotent call continues: its answer is kept until the claim is
    // settled.
    return;
  if (m_Call)
    m_Call->cancel();
  finishAtGuard(FinishKind::AnswerLost);
}

void CallForwarder::sendReply(const schema::CallReply &Reply) {
  if (!m_HasStreamFailed)
    m_Stream->send(Reply.SerializeAsString());
}

void CallForwarder::sendRefusal(const schema::CallRefusal &Refusal) {
  m_Context.m_Counters.m_Refused.add();
  schema::CallReply Reply;
  *Reply.mutable_refusal() = Refusal;
  sendReply(Reply);
  m_Stream->finish();
}

void CallForwarder::finishAtGuard(FinishKind Kind) {
  if (!m_IsAdmitted)
    return;
  m_IsAdmitted = false;
  m_Call.reset();
  m_Context.m_Guard.finish(m_Request, Kind,
                           Kind == FinishKind::Answered
                               ? m_StoredAnswer.SerializeAsString()
                               : std::string());
}

} // namespace mangocart
