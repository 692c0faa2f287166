// Resolves route, customer and service of a request.
#include "Gateway/RequestRouter.h"

#include "Events/EventLog.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/PlanHolder.h"
#include "Gateway/ProxiedRequest.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
// The first configuration is received as soon as a voter is connected.
constexpr Duration RetryAfterNoPlan = std::chrono::milliseconds(500);
// Other gateways accept the request at once.
constexpr Duration RetryAfterStopping = Duration::zero();

} // namespace

std::string RequestRouter::chooseService(const RouteConfig &Route) {
  if (Route.m_Services.size() == 1)
    return Route.m_Services.front().m_Service;
  const std::lock_guard Lock(m_RandomMutex);
  std::uint64_t Drawn = uniform(m_Random, 0, totalWeight(Route) - 1);
  for (const WeightedService &Each : Route.m_Services) {
    if (Drawn < Each.m_Weight)
      return Each.m_Service;
    Drawn -= Each.m_Weight;
  }
  return Route.m_Services.back().m_Service;
}

bool RequestRouter::isAnsweredBeforeDrainEnd(
    const std::string &Service, const RouteConfig &Route,
    const CallerRequest &Caller) const {
  if (!m_Context.isDraining())
    return true;
  return isAnsweredBefore(
      m_Context.m_DrainEnd, RuntimeClock::now(),
      std::min(Caller.m_TimeLeft.value_or(Route.m_Timeout), Route.m_Timeout),
      m_Context.m_Dispatcher.longestAnswer(Service));
}

void RequestRouter::reject(HttpExchange &Exchange, const CallerRequest &Caller,
                           unsigned Status, std::string_view Reason,
                           std::optional<Duration> RetryAfter,
                           std::uint64_t PlanVersion) {
  m_Context.m_Metrics.m_Rejected.add();
  m_Context.m_Events.write(Event::RequestTurnedAway,
                           {{"request", Caller.m_RequestId},
                            {"status", Status},
                            {"reason", Reason},
                            {"host", Caller.m_Host},
                            {"path", Caller.m_Path},
                            {"configuration", PlanVersion}});
  HttpResponse Response = m_Context.m_Protocol.makeResponse(
      Status, Reason, Caller.m_RequestId, RetryAfter);
  if (m_Context.isDraining())
    Response.m_Head.m_Headers.push_back({"Connection", "close"});
  Exchange.respond(std::move(Response));
}

void RequestRouter::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  m_Context.m_Metrics.m_Requests.add();
  CallerRequest Caller = m_Context.m_Protocol.read(Exchange->request());
  const RoutingPlanPtr Plan = m_Context.m_Plans.current();
  if (!Plan)
    return reject(*Exchange, Caller, StatusUnavailable, "no-configuration",
                  RetryAfterNoPlan, 0);
  const std::uint64_t Version = Plan->plan().m_Version;
  const RouteConfig *Route = Plan->findRoute(Caller.m_Host, Caller.m_Path);
  if (!Route)
    return reject(*Exchange, Caller, StatusNotFound, "unknown-route",
                  std::nullopt, Version);
  const CustomerConfig *Customer =
      Caller.m_CustomerKey ? Plan->findCustomer(*Caller.m_CustomerKey)
                           : nullptr;
  const bool NeedsKey = !Route->m_Public && !Plan->plan().m_Customers.empty();
  if (NeedsKey && !Customer)
    return reject(*Exchange, Caller, StatusUnauthorized, "unknown-key",
                  std::nullopt, Version);
  std::string Service = chooseService(*Route);
  if (!isAnsweredBeforeDrainEnd(Service, *Route, Caller))
    return reject(*Exchange, Caller, StatusUnavailable, "stopping",
                  RetryAfterStopping, Version);
  ResolvedRequest Call;
  Call.m_Plan = Plan;
  Call.m_Route = Route;
  Call.m_Customer = NeedsKey ? Customer : nullptr;
  Call.m_Service = std::move(Service);
  Call.m_Caller = std::move(Caller);
  ProxiedRequest::start(m_Context, Exchange, std::move(Call));
}

} // namespace mangocart
