// Lookups and validation of a routing plan.
#include "Gateway/RoutingPlan.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

RouteConfig route(std::string Name, std::string Host, std::string Prefix) {
  RouteConfig R;
  R.m_Name = std::move(Name);
  R.m_Host = std::move(Host);
  R.m_PathPrefix = std::move(Prefix);
  R.m_Timeout = 8s;
  R.m_Services = {{"assistant", 1}};
  return R;
}

RoutingPlan plan() {
  RoutingPlan P;
  P.m_Version = 7;
  P.m_Services.push_back({"assistant", "/health", 100, std::nullopt});
  P.m_Routes = {route("rows", "farm.example", "/rows/"),
                route("old-rows", "farm.example", "/rows/old/"),
                route("all", "farm.example", "/"),
                route("other", "other.example", "/rows/")};
  P.m_Customers = {{"school", {"k1", "k2"}, 1}, {"family", {"k3"}, {}}};
  return P;
}

} // namespace

TEST_CASE("the host's route with the longest matching prefix is found") {
  const RoutingPlanIndex Index(plan());
  struct Case {
    const char *m_Host;
    const char *m_Path;
    const char *m_Route;
  };
  const Case Cases[] = {
      {"farm.example", "/rows/4", "rows"},
      {"farm.example", "/rows/", "rows"},
      {"farm.example", "/rows/old/4/5", "old-rows"},
      {"farm.example", "/rows/older", "rows"},
      {"farm.example", "/rows", "all"},
      {"other.example", "/rows/x", "other"},
      {"other.example", "/", nullptr},
      {"other.example", "", nullptr},
      {"nobody.example", "/rows/4", nullptr},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Host << Each.m_Path);
    const RouteConfig *Found = Index.findRoute(Each.m_Host, Each.m_Path);
    CHECK((Found ? Found->m_Name : "none") ==
          (Each.m_Route ? Each.m_Route : "none"));
  }
}

TEST_CASE("a customer is found by each of its keys") {
  const RoutingPlanIndex Index(plan());
  CHECK(Index.findCustomer("k2")->m_Name == "school");
  CHECK(Index.findCustomer("k3")->m_Name == "family");
  CHECK(Index.findCustomer("k4") == nullptr);
}

TEST_CASE("validation of a plan") {
  struct Case {
    const char *m_Name;
    std::function<void(RoutingPlan &)> m_Change;
    bool m_IsInvalid;
  };
  const Case Cases[] = {
      {"none", [](RoutingPlan &) {}, false},
      {"unknown service",
       [](RoutingPlan &P) {
         P.m_Routes[0].m_Services = {{"nobody", 1}};
       },
       true},
      {"weights of 0",
       [](RoutingPlan &P) {
         P.m_Routes[0].m_Services = {{"assistant", 0}};
       },
       true},
      {"one weight of 0",
       [](RoutingPlan &P) {
         P.m_Routes[0].m_Services = {{"assistant", 0}, {"assistant", 3}};
       },
       false},
      {"no timeout", [](RoutingPlan &P) { P.m_Routes[1].m_Timeout = 0s; },
       true},
      {"same host and prefix",
       [](RoutingPlan &P) { P.m_Routes[1].m_PathPrefix = "/rows/"; }, true},
      {"shared key", [](RoutingPlan &P) { P.m_Customers[1].m_Keys = {"k1"}; },
       true},
      {"key listed twice by the same customer",
       [](RoutingPlan &P) {
         P.m_Customers[0].m_Keys = {"k1", "k1"};
       },
       false},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    RoutingPlan P = plan();
    Each.m_Change(P);
    CHECK(findError(P).has_value() == Each.m_IsInvalid);
  }
}

TEST_CASE("prompts are spread only by engines with prompts and known passes") {
  EngineConfig Engine;
  Engine.m_PrefillTokensPerSecond = 61200.0;
  Engine.m_MaxPrefillTokensPerStep = 512;
  CHECK(prefillTokensPerPass(Engine) == 0);
  Engine.m_StepsPerPass = 5;
  CHECK(prefillTokensPerPass(Engine) == 2560);
  Engine.m_PrefillTokensPerSecond = 0.0;
  CHECK(prefillTokensPerPass(Engine) == 0);
}
