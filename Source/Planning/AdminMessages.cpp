// JSON shapes of the administration API.
#include "Planning/AdminMessages.h"

#include "Configuration.pb.h"
#include "Log.pb.h"
#include "Planning/ConfigurationChecks.h"
#include "Planning/JsonBody.h"
#include "Planning/Plan.h"
#include "Planning/PlanJson.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Conflict = 409;
constexpr unsigned UnprocessableContent = 422;
constexpr unsigned ServiceUnavailable = 503;
constexpr std::size_t MaxOperationIdLength = 128;
constexpr const char *AnswersName = "answers";

} // namespace

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {{Status, {{"Content-Type", "application/json"}}},
          std::move(Body) + "\n"};
}

HttpResponse errorResponse(unsigned Status, std::string_view Text) {
  return jsonResponse(Status, json::serialize(json::object{
                                  {"error", json::string_view(Text)}}));
}

HttpResponse unavailableResponse(std::string_view Text,
                                 std::chrono::seconds RetryAfter) {
  HttpResponse Response = errorResponse(ServiceUnavailable, Text);
  Response.m_Head.m_Headers.push_back(
      {"Retry-After", std::to_string(RetryAfter.count())});
  return Response;
}

HttpResponse configurationResponse(const schema::Configuration &InForce) {
  return jsonResponse(Ok, messageJson(InForce));
}

HttpResponse planResponse(std::string_view AnswersToml,
                          const schema::Configuration &InForce) {
  const auto Made = planText(AnswersName, AnswersToml, InForce);
  if (!Made)
    return jsonResponse(UnprocessableContent, findingsJson(Made.error(), {}));
  return jsonResponse(Ok, planJson(Made.value()));
}

Result<schema::AcceptConfiguration, HttpResponse>
parseAccept(std::string_view Body) {
  const auto Parsed = parseObject(Body);
  if (!Parsed)
    return Parsed.error();
  const auto Made = parsePlan(Body);
  if (!Made)
    return errorResponse(BadRequest, Made.error().m_Detail);
  schema::AcceptConfiguration Order;
  *Order.mutable_configuration() = Made.value().m_Configuration;
  Order.set_planned_against(Made.value().m_PlannedAgainst);
  Order.set_operation_id(textMember(Parsed.value(), "operation_id"));
  Order.set_operator_name(textMember(Parsed.value(), "operator"));
  if (Order.operation_id().empty() ||
      Order.operation_id().size() > MaxOperationIdLength)
    return errorResponse(
        BadRequest, fmt::format("operation_id must be a text of 1 to {} bytes",
                                MaxOperationIdLength));
  const std::string Fault = faultOf(Order.configuration());
  if (!Fault.empty())
    return errorResponse(UnprocessableContent, Fault);
  if (Order.configuration().version() != Order.planned_against() + 1)
    return errorResponse(UnprocessableContent,
                         "the configuration's version must be "
                         "planned_against plus 1");
  return Order;
}

HttpResponse acceptResponse(const schema::AcceptReply &Reply) {
  if (Reply.verdict() == schema::AcceptReply::ACCEPTED)
    return jsonResponse(
        Ok, json::serialize(json::object{{"verdict", "ACCEPTED"},
                                         {"version", Reply.version()}}));
  return jsonResponse(
      Conflict, json::serialize(json::object{
                    {"verdict", "CONFLICT"},
                    {"version", Reply.version()},
                    {"winner_operation_id", Reply.winner_operation_id()},
                    {"winner_operator_name", Reply.winner_operator_name()}}));
}

Result<std::string, HttpResponse> parseDrain(std::string_view Body) {
  const auto Parsed = parseObject(Body);
  if (!Parsed)
    return Parsed.error();
  std::string Process = textMember(Parsed.value(), "process");
  if (Process.empty())
    return errorResponse(BadRequest, "process must name the process to drain");
  return Process;
}

} // namespace mangocart
