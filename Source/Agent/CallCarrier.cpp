// From a stream to the backend server and back.
#include "Agent/CallCarrier.h"

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/CallGuard.h"
#include "Core/Hash.h"
#include "Events/EventLog.h"
#include "Metrics/Counter.h"

namespace mangocart {

namespace {

// An entry that takes the answer slowly stops the reading from the backend
// server here.
constexpr std::size_t MaxQueuedBytes = std::size_t{256} * 1024;
constexpr std::uint32_t RetryAfterUnreachableMilliseconds = 500;
constexpr const char *RequestHeader = "Mangocart-Request";
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

void CallCarrier::accept(AgentContext &Context,
                         std::shared_ptr<PeerStream> Stream) {
  const std::shared_ptr<CallCarrier> Self(
      new CallCarrier(Context, std::move(Stream)));
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [Self](std::string_view Bytes) {
    Self->takeRequest(Bytes);
  };
  Handlers.m_OnError = [Self](const PeerError &) { Self->streamLost(); };
  Self->m_Stream->setHandlers(std::move(Handlers));
  Self->m_Stream->onDrained([Weak = Self->weak_from_this()] {
    const auto Carrier = Weak.lock();
    if (Carrier && Carrier->m_Call)
      Carrier->m_Call->resumeReading();
  });
}

CallCarrier::CallCarrier(AgentContext &Context,
                         std::shared_ptr<PeerStream> Stream)
    : m_Context(Context), m_Stream(std::move(Stream)) {}

void CallCarrier::takeRequest(std::string_view Bytes) {
  m_Context.m_Counters.m_Calls.add();
  if (m_Begun ||
      !m_Request.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return m_Stream->reset();
  if (m_Request.service() != m_Context.m_Settings.service())
    return refuse(
        makeRefusal(schema::CallRefusal::WRONG_SERVICE, schema::NOT_RUN));
  const BeginVerdict Verdict = m_Context.m_Guard.begin(m_Request);
  if (Verdict != BeginVerdict::Start)
    return refuse(toRefusal(Verdict));
  m_Begun = true;
  m_Call =
      m_Context.m_Clients.on(m_Stream->executor())
          .send(m_Context.backend(), backendRequest(),
                std::chrono::milliseconds(m_Request.deadline_ms()), handlers());
}

HttpRequest CallCarrier::backendRequest() const {
  HttpRequest Request;
  Request.m_Method = m_Request.method();
  Request.m_Target = m_Request.target();
  Request.m_Body = m_Request.body();
  for (const schema::Header &Header : m_Request.headers())
    if (Header.name() != IdempotencyKeyHeader)
      Request.m_Headers.push_back({Header.name(), Header.value()});
  Request.m_Headers.push_back({RequestHeader, m_Request.request_id()});
  if (!idempotent())
    Request.m_Headers.push_back(
        {IdempotencyKeyHeader, m_Request.idempotency_key()});
  return Request;
}

HttpCallHandlers CallCarrier::handlers() {
  HttpCallHandlers Handlers;
  const auto Self = shared_from_this();
  Handlers.m_OnHead = [Self](const HttpHead &Head) { Self->takeHead(Head); };
  Handlers.m_OnBody = [Self](std::string_view Data) { Self->takeBody(Data); };
  Handlers.m_OnEnd = [Self] { Self->takeEnd(); };
  Handlers.m_OnError = [Self](const HttpError &Error) {
    Self->takeError(Error);
  };
  return Handlers;
}

void CallCarrier::takeHead(const HttpHead &Head) {
  schema::CallReply Reply;
  Reply.mutable_head()->set_status(Head.m_Status);
  for (const HttpHeader &Header : Head.m_Headers) {
    schema::Header *Copy = Reply.mutable_head()->add_headers();
    Copy->set_name(Header.m_Name);
    Copy->set_value(Header.m_Value);
  }
  if (!idempotent()) {
    m_Stored.set_status(Head.m_Status);
    *m_Stored.mutable_headers() = Reply.head().headers();
  }
  reply(Reply);
}

void CallCarrier::takeBody(std::string_view Data) {
  m_ByteCount += Data.size();
  m_Checksum = hash64(Data, m_Checksum);
  if (!idempotent())
    m_Stored.mutable_body()->append(Data);
  schema::CallReply Reply;
  Reply.set_body(std::string(Data));
  reply(Reply);
  if (!m_StreamLost && m_Stream->queuedBytes() > MaxQueuedBytes && m_Call)
    m_Call->pauseReading();
}

void CallCarrier::takeEnd() {
  finishGuard(FinishKind::Answered);
  schema::CallReply Reply;
  Reply.mutable_end()->set_byte_count(m_ByteCount);
  Reply.mutable_end()->set_checksum(m_Checksum);
  reply(Reply);
  m_Stream->finish();
}

void CallCarrier::takeError(const HttpError &Error) {
  m_Context.m_Counters.m_Broken.add();
  finishGuard(Error.m_NothingSent ? FinishKind::NeverSent
                                  : FinishKind::AnswerLost);
  m_Context.m_Events.write(Event::BackendCallFailed,
                           {{"request", m_Request.request_id()},
                            {"detail", Error.m_Detail},
                            {"nothing_sent", Error.m_NothingSent}});
  refuse(
      Error.m_NothingSent
          ? makeRefusal(schema::CallRefusal::BACKEND_UNREACHABLE,
                        schema::NOT_RUN)
          : makeRefusal(schema::CallRefusal::BACKEND_BROKE, schema::UNKNOWN));
}

void CallCarrier::streamLost() {
  m_StreamLost = true;
  if (!m_Begun || !idempotent())
    // A non-idempotent call goes on: its answer waits for the settler.
    return;
  if (m_Call)
    m_Call->cancel();
  finishGuard(FinishKind::AnswerLost);
}

void CallCarrier::reply(const schema::CallReply &Reply) {
  if (!m_StreamLost)
    m_Stream->send(Reply.SerializeAsString());
}

void CallCarrier::refuse(const schema::CallRefusal &Refusal) {
  m_Context.m_Counters.m_Refused.add();
  schema::CallReply Reply;
  *Reply.mutable_refusal() = Refusal;
  reply(Reply);
  m_Stream->finish();
}

void CallCarrier::finishGuard(FinishKind Kind) {
  if (!m_Begun)
    return;
  m_Begun = false;
  m_Call.reset();
  m_Context.m_Guard.finish(m_Request, Kind,
                           Kind == FinishKind::Answered
                               ? m_Stored.SerializeAsString()
                               : std::string());
}

} // namespace mangocart
