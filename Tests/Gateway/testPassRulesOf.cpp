// Pass rules from the configuration. Guards against limits for services that
// declare no engine with passes, and against a target of the wrong route.
#include "Gateway/PassRulesOf.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

RoutingPlan makePlan() {
  RoutingPlan Plan;
  ServiceConfig Llm;
  Llm.m_Name = "llm";
  Llm.m_Engine = EngineConfig();
  Llm.m_Engine->m_DecodeStepMs = 5.85;
  Llm.m_Engine->m_StepsPerPass = 6;
  Llm.m_Engine->m_Experts = ExpertLayout();
  Llm.m_Engine->m_Experts->m_ExpertWorkShare = 0.85;
  ServiceConfig Desk;
  Desk.m_Name = "desk";
  Plan.m_Services = {Llm, Desk};
  for (const Duration Target : {200ms, 120ms, 0ms}) {
    RouteConfig Route;
    Route.m_Services = {{"llm", 90}, {"desk", 10}};
    Route.m_EventGapTarget = Target;
    Plan.m_Routes.push_back(Route);
  }
  return Plan;
}

} // namespace

TEST_CASE("the smallest gap target of a service's routes counts") {
  RoutingPlan Plan = makePlan();
  const auto Rules = passRulesOf(Plan, "llm");
  REQUIRE(Rules);
  CHECK(Rules->m_GapTargetMs == Approx(120.0));
  CHECK(fixedPassMs(Rules->m_Figures) == Approx(35.1));
  CHECK(Rules->m_Figures.m_ExpertWorkShare == Approx(0.85));
  // A route that sends nothing to the service doesn't count.
  Plan.m_Routes[1].m_Services[0].m_Weight = 0;
  CHECK(passRulesOf(Plan, "llm")->m_GapTargetMs == Approx(200.0));
}

TEST_CASE("services without an engine, passes or targets have no pass rules") {
  RoutingPlan Plan = makePlan();
  CHECK_FALSE(passRulesOf(Plan, "desk"));
  CHECK_FALSE(passRulesOf(Plan, "unknown"));
  Plan.m_Services[0].m_Engine->m_StepsPerPass = 0;
  CHECK_FALSE(passRulesOf(Plan, "llm"));
  Plan.m_Services[0].m_Engine->m_StepsPerPass = 6;
  for (RouteConfig &Each : Plan.m_Routes)
    Each.m_EventGapTarget = 0ms;
  CHECK_FALSE(passRulesOf(Plan, "llm"));
}
