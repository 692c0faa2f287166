// Rules for the passes of a service's rank groups, from the configuration.
#ifndef MANGOCART_GATEWAY_PASSRULESOF_H
#define MANGOCART_GATEWAY_PASSRULESOF_H

#include "Gateway/RoutingPlan.h"
#include "Routing/PassTime.h"

#include <optional>
#include <string_view>

namespace mangocart {

PassFigures passFigures(const EngineConfig &Engine);

// The gap target is the smallest one of the routes that use the service, as all
// streams of a group have the same gaps. Empty if no route has a target, or the
// service's replicas aren't ranks of groups or have no known pass.
std::optional<PassRules> passRulesOf(const RoutingPlan &Plan,
                                     std::string_view Service);

} // namespace mangocart

#endif
