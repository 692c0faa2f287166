#include "Gateway/GroupMetrics.h"

namespace mangocart {

void updateGroupMetrics(
    MetricRegistry &Registry,
    const std::map<std::string, GroupPasses, std::less<>> &Groups) {
  constexpr double MsPerSecond = 1e3;
  for (const auto &[Group, Passes] : Groups) {
    const Labels Of{{"group", Group}};
    Registry
        .gauge("mangocart_gateway_group_expected_pass_seconds",
               "Expected pass time of a rank group with a further request.", Of)
        .set(Passes.m_ExpectedMs / MsPerSecond);
    Registry
        .gauge("mangocart_gateway_group_observed_pass_seconds",
               "Mean pass time observed in the gateway's own streams.", Of)
        .set(Passes.m_MeanMs / MsPerSecond);
    Registry
        .gauge("mangocart_gateway_group_requests",
               "Outstanding requests of all gateways at a rank group.", Of)
        .set(Passes.m_Requests);
    Registry
        .gauge("mangocart_gateway_group_limit",
               "Maximum number of requests at a rank group.", Of)
        .set(Passes.m_Limit);
  }
}

} // namespace mangocart
