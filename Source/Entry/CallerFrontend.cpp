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

LocalReply noConfiguration() {
  return {StatusUnavailable, "no-configuration",
          "this entry has no configuration yet", schema::NOT_RUN,
          RetryAfterNoConfiguration};
}

LocalReply noCustomer() {
  return {StatusBadRequest, "no-customer",
          "the header Mangocart-Customer names the customer; it is missing",
          schema::NOT_RUN, std::nullopt};
}

LocalReply unknownCustomer() {
  return {StatusForbidden, "unknown-customer",
          "the configuration has no such customer; its operators add it to the "
          "questionnaire",
          schema::NOT_RUN, std::nullopt};
}

LocalReply unknownRoute() {
  return {StatusNotFound, "unknown-route",
          "the configuration has no route for this path", schema::NOT_RUN,
          std::nullopt};
}

LocalReply stoppingReply() {
  return {StatusUnavailable, "stopping",
          "the entry stops before the request is admitted; ask another entry",
          schema::NOT_RUN, Duration::zero()};
}

LocalReply rejectedByAdmission(const AdmissionDecision &Decision) {
  return {Decision.m_Status, std::string(toString(Decision.m_Reason)),
          "the request can't be served in time; come back after Retry-After",
          schema::NOT_RUN, Decision.m_RetryAfter};
}

} // namespace

CallerFrontend::CallerFrontend(EntryContext &Context, std::uint64_t Incarnation)
    : m_Context(Context),
      m_RequestIdPrefix(
          fmt::format("{}-{:x}-", Context.m_Settings.name(), Incarnation)) {}

std::string CallerFrontend::makeRequestId() {
  return m_RequestIdPrefix + std::to_string(++m_RequestCount);
}

void CallerFrontend::answerHealth(HttpExchange &Exchange) const {
  HttpResponse Response;
  Response.m_Head.m_Status = m_Leaving ? StatusUnavailable : StatusOk;
  Response.m_Head.m_Headers = {{"Content-Type", "text/plain"}};
  Response.m_Body = m_Leaving ? "leaving\n" : "serving\n";
  Exchange.respond(std::move(Response));
}

void CallerFrontend::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Request.m_Target == HealthPath)
    return answerHealth(*Exchange);
  ++m_Context.m_Counters.m_Requests;
  std::string RequestId = makeRequestId();
  const auto Refuse = [&](const LocalReply &Answer) {
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
  submitForAdmission(Exchange, *Known, std::move(*Match), std::move(RequestId));
}

void CallerFrontend::submitForAdmission(
    const std::shared_ptr<HttpExchange> &Exchange,
    const schema::Customer &Customer, RouteMatch Match, std::string RequestId) {
  IncomingRequest Submission;
  Submission.m_Service = Match.m_Service->name();
  Submission.m_Customer = Customer.name();
  Submission.m_Weight = Customer.share();
  Submission.m_Limit = Customer.max_tokens_per_second();
  Submission.m_Tokens = estimateSize(Exchange->request()).m_Tokens;
  Submission.m_Deadline =
      RuntimeClock::now() +
      std::chrono::milliseconds(Match.m_Route->deadline_ms());
  // Used on the exchange's worker. A request that was rejected as not run must
  // not be forwarded if it is admitted at the same time.
  const auto Stopped = std::make_shared<bool>(false);
  Exchange->onStopping(
      [this, Weak = std::weak_ptr(Exchange), RequestId, Stopped] {
        *Stopped = true;
        if (const auto Alive = Weak.lock())
          refuse(*Alive, stoppingReply(), RequestId);
      });
  const std::uint64_t Waiting = m_Context.m_Admission.submit(
      Submission,
      [this, Exchange, Match = std::move(Match),
       RequestId = std::move(RequestId),
       Stopped](AdmissionPermit Permit, const AdmissionDecision &Decision) {
        boost::asio::dispatch(Exchange->executor(), [this, Exchange, Match,
                                                     RequestId, Stopped,
                                                     Permit = std::move(Permit),
                                                     Decision]() mutable {
          if (*Stopped)
            return;
          if (Decision.m_Reason == AdmissionReason::Admitted)
            return forward(Exchange, std::move(Match), std::move(RequestId),
                           std::move(Permit));
          refuse(*Exchange, rejectedByAdmission(Decision), RequestId);
        });
      });
  if (Waiting != 0)
    Exchange->onClosed([&Admission = m_Context.m_Admission,
                        Service = Submission.m_Service,
                        Waiting] { Admission.cancel(Service, Waiting); });
}

void CallerFrontend::refuse(HttpExchange &Exchange, const LocalReply &Answer,
                            const std::string &RequestId) {
  recordRefusal(m_Context, Answer, RequestId);
  Exchange.respond(toResponse(Answer, RequestId));
}

void CallerFrontend::forward(const std::shared_ptr<HttpExchange> &Exchange,
                             RouteMatch Match, std::string RequestId,
                             AdmissionPermit Permit) {
  if (Match.m_Route->idempotent())
    return ForwardedRequest::start(m_Context, Exchange, std::move(Match),
                                   std::move(RequestId), std::move(Permit));
  ClaimedRequest::start(m_Context, Exchange, Match, RequestId,
                        std::move(Permit));
}

} // namespace mangocart
