// The first steps of each caller's request.
#include "Entry/CallerFrontend.h"

#include "Configuration/ConfigurationHolder.h"
#include "Entry/CallRequests.h"
#include "Entry/ClaimedRequest.h"
#include "Entry/EntryContext.h"
#include "Entry/ForwardedRequest.h"
#include "Entry/LocalReply.h"
#include "Entry/RouteMatch.h"

#include <boost/asio/dispatch.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace {

constexpr const char *HealthPath = "/health";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusForbidden = 403;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
constexpr Duration RetryAfterNoConfiguration = std::chrono::seconds(1);

OwnAnswer noConfiguration() {
  return {StatusUnavailable, "no-configuration",
          "this entry has no configuration yet", schema::NOT_RUN,
          RetryAfterNoConfiguration};
}

OwnAnswer noCustomer() {
  return {StatusBadRequest, "no-customer",
          "the header Mangocart-Customer names the customer; it is missing",
          schema::NOT_RUN, std::nullopt};
}

OwnAnswer unknownCustomer() {
  return {StatusForbidden, "unknown-customer",
          "the configuration has no such customer; its operators add it to the "
          "questionnaire",
          schema::NOT_RUN, std::nullopt};
}

OwnAnswer unknownRoute() {
  return {StatusNotFound, "unknown-route",
          "the configuration has no route for this path", schema::NOT_RUN,
          std::nullopt};
}

OwnAnswer refusedByGate(const AdmissionDecision &Verdict) {
  return {Verdict.m_Status, std::string(toString(Verdict.m_Reason)),
          "the request can't be served in time; come back after Retry-After",
          schema::NOT_RUN, Verdict.m_RetryAfter};
}

} // namespace

CallerFront::CallerFront(EntryContext &Context, std::uint64_t Incarnation)
    : m_Context(Context),
      m_RequestIdPrefix(
          fmt::format("{}-{:x}-", Context.m_Settings.name(), Incarnation)) {}

std::string CallerFront::makeRequestId() {
  return m_RequestIdPrefix + std::to_string(++m_RequestCount);
}

void CallerFront::answerHealth(HttpExchange &Exchange) const {
  HttpResponse Response;
  Response.m_Head.m_Status = m_Leaving ? StatusUnavailable : StatusOk;
  Response.m_Head.m_Headers = {{"Content-Type", "text/plain"}};
  Response.m_Body = m_Leaving ? "leaving\n" : "serving\n";
  Exchange.respond(std::move(Response));
}

void CallerFront::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Target == HealthPath)
    return answerHealth(*Exchange);
  ++m_Context.m_Counters.m_Requests;
  std::string RequestId = makeRequestId();
  const auto Refuse = [&](const OwnAnswer &Answer) {
    refuse(*Exchange, Answer, RequestId);
  };
  const ConfigurationIndexPtr InForce = m_Context.m_Configuration.index();
  if (InForce->configuration()->version() == 0)
    return Refuse(noConfiguration());
  const auto Customer = findHeader(Request.m_Headers, CustomerHeader);
  if (!Customer)
    return Refuse(noCustomer());
  const schema::Customer *Known = InForce->findCustomer(*Customer);
  if (!Known)
    return Refuse(unknownCustomer());
  auto Match = findRoute(*InForce, Request.m_Target);
  if (!Match)
    return Refuse(unknownRoute());
  enterGate(Exchange, *Known, std::move(*Match), std::move(RequestId));
}

void CallerFront::enterGate(const std::shared_ptr<HttpExchange> &Exchange,
                            const schema::Customer &Customer, RouteMatch Match,
                            std::string RequestId) {
  GateRequest Entering;
  Entering.m_Service = Match.m_Service->name();
  Entering.m_Customer = Customer.name();
  Entering.m_Weight = Customer.share();
  Entering.m_Limit = Customer.max_tokens_per_second();
  Entering.m_Tokens = sizeOf(Exchange->request()).m_Tokens;
  Entering.m_Deadline = RuntimeClock::now() +
                        std::chrono::milliseconds(Match.m_Route->deadline_ms());
  const std::uint64_t Waiting = m_Context.m_Gate.enter(
      Entering, [this, Exchange, Match = std::move(Match),
                 RequestId = std::move(RequestId)](
                    GatePass Pass, const AdmissionDecision &Verdict) {
        boost::asio::dispatch(
            Exchange->executor(), [this, Exchange, Match, RequestId,
                                   Pass = std::move(Pass), Verdict]() mutable {
              if (Verdict.m_Reason == AdmissionReason::Admitted)
                return goOn(Exchange, std::move(Match), std::move(RequestId),
                            std::move(Pass));
              refuse(*Exchange, refusedByGate(Verdict), RequestId);
            });
      });
  if (Waiting != 0)
    Exchange->onClosed([&Gate = m_Context.m_Gate, Service = Entering.m_Service,
                        Waiting] { Gate.cancel(Service, Waiting); });
}

void CallerFront::refuse(HttpExchange &Exchange, const OwnAnswer &Answer,
                         const std::string &RequestId) {
  noteRefusal(m_Context, Answer, RequestId);
  Exchange.respond(toResponse(Answer, RequestId));
}

void CallerFront::goOn(const std::shared_ptr<HttpExchange> &Exchange,
                       RouteMatch Match, std::string RequestId, GatePass Pass) {
  if (Match.m_Route->idempotent())
    return ForwardedRequest::start(m_Context, Exchange, std::move(Match),
                                   std::move(RequestId), std::move(Pass));
  ClaimedRequest::start(m_Context, Exchange, Match, RequestId, std::move(Pass));
}

} // namespace mangocart
