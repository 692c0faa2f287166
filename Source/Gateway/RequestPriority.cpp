// Priorities by route and customer.
#include "Gateway/RequestPriority.h"

#include <algorithm>
#include <map>

namespace mangocart {

namespace {

// The least urgent value that backend servers accept.
constexpr std::uint32_t MaxUrgency = 9;

std::set<std::uint32_t> prioritiesOf(const RoutingPlan &Plan,
                                     const RouteConfig &Route) {
  std::set<std::uint32_t> Priorities;
  if (Route.m_Public || Plan.m_Customers.empty())
    Priorities.insert(priorityOf(Route, nullptr));
  else
    for (const CustomerConfig &Customer : Plan.m_Customers)
      Priorities.insert(priorityOf(Route, &Customer));
  return Priorities;
}

} // namespace

std::uint32_t priorityOf(const RouteConfig &Route,
                         const CustomerConfig *Customer) {
  return Customer ? Customer->m_Priority.value_or(Route.m_Priority)
                  : Route.m_Priority;
}

std::set<std::string, std::less<>>
servicesWithPriorities(const RoutingPlan &Plan) {
  std::map<std::string, std::set<std::uint32_t>> Priorities;
  for (const RouteConfig &Route : Plan.m_Routes)
    for (const WeightedService &Each : Route.m_Services)
      if (Each.m_Weight > 0)
        Priorities[Each.m_Service].merge(prioritiesOf(Plan, Route));
  std::set<std::string, std::less<>> Services;
  for (const auto &[Service, Found] : Priorities)
    if (Found.size() > 1)
      Services.insert(Service);
  return Services;
}

std::optional<std::uint32_t> urgencyOf(const RoutingPlanIndex &Plan,
                                       const std::string &Service,
                                       std::uint32_t Priority) {
  const ServiceConfig *Config = Plan.findService(Service);
  if (!Config || !Config->m_Engine || !Plan.hasPriorities(Service))
    return std::nullopt;
  return std::min(Priority, MaxUrgency);
}

} // namespace mangocart
