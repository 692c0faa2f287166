// mangocart accept: submits a planned configuration for acceptance. A retry
// with the same operation id is applied only once.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Planning/Plan.h"
#include "Planning/PlanJson.h"
#include "Settings/SettingsReader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <ostream>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;

std::string operatorName(const CommandValues &Values) {
  if (Values.has("operator"))
    return Values.value("operator");
  // Read once, before any thread is started.
  const char *User = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe)
  return User == nullptr ? "unknown" : User;
}

std::string acceptBody(const Plan &Accepted, const std::string &OperationId,
                       const std::string &Operator) {
  json::object Body{
      {"configuration", json::parse(messageJson(Accepted.m_Configuration))},
      {"planned_against", Accepted.m_PlannedAgainst},
      {"operation_id", OperationId},
      {"operator", Operator}};
  return json::serialize(Body);
}

// The text of a member of the response body; "?" if it is missing.
std::string memberText(const json::value &Response, std::string_view Name) {
  const json::value *Found =
      Response.is_object() ? Response.as_object().if_contains(Name) : nullptr;
  if (Found == nullptr)
    return "?";
  return Found->is_string() ? std::string(Found->as_string())
                            : json::serialize(*Found);
}

// Identity of one acceptance. The deployment treats a retry as the same
// operation only if plan, operation id and operator are the same.
struct AcceptOperation {
  std::string m_Id;
  std::string m_Operator;
};

std::string retryOptions(const AcceptOperation &Current) {
  return fmt::format("--operation-id {} --operator {}", Current.m_Id,
                     Current.m_Operator);
}

std::string resultText(const HttpResponse &Response, const json::value &Body,
                       const AcceptOperation &Current) {
  if (Response.m_Head.m_Status == Ok)
    return fmt::format("accepted: version {}\n", memberText(Body, "version"));
  const std::string Winner = memberText(Body, "winner_operation_id");
  std::string Text = fmt::format(
      "conflict: version {} is in force, accepted by {} with operation id {}; "
      "nothing was changed; ",
      memberText(Body, "version"), memberText(Body, "winner_operator_name"),
      Winner);
  if (Winner == Current.m_Id)
    return Text + "the operation id is the same, but the plan or the operator "
                  "differs: retry with the original ones, or plan again\n";
  return Text + "plan again\n";
}

ExitCode reportResult(const AdminRequest &Request, const HttpResponse &Response,
                      const AcceptOperation &Current, bool Json,
                      CommandContext &Context) {
  const unsigned Status = Response.m_Head.m_Status;
  json::error_code Failed;
  json::value Body = json::parse(Response.m_Body, Failed);
  if (Status != Ok && Status != Conflict)
    return report(Context, ExitCode::Failed,
                  fmt::format("{}; to retry, use {}",
                              failureText(Request, Response),
                              retryOptions(Current)));
  const ExitCode Exit = Status == Ok ? ExitCode::Ok : ExitCode::Failed;
  if (!Json) {
    (Status == Ok ? Context.m_Out : Context.m_Err)
        << resultText(Response, Body, Current);
    return Exit;
  }
  if (Body.is_object())
    Body.as_object()["operation_id"] = Current.m_Id;
  Context.m_Out << json::serialize(Body) << "\n";
  return Exit;
}

ExitCode send(const Plan &Accepted, const CommandValues &Values,
              AdminRequest Request, CommandContext &Context) {
  const AcceptOperation Current{Values.has("operation-id")
                                    ? Values.value("operation-id")
                                    : Context.m_MakeOperationId(),
                                operatorName(Values)};
  // Printed before the call, so that the operator can retry with the same id
  // whatever the result of the call.
  Context.m_Err << "operation id: " << Current.m_Id << std::endl;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/accept";
  Request.m_ContentType = "application/json";
  Request.m_Body = acceptBody(Accepted, Current.m_Id, Current.m_Operator);
  const auto Response = Context.m_CallAdmin(Request);
  if (Response)
    return reportResult(Request, Response.value(), Current, wantsJson(Values),
                        Context);
  std::string Text = failureText(Request, Response.error());
  if (!Response.error().m_NothingSent)
    Text += "; it is unknown whether the configuration was accepted";
  return report(Context, ExitCode::Failed,
                fmt::format("{}; retry with {}", Text, retryOptions(Current)));
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  const auto Text = readTextFile(Values.value("PLAN"));
  if (!Text) {
    Context.m_Err << toString(Text.error());
    return ExitCode::Failed;
  }
  const auto Accepted = parsePlan(Text.value());
  if (!Accepted)
    return report(
        Context, ExitCode::Failed,
        fmt::format("{}: {}; expected a file written by 'mangocart plan'",
                    Values.value("PLAN"), Accepted.error().m_Detail));
  auto Request = adminRequest(Values, WithToken::Yes, Context);
  if (!Request)
    return Request.error();
  return send(Accepted.value(), Values, std::move(Request).value(), Context);
}

} // namespace

Command acceptCommand() {
  return {"accept",
          "Put a planned configuration into force.",
          {{OptionKind::Positional,
            "PLAN",
            "",
            "",
            true,
            {},
            "Plan file written by 'mangocart plan'."},
           adminOption(true),
           tokenFileOption(),
           {OptionKind::Value,
            "operation-id",
            "ID",
            "",
            false,
            {},
            "Id of an earlier attempt to retry; if absent, a new id is "
            "generated and printed."},
           {OptionKind::Value,
            "operator",
            "NAME",
            "",
            false,
            {},
            "Operator name shown to others on a conflict; if absent, the login "
            "name."},
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
