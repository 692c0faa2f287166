// The checks that keep a hand-made configuration from stopping the deployment.
#include "Planning/ConfigurationChecks.h"

#include "Configuration.pb.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

constexpr int MaxVoters = 5;
constexpr double WeightTolerance = 1e-9;

std::string faultOfService(const schema::Service &Service) {
  if (Service.name().empty())
    return "a service has no name";
  if (Service.kind() == schema::Service::KIND_UNSPECIFIED)
    return fmt::format("service {} has no kind", Service.name());
  if (Service.routes().empty())
    return fmt::format("service {} has no route", Service.name());
  for (const schema::Route &Route : Service.routes())
    if (!Route.path().starts_with('/') || Route.deadline_ms() == 0)
      return fmt::format("service {} has a route without path or deadline",
                         Service.name());
  return {};
}

} // namespace

std::string faultOf(const schema::Configuration &Configuration) {
  if (Configuration.deployment().empty())
    return "the configuration names no deployment";
  const auto &Vms = Configuration.entry_vms();
  const auto Voters =
      std::count_if(Vms.begin(), Vms.end(),
                    [](const schema::EntryVm &Vm) { return Vm.voter(); });
  if (Voters % 2 == 0 || Voters > MaxVoters)
    return fmt::format("{} voters; expected 1, 3 or 5", Voters);
  const double Weights = Configuration.step_skew_weight() +
                         Configuration.rebalancing_cost_weight();
  if (std::abs(Weights - 1.0) > WeightTolerance)
    return "the weights of step skew and rebalancing cost must add up to 1";
  if (Configuration.services().empty())
    return "the configuration has no service";
  for (const schema::Service &Service : Configuration.services()) {
    std::string Fault = faultOfService(Service);
    if (!Fault.empty())
      return Fault;
  }
  return {};
}

} // namespace mangocart
