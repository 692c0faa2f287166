#include "Entry/ClaimedRequest.h"

#include "Core/PrintableText.h"
#include "Entry/CallRequests.h"
#include "Entry/EntryContext.h"
#include "Entry/LocalReply.h"
#include "Entry/RequestMetrics.h"
#include "Entry/SettlementDriver.h"

namespace mangocart {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnprocessable = 422;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
// Bounds the storage per key: keys are stored as long as the outcome.
constexpr std::size_t MaxKeyBytes = 255;

LocalReply toLocalReply(AnswerReason Reason) {
  switch (Reason) {
  case AnswerReason::Answered:
    return {StatusOk, "answer-not-kept",
            "the request ran; its answer was not kept"};
  case AnswerReason::DigestDiffers:
    return {StatusUnprocessable, "key-reused",
            "the idempotency key belongs to a request with other content; use "
            "a new key"};
  case AnswerReason::InProgress:
    return {StatusConflict, "in-progress",
            "a request with this idempotency key is in progress"};
  case AnswerReason::NoQuorum:
    return {StatusUnavailable, "no-quorum",
            "no majority of the voters can be reached"};
  case AnswerReason::LedgerFull:
    return {StatusUnavailable, "ledger-full",
            "no further non-idempotent request can be registered now"};
  case AnswerReason::NoBackendServer:
    return {StatusUnavailable, "no-backend-server",
            "no backend server of the service can take the request now"};
  case AnswerReason::DeadlinePassed:
    return {StatusGatewayTimeout, "deadline-passed",
            "the request was not answered within the route's deadline"};
  case AnswerReason::InDoubt:
    return {StatusGatewayTimeout, "in-doubt",
            "it is not known whether the request ran; ask again with the same "
            "idempotency key"};
  }
  return {};
}

// Nothing for an answer that can't be sent to a caller as it was stored.
std::optional<HttpResponse> fromStored(const std::string &Bytes,
                                       const std::string &RequestId) {
  schema::StoredAnswer Stored;
  if (Bytes.empty() || !Stored.ParseFromString(Bytes))
    return std::nullopt;
  schema::CallHead Head;
  Head.set_status(Stored.status());
  *Head.mutable_headers() = Stored.headers();
  HttpResponse Response;
  Response.m_Head = toHttpHead(Head, RequestId);
  if (!isSendable(Response.m_Head))
    return std::nullopt;
  Response.m_Body = std::move(*Stored.mutable_body());
  return Response;
}

} // namespace

HttpResponse toResponse(const AnswerCaller &Answer,
                        const std::string &RequestId, const std::string &Key) {
  std::optional<HttpResponse> Stored;
  if (Answer.m_Reason == AnswerReason::Answered)
    Stored = fromStored(Answer.m_Answer, RequestId);
  HttpResponse Response;
  if (Stored) {
    Response = std::move(*Stored);
  } else {
    LocalReply Reply = toLocalReply(Answer.m_Reason);
    Reply.m_Outcome = Answer.m_Outcome;
    if (Answer.m_RetryAfterMs > 0)
      Reply.m_RetryAfter = std::chrono::milliseconds(Answer.m_RetryAfterMs);
    Response = toResponse(Reply, RequestId);
  }
  Response.m_Head.m_Headers.push_back({std::string(IdempotencyKeyHeader), Key});
  return Response;
}

void ClaimedRequest::start(EntryContext &Context,
                           const std::shared_ptr<HttpExchange> &Exchange,
                           const RouteMatch &Match,
                           const std::string &RequestId,
                           AdmissionPermit Permit) {
  const HttpRequest &Request = Exchange->request();
  const auto ReceivedKey = findHeader(Request.m_Headers, IdempotencyKeyHeader);
  // The key is kept in the replicated log, in a field that must be UTF-8.
  if (ReceivedKey &&
      (ReceivedKey->empty() || ReceivedKey->size() > MaxKeyBytes ||
       !isPrintable(*ReceivedKey))) {
    ++Context.m_Counters.m_Refused;
    return Exchange->respond(
        toResponse(LocalReply{StatusBadRequest, "bad-key",
                              "Idempotency-Key must have 1 to 255 printable "
                              "ASCII characters",
                              schema::NOT_RUN, std::nullopt},
                   RequestId));
  }
  SettlementRequest Settled;
  Settled.m_Customer =
      std::string(*findHeader(Request.m_Headers, CustomerHeader));
  Settled.m_IdempotencyKey =
      ReceivedKey ? std::string(*ReceivedKey) : RequestId;
  Settled.m_IsGeneratedKey = !ReceivedKey;
  Settled.m_Digest = requestDigest(Request);
  Settled.m_Entry = Context.m_Settings.name();
  Settled.m_RequestId = RequestId;
  Settled.m_Deadline = RuntimeClock::now() +
                       std::chrono::milliseconds(Match.m_Route->deadline_ms());
  SettlementCall Call;
  Call.m_Service = Match.m_Service->name();
  Call.m_Policy = Match.m_Service->routing_policy();
  Call.m_MaxOutstanding = Match.m_Service->max_outstanding_per_backend_server();
  Call.m_Request = toCallRequest(Request, RequestId, Call.m_Service);
  const auto Driver = SettlementDriver::startRequest(
      Context, Exchange->executor(), Settled, std::move(Call),
      [&Context, Service = Match.m_Service->name(),
       Arrived = RuntimeClock::now(), Exchange, RequestId,
       Permit = std::move(Permit),
       Key = Settled.m_IdempotencyKey](const AnswerCaller &Answer) {
        const bool Answered = Answer.m_Reason == AnswerReason::Answered;
        EntryCounters &Counters = Context.m_Counters;
        ++(Answered ? Counters.m_Answered : Counters.m_Refused);
        if (Answered)
          observeCompletion(Context.m_Metrics, Service,
                            RuntimeClock::now() - Arrived);
        Exchange->respond(toResponse(Answer, RequestId, Key));
      });
  // Another entry settles the claim.
  Exchange->onStopping([Weak = std::weak_ptr(Exchange), RequestId,
                        Key = Settled.m_IdempotencyKey] {
    AnswerCaller InDoubt;
    InDoubt.m_Reason = AnswerReason::InDoubt;
    InDoubt.m_Outcome = schema::UNKNOWN;
    if (const auto Alive = Weak.lock())
      Alive->respond(toResponse(InDoubt, RequestId, Key));
  });
  Exchange->onClosed([Weak = std::weak_ptr<SettlementDriver>(Driver)] {
    if (const auto Alive = Weak.lock())
      Alive->callerDisconnected();
  });
}

} // namespace mangocart
