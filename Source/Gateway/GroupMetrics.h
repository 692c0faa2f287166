// Gauges of the rank groups at a gateway; docs/METRICS.md describes them.
#ifndef MANGOCART_GATEWAY_GROUPMETRICS_H
#define MANGOCART_GATEWAY_GROUPMETRICS_H

#include "Metrics/MetricRegistry.h"
#include "Routing/GroupCapacity.h"

namespace mangocart {

// Groups that are no longer known keep their last values.
void updateGroupMetrics(
    MetricRegistry &Registry,
    const std::map<std::string, GroupPasses, std::less<>> &Groups);

} // namespace mangocart

#endif
