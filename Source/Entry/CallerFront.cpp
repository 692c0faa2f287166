// The first steps of each caller's request.
#include "Entry/CallerFront.h"

#include "Entry/ClaimedRequest.h"
#include "Entry/EntryContext.h"
#include "Entry/ForwardedRequest.h"
#include "Entry/OwnAnswer.h"
#include "Entry/RouteTable.h"

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
    ++m_Context.m_Counters.m_Refused;
    Exchange->respond(toResponse(Answer, RequestId));
  };
  const ConfigurationPtr Configuration = m_Context.m_Configuration.current();
  if (Configuration->version() == 0)
    return Refuse(noConfiguration());
  const auto Customer = findHeader(Request.m_Headers, CustomerHeader);
  if (!Customer)
    return Refuse(noCustomer());
  if (!findCustomer(*Configuration, *Customer))
    return Refuse(unknownCustomer());
  auto Match = findRoute(Configuration, Request.m_Target);
  if (!Match)
    return Refuse(unknownRoute());
  if (Match->m_Route->idempotent())
    return ForwardedRequest::start(m_Context, Exchange, std::move(*Match),
                                   std::move(RequestId));
  ClaimedRequest::start(m_Context, Exchange, std::move(*Match),
                        std::move(RequestId));
}

} // namespace mangocart
