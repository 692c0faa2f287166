// Priorities and urgencies from a plan. Guards against a header for deployments
// without priorities, whose backend servers would then order requests
// differently.
#include "Gateway/RequestPriority.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

RouteConfig route(std::string Service, std::uint32_t Priority) {
  RouteConfig Route;
  Route.m_Name = Route.m_Host = Service + std::to_string(Priority);
  Route.m_PathPrefix = "/";
  Route.m_Priority = Priority;
  Route.m_Services = {{std::move(Service), 1}};
  return Route;
}

RoutingPlan plan() {
  RoutingPlan Plan;
  for (const char *Name : {"chat", "batch", "plain"})
    Plan.m_Services.push_back({Name, "/health", 100, EngineConfig{}});
  Plan.m_Services.back().m_Engine.reset();
  Plan.m_Routes = {route("chat", 0), route("chat", 12), route("batch", 2),
                   route("plain", 0), route("plain", 1)};
  Plan.m_Customers = {{"school", {"k1"}, {}}};
  return Plan;
}

} // namespace

TEST_CASE("a customer's priority overrides the route's") {
  const RouteConfig Route = route("chat", 2);
  const CustomerConfig Without{"school", {"k1"}, {}};
  const CustomerConfig Urgent{"clinic", {"k2"}, 0};
  CHECK(priorityOf(Route, nullptr) == 2);
  CHECK(priorityOf(Route, &Without) == 2);
  CHECK(priorityOf(Route, &Urgent) == 0);
}

TEST_CASE("only engines that serve several priorities get an urgency") {
  const RoutingPlanIndex Index(plan());
  CHECK(urgencyOf(Index, "chat", 0) == 0U);
  CHECK(urgencyOf(Index, "chat", 12) == 9U);
  CHECK_FALSE(urgencyOf(Index, "batch", 2));
  CHECK_FALSE(urgencyOf(Index, "plain", 0));
  CHECK_FALSE(urgencyOf(Index, "unknown", 0));
}

TEST_CASE("a customer's priority makes the priorities of a service differ") {
  RoutingPlan Plan = plan();
  Plan.m_Customers.push_back({"clinic", {"k2"}, 0});
  CHECK(RoutingPlanIndex(Plan).hasPriorities("batch"));
  // Without a key the priority of a customer doesn't apply.
  Plan.m_Routes[2].m_Public = true;
  CHECK_FALSE(RoutingPlanIndex(Plan).hasPriorities("batch"));
  // All customers have the same priority.
  for (CustomerConfig &Customer : Plan.m_Customers)
    Customer.m_Priority = 1;
  CHECK_FALSE(RoutingPlanIndex(Plan).hasPriorities("chat"));
}
