// Parsing of the platform's configuration document into a routing plan.
#include "PlatformCallerProtocol.h"
#include "PlatformConfiguration.h"
#include "PlatformHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace mangocart;
using namespace mangocart::platform;
using namespace std::chrono_literals;

namespace {

const std::string Document = R"({"version":7,"routes":[
 {"name":"r1","host":"farm.example","path_prefix":"/rows/","route_type":"stream",
  "timeout_ms":8000,"target_latency_ms":400,"priority":1,
  "backends":[{"service":"llm","weight":90},{"service":"desk","weight":10}],
  "max_attempts":2,"public":false,"session_affinity":true,"resumable":true,
  "gap_target_ms":120,"unheard_of":1},
 {"name":"r2","host":"farm.example","path_prefix":"/book/",
  "route_type":"non_idempotent","timeout_ms":800,"target_latency_ms":300,
  "priority":2,"service":"desk","max_attempts":1,"public":true}],
 "services":[
 {"name":"llm","health_path":"/health","max_connections":408,
  "cold_start_s":2.5,"cold_per_s":14.5,
  "engine":{"slots":12,"kv_capacity_tokens":372000,"link_mbps":44000.0,
   "step_ms":5.85,"per_seq_ms":0.355,"read_per_s":61200.0,
   "context_per_k":0.036,"pairs_per_m":0.325,"chunk":512,"stride":5,
   "usual":{"prompt":835,"answer":139},"sets":3,"experts":96,"places":11,
   "spare":4,"expert_mb":780.0,"expert_share":0.85}},
 {"name":"desk","health_path":"/health","max_connections":96}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":1000000,
  "header_timeout_ms":2000,"idle_timeout_ms":9000},
 "tenants":[{"name":"school","api_keys":["k1","k2"],"priority":1},
  {"name":"family","api_keys":["k3"]}]})";

