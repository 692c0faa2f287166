// Validation and lookups of a plan.
#include "Gateway/RoutingPlan.h"

#include "Gateway/PassRulesOf.h"
#include "Gateway/RequestPriority.h"
#include "Routing/PrefillSpread.h"

#include <fmt/format.h>

#include <set>

namespace mangocart {

namespace {

std::optional<std::string> findError(const RouteConfig &Route,
                                     const std::set<std::string> &Services) {
  for (const WeightedService &Each : Route.m_Services)
    if (!Services.contains(Each.m_Service))
      return fmt::format("route {} names the unknown service {}", Route.m_Name,
                         Each.m_Service);
  if (totalWeight(Route) == 0)
    return fmt::format("the weights of route {} add up to 0", Route.m_Name);
  if (Route.m_Timeout <= Duration::zero())
    return fmt::format("the timeout of route {} is 0", Route.m_Name);
  return std::nullopt;
}

std::optional<std::string> findSharedKey(const RoutingPlan &Plan) {
  std::map<std::string_view, std::string_view> Owners;
  for (const CustomerConfig &Customer : Plan.m_Customers)
    for (const std::string &Key : Customer.m_Keys) {
      const auto [At, Inserted] = Owners.emplace(Key, Customer.m_Name);
      if (!Inserted && At->second != Customer.m_Name)
        return fmt::format("customers {} and {} share a key", At->second,
                           Customer.m_Name);
    }
  return std::nullopt;
}

} // namespace

std::map<std::string, double, std::less<>> coldRates(const RoutingPlan &Plan) {
  std::map<std::string, double, std::less<>> Rates;
  for (const ServiceConfig &Each : Plan.m_Services)
    if (Each.m_ColdRequestsPerSecond > 0.0)
      Rates[Each.m_Name] = Each.m_ColdRequestsPerSecond;
  return Rates;
}

std::uint64_t prefillTokensPerPass(const EngineConfig &Engine) {
  return prefillTokensPerPass(
      Engine.m_MaxPrefillTokensPerStep, Engine.m_StepsPerPass,
      Engine.m_PrefillTokensPerSecond, Engine.m_DecodeStepMs);
}

std::uint64_t totalWeight(const RouteConfig &Route) {
  std::uint64_t Sum = 0;
  for (const WeightedService &Each : Route.m_Services)
    Sum += Each.m_Weight;
  return Sum;
}

std::string_view toString(RouteKind Kind) {
  switch (Kind) {
  case RouteKind::Idempotent:
    return "idempotent";
  case RouteKind::NonIdempotent:
    return "non-idempotent";
  case RouteKind::Stream:
    return "stream";
  }
  return "unknown";
}

std::optional<std::string> findError(const RoutingPlan &Plan) {
  std::set<std::string> Services;
  for (const ServiceConfig &Service : Plan.m_Services)
    Services.insert(Service.m_Name);
  std::set<std::pair<std::string_view, std::string_view>> HostsAndPrefixes;
  for (const RouteConfig &Route : Plan.m_Routes) {
    if (auto Error = findError(Route, Services))
      return Error;
    if (!HostsAndPrefixes.emplace(Route.m_Host, Route.m_PathPrefix).second)
      return fmt::format("two routes share the host {} and the prefix {}",
                         Route.m_Host, Route.m_PathPrefix);
  }
  return findSharedKey(Plan);
}

RoutingPlanIndex::RoutingPlanIndex(RoutingPlan Plan) : m_Plan(std::move(Plan)) {
  for (const RouteConfig &Route : m_Plan.m_Routes)
    m_Routes[Route.m_Host].emplace(Route.m_PathPrefix, &Route);
  for (const CustomerConfig &Customer : m_Plan.m_Customers)
    for (const std::string &Key : Customer.m_Keys)
      m_Customers.emplace(Key, &Customer);
  for (const ServiceConfig &Service : m_Plan.m_Services)
    m_Services.emplace(Service.m_Name, &Service);
  for (const ServiceConfig &Service : m_Plan.m_Services)
    if (const auto Rules = passRulesOf(m_Plan, Service.m_Name))
      m_PassRules.emplace(Service.m_Name, *Rules);
  m_WithPriorities = servicesWithPriorities(m_Plan);
}

const RouteConfig *RoutingPlanIndex::findRoute(std::string_view Host,
                                               std::string_view Path) const {
  const auto Routes = m_Routes.find(Host);
  if (Routes == m_Routes.end())
    return nullptr;
  // Prefixes end with a slash, so the candidates are the path up to each slash,
  // longest first.
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    const auto Found = Routes->second.find(Path.substr(0, End + 1));
    if (Found != Routes->second.end())
      return Found->second;
  }
  return nullptr;
}

const CustomerConfig *
RoutingPlanIndex::findCustomer(std::string_view Key) const {
  const auto Found = m_Customers.find(Key);
  return Found == m_Customers.end() ? nullptr : Found->second;
}

const ServiceConfig *
RoutingPlanIndex::findService(std::string_view Name) const {
  const auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : Found->second;
}

std::optional<PassRules>
RoutingPlanIndex::passRules(std::string_view Service) const {
  const auto Found = m_PassRules.find(Service);
  if (Found == m_PassRules.end())
    return std::nullopt;
  return Found->second;
}

bool RoutingPlanIndex::hasPriorities(std::string_view Service) const {
  return m_WithPriorities.contains(Service);
}

} // namespace mangocart
