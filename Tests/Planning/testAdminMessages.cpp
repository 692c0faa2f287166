// The administration API's shapes: what is sent, what is refused and why.
#include "Planning/AdminMessages.h"

#include "Log.pb.h"
#include "Planning/Plan.h"
#include "Planning/PlanJson.h"
#include "Settings/SettingsReader.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace mangocart;

namespace {

Plan examplePlan() {
  return planText("a.toml",
                  readTextFile(std::string(MANGOCART_SOURCE_ROOT) +
                               "/Examples/cupo-andino/answers.toml")
                      .value(),
                  {})
      .value();
}

std::string acceptBody(const std::string &Configuration,
                       const std::string &Rest) {
  return "{\"configuration\":" + Configuration + "," + Rest + "}";
}

struct RefusedAccept {
  std::string m_Body;
  unsigned m_Status;
  std::string m_Error;
};

} // namespace

TEST_CASE("a plan survives its file") {
  const Plan Made = examplePlan();
  const auto Read = parsePlan(planJson(Made));
  REQUIRE(Read);
  CHECK(Read.value().m_PlannedAgainst == 0);
  CHECK(Read.value().m_Configuration.SerializeAsString() ==
        Made.m_Configuration.SerializeAsString());
}

TEST_CASE("answers in order are planned, others refused with their errors") {
  const auto Good =
      planResponse(readTextFile(std::string(MANGOCART_SOURCE_ROOT) +
                                "/Examples/los-ceibos/answers.toml")
                       .value(),
                   {});
  CHECK(Good.m_Head.m_Status == 200);
  CHECK(parsePlan(Good.m_Body));
  const auto Bad = planResponse("deployment = 3", {});
  CHECK(Bad.m_Head.m_Status == 422);
  CHECK(Bad.m_Body.find("answers:1: deployment: found 3") != std::string::npos);
}

TEST_CASE("an acceptance is taken whole or refused with the reason") {
  const std::string Whole = messageJson(examplePlan().m_Configuration);
  schema::Configuration TwoVoters = examplePlan().m_Configuration;
  TwoVoters.mutable_entry_vms(0)->set_voter(false);
  schema::Configuration Nan = examplePlan().m_Configuration;
  Nan.set_step_skew_weight(std::nan(""));
  schema::Configuration NoDeadline = examplePlan().m_Configuration;
  NoDeadline.mutable_services(0)->mutable_routes(0)->set_deadline_ms(0);
  schema::Configuration TwiceNamed = examplePlan().m_Configuration;
  TwiceNamed.mutable_customers(1)->set_name(TwiceNamed.customers(0).name());
  const std::string Ids = R"("operation_id":"op-1","operator":"ana")";
  const auto Taken =
      parseAccept(acceptBody(Whole, R"("planned_against":0,)" + Ids));
  REQUIRE(Taken);
  CHECK(Taken.value().operation_id() == "op-1");
  CHECK(Taken.value().operator_name() == "ana");
  CHECK(Taken.value().configuration().version() == 1);
  const RefusedAccept Refused[] = {
      {"[]", 400, "the body is no JSON object"},
      {"{\"configuration\":{", 400, "the body is no JSON object"},
      {"{" + Ids + "}", 400, "configuration or planned_against is missing"},
      {acceptBody(Whole, "\"planned_against\":-1," + Ids), 400,
       "planned_against is no version"},
      {acceptBody("{\"colour\":1}", "\"planned_against\":0," + Ids), 400,
       "no configuration: "},
      {acceptBody(Whole, "\"planned_against\":0"), 400,
       "operation_id must be a text of 1 to 128 bytes"},
      {acceptBody(Whole, "\"planned_against\":3," + Ids), 422,
       "the configuration's version must be planned_against plus 1"},
      {acceptBody(messageJson(TwoVoters), "\"planned_against\":0," + Ids), 422,
       "2 voters; expected 1, 3 or 5"},
      {acceptBody("{}", "\"planned_against\":0," + Ids), 422,
       "0 voters; expected 1, 3 or 5"},
      {acceptBody(messageJson(Nan), "\"planned_against\":0," + Ids), 422,
       "no answers lead to this configuration: deployment: step_skew_weight "
       "0.3 -> nan"},
      {acceptBody(messageJson(NoDeadline), "\"planned_against\":0," + Ids), 422,
       "no answers lead to this configuration: service drafting, route "
       "/v1/drafts: deadline_ms 30000 -> 0"},
      {acceptBody(messageJson(TwiceNamed), "\"planned_against\":0," + Ids), 422,
       "customers[1].name: found \\\"centros-del-valle\\\", which line "},
  };
  for (const RefusedAccept &Row : Refused) {
    const auto Result = parseAccept(Row.m_Body);
    INFO(Row.m_Error);
    REQUIRE_FALSE(Result);
    CHECK(Result.error().m_Head.m_Status == Row.m_Status);
    CHECK(Result.error().m_Body.find("{\"error\":\"" + Row.m_Error) == 0);
  }
}

TEST_CASE("replies to an acceptance") {
  schema::AcceptReply Reply;
  Reply.set_verdict(schema::AcceptReply::ACCEPTED);
  Reply.set_version(7);
  CHECK(acceptResponse(Reply).m_Head.m_Status == 200);
  CHECK(acceptResponse(Reply).m_Body ==
        "{\"verdict\":\"ACCEPTED\",\"version\":7}\n");
  Reply.set_verdict(schema::AcceptReply::CONFLICT);
  Reply.set_winner_operation_id("op-2");
  Reply.set_winner_operator_name("luz");
  CHECK(acceptResponse(Reply).m_Head.m_Status == 409);
  CHECK(acceptResponse(Reply).m_Body ==
        "{\"verdict\":\"CONFLICT\",\"version\":7,\"winner_operation_id\":\"op-"
        "2\",\"winner_operator_name\":\"luz\"}\n");
  const auto Busy = unavailableResponse("no majority", std::chrono::seconds(2));
  CHECK(Busy.m_Head.m_Status == 503);
  CHECK(findHeader(Busy.m_Head.m_Headers, "retry-after") == "2");
}

TEST_CASE("a drain names its process") {
  CHECK(parseDrain("{\"process\":\"entry-a\"}").value() == "entry-a");
  for (const char *Body : {"", "{}", "{\"process\":\"\"}", "{\"process\":3}"})
    CHECK(parseDrain(Body).error().m_Head.m_Status == 400);
}
