// Priority of a request, and which services serve requests of different
// priorities.
#ifndef MANGOCART_GATEWAY_REQUESTPRIORITY_H
#define MANGOCART_GATEWAY_REQUESTPRIORITY_H

#include "Gateway/RoutingPlan.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace mangocart {

// 0 is the most urgent. A priority of the customer overrides the route's.
// Customer is null if the route requires no key.
std::uint32_t priorityOf(const RouteConfig &Route,
                         const CustomerConfig *Customer);

// Names of the services that get requests of more than one priority.
std::set<std::string, std::less<>>
servicesWithPriorities(const RoutingPlan &Plan);

// Urgency for the backend server's own queue; nullopt if the service isn't an
// engine or all its requests have the same priority.
std::optional<std::uint32_t> urgencyOf(const RoutingPlanIndex &Plan,
                                       const std::string &Service,
                                       std::uint32_t Priority);

} // namespace mangocart

#endif
