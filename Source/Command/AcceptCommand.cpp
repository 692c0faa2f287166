// mangocart accept: puts a planned configuration into force, once.
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
  if (Values.given("operator"))
    return Values.text("operator");
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

// A member of the answer as text; "?" when the answer hasn't got it.
std::string member(const json::value &Answer, std::string_view Name) {
  const json::value *Found =
      Answer.is_object() ? Answer.as_object().if_contains(Name) : nullptr;
  if (Found == nullptr)
    return "?";
  return Found->is_string() ? std::string(Found->as_string())
                            : json::serialize(*Found);
}

// One acceptance: the deployment takes a repetition for the same only with the
// same plan, operation id and operator.
struct Operation {
  std::string m_Id;
  std::string m_Operator;
};

std::string repetition(const Operation &Own) {
  return fmt::format("--operation-id {} --operator {}", Own.m_Id,
                     Own.m_Operator);
}

std::string verdictText(const HttpResponse &Answer, const json::value &Body,
                        const Operation &Own) {
  if (Answer.m_Head.m_Status == Ok)
    return fmt::format("accepted: version {}\n", member(Body, "version"));
  const std::string Winner = member(Body, "winner_operation_id");
  std::string Text = fmt::format(
      "conflict: version {} is in force, accepted by {} with operation id {}; "
      "nothing was changed; ",
      member(Body, "version"), member(Body, "winner_operator_name"), Winner);
  if (Winner == Own.m_Id)
    return Text + "that is this operation id, but with another plan or "
                  "operator: repeat it with those, or plan again\n";
  return Text + "plan again\n";
}

ExitCode decide(const AdminRequest &Request, const HttpResponse &Answer,
                const Operation &Own, bool Json, CommandContext &Context) {
  const unsigned Status = Answer.m_Head.m_Status;
  json::error_code Failed;
  json::value Body = json::parse(Answer.m_Body, Failed);
  if (Status != Ok && Status != Conflict)
    return report(Context, ExitCode::Failed,
                  fmt::format("{}; a repetition must use {}",
                              failureText(Request, Answer), repetition(Own)));
  const ExitCode Exit = Status == Ok ? ExitCode::Ok : ExitCode::Failed;
  if (!Json) {
    (Status == Ok ? Context.m_Out : Context.m_Err)
        << verdictText(Answer, Body, Own);
    return Exit;
  }
  if (Body.is_object())
    Body.as_object()["operation_id"] = Own.m_Id;
  Context.m_Out << json::serialize(Body) << "\n";
  return Exit;
}

ExitCode send(const Plan &Accepted, const CommandValues &Values,
              AdminRequest Request, CommandContext &Context) {
  const Operation Own{Values.given("operation-id")
                          ? Values.text("operation-id")
                          : Context.m_MakeOperationId(),
                      operatorName(Values)};
  // Printed before the call, so that it is known whatever becomes of the call.
  Context.m_Err << "operation id: " << Own.m_Id << std::endl;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/accept";
  Request.m_ContentType = "application/json";
  Request.m_Body = acceptBody(Accepted, Own.m_Id, Own.m_Operator);
  const auto Answer = Context.m_CallAdmin(Request);
  if (Answer)
    return decide(Request, Answer.value(), Own, wantsJson(Values), Context);
  std::string Text = failureText(Request, Answer.error());
  if (!Answer.error().m_NothingSent)
    Text += "; it is not known whether the configuration was accepted";
  return report(Context, ExitCode::Failed,
                fmt::format("{}; run it again with {}", Text, repetition(Own)));
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  const auto Text = readTextFile(Values.text("PLAN"));
  if (!Text) {
    Context.m_Err << toString(Text.error());
    return ExitCode::Failed;
  }
  const auto Accepted = parsePlan(Text.value());
  if (!Accepted)
    return report(Context, ExitCode::Failed,
                  fmt::format("{}: {}; expected a file that plan wrote",
                              Values.text("PLAN"), Accepted.error().m_Detail));
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
            "File that plan wrote."},
           adminOption(true),
           tokenFileOption(),
           {OptionKind::Value,
            "operation-id",
            "ID",
            "",
            false,
            {},
            "Id of an earlier try to repeat; absent: a new one is made and "
            "printed."},
           {OptionKind::Value,
            "operator",
            "NAME",
            "",
            false,
            {},
            "Name that a conflict shows to others; absent: the login name."},
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