std::string with(const std::string &From, const std::string &To) {
  std::string Text = Document;
  const std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

TEST_CASE("each field is read into the routing plan") {
  const auto Read = readConfiguration(Document);
  REQUIRE(Read);
  const RoutingPlan &P = Read.value();
  CHECK(P.m_Version == 7);
  REQUIRE(P.m_Routes.size() == 2);
  const RouteConfig &Rows = P.m_Routes[0];
  CHECK(Rows.m_Kind == RouteKind::Stream);
  CHECK(Rows.m_Timeout == 8s);
  CHECK(Rows.m_TargetLatency == 400ms);
  CHECK(Rows.m_Services ==
        std::vector<WeightedService>{{"llm", 90}, {"desk", 10}});
  CHECK(Rows.m_MaxAttempts == 2);
  CHECK(Rows.m_Resumable);
  CHECK(Rows.m_EventGapTarget == 120ms);
  CHECK(Rows.m_CallerIdleTimeout == 2s);
  CHECK(Rows.isRetryable());
  const RouteConfig &Book = P.m_Routes[1];
  CHECK(Book.m_Kind == RouteKind::NonIdempotent);
  CHECK(Book.m_Services == std::vector<WeightedService>{{"desk", 1}});
  CHECK(Book.m_Public);
  CHECK(Book.m_CallerIdleTimeout == 0s);
  CHECK_FALSE(Book.isRetryable());
  REQUIRE(P.m_Services[0].m_Engine);
  const EngineConfig &Engine = *P.m_Services[0].m_Engine;
  CHECK(Engine.m_Slots == 12);
  CHECK(Engine.m_MeanPromptTokens == 835);
  CHECK(Engine.m_StepsPerPass == 5);
  CHECK(Engine.m_MaxPrefillTokensPerStep == 512);
  CHECK(Engine.m_DecodeStepMsPer1000ContextTokens == 0.036);
  CHECK(Engine.m_PrefillMsPerMillionPairs == 0.325);
  REQUIRE(Engine.m_Experts);
  CHECK(Engine.m_Experts->m_Layers == 3);
  CHECK(Engine.m_Experts->m_SlotsPerRank == 11);
  CHECK(Engine.m_Experts->m_MaxNewPerLayer == 4);
  // 780 MB over 44,000 Mbit/s.
  CHECK(Engine.m_Experts->m_CopyTime / 1ms == 141);
  CHECK_FALSE(P.m_Services[1].m_Engine);
  CHECK(P.m_Services[0].m_ColdDuration == 2500ms);
  CHECK(P.m_Services[0].m_ColdRequestsPerSecond == 14.5);
  CHECK(P.m_Services[1].m_ColdDuration == 0s);
  CHECK(P.m_Services[1].m_ColdRequestsPerSecond == 0);
  CHECK(P.m_Limits.m_MaxHeaderBytes == 8192);
  CHECK(P.m_Limits.m_IdleTimeout == 9s);
  CHECK(P.m_Customers[0] == CustomerConfig{"school", {"k1", "k2"}, 1});
  CHECK(P.m_Customers[1].m_Priority == std::nullopt);
}

TEST_CASE("callers' idle timeout grows with the route's targets") {
  const auto Slow = readConfiguration(
      with("\"target_latency_ms\":400", "\"target_latency_ms\":900"));
  CHECK(Slow.value().m_Routes[0].m_CallerIdleTimeout == 3600ms);
  const auto Pauses =
      readConfiguration(with("\"gap_target_ms\":120", "\"gap_target_ms\":500"));
  CHECK(Pauses.value().m_Routes[0].m_CallerIdleTimeout == 4s);
}

TEST_CASE("invalid documents are rejected") {
  struct Case {
    const char *m_Name;
    std::string m_Text;
  };
  const Case Cases[] = {
      {"truncated", Document.substr(0, Document.size() / 2)},
      {"empty", ""},
      {"not an object", "[]"},
      {"no version", with("\"version\":7,", "")},
      {"version of the wrong type", with("\"version\":7", "\"version\":\"7\"")},
      {"routes of the wrong type",
       with("\"routes\":[", "\"routes\":5,\"x\":[")},
      {"unknown service", with("\"service\":\"desk\",\"weight\"",
                               "\"service\":\"none\",\"weight\"")},
      {"same host and prefix", with("\"/book/\"", "\"/rows/\"")},
      {"no weight", with("\"weight\":90},{\"service\":\"desk\",\"weight\":10",
                         "\"weight\":0},{\"service\":\"desk\",\"weight\":0")},
      {"no timeout", with("\"timeout_ms\":800,", "\"timeout_ms\":0,")},
      {"shared key", with("\"k3\"", "\"k1\"")},
      {"key of the wrong type", with("\"k3\"", "3")},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(readConfiguration(Each.m_Text).has_error());
  }
}

// Guards against routes that no request is matched to: hosts of requests are
// compared in lower case.
TEST_CASE("hosts of routes compare without regard to case") {
  const std::string Host = R"("host":"farm.example","path_prefix":"/rows/")";
  const std::string Mixed = R"("host":"Farm.EXAMPLE","path_prefix":"/rows/")";
  const auto Read = readConfiguration(with(Host, Mixed));
  REQUIRE(Read);
  CHECK(Read.value().m_Routes[0].m_Host == "farm.example");
  // The second route gets the same prefix.
  const std::string Twice = R"("host":"Farm.EXAMPLE","path_prefix":"/book/")";
  CHECK_FALSE(readConfiguration(with(Host, Twice)));
}

// Guards against an acknowledged route whose requests get 404 because its host
// is written with a port or a final dot.
TEST_CASE("hosts of routes and of requests have one form") {
  const PlatformCallerProtocol Protocol;
  for (const char *Written :
       {"farm.example", "Farm.Example", "farm.example:8227", "farm.example.",
        "FARM.example.:8227"}) {
    CAPTURE(Written);
    const std::string Host = R"("host":"farm.example","path_prefix":"/rows/")";
    const auto Read =
        readConfiguration(with(Host, R"("host":")" + std::string(Written) +
                                         R"(","path_prefix":"/rows/")"));
    REQUIRE(Read);
    CHECK(Read.value().m_Routes[0].m_Host == "farm.example");
    const HttpRequest Request{"GET", "/rows/1", {{"Host", Written}}, {}, {}};
    CHECK(Protocol.read(Request).m_Host == "farm.example");
  }
  CHECK(normalizeHost("[::1]:80") == "[::1]");
  CHECK(normalizeHost("[::1]") == "[::1]");
  CHECK(normalizeHost("").empty());
}

TEST_CASE("an unknown kind is treated as non-idempotent") {
  const auto Read = readConfiguration(with("\"stream\"", "\"something_new\""));
  CHECK(Read.value().m_Routes[0].m_Kind == RouteKind::NonIdempotent);
}
