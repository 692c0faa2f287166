// mangocart order: sends an order to a backend server.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Planning/OrderMessages.h"
#include "Settings/SettingsReader.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ostream>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned Conflict = 409;

// The timeout of the entry VM must expire before the deadline of this client,
// or its response is lost.
std::int64_t entryTimeoutMs(Duration Deadline) {
  constexpr Duration Margin = std::chrono::seconds(1);
  const Duration MaxTimeout = std::min<Duration>(
      std::max(Deadline - Margin, Deadline / 2), std::chrono::minutes(10));
  return std::chrono::duration_cast<std::chrono::milliseconds>(MaxTimeout)
      .count();
}

ExitCode reportResult(const AdminRequest &Request, const HttpResponse &Response,
                      const CommandValues &Values, CommandContext &Context) {
  const unsigned Status = Response.m_Head.m_Status;
  const ExitCode Exit = Status == Ok ? ExitCode::Ok : ExitCode::Failed;
  json::error_code Failed;
  const json::value Body = json::parse(Response.m_Body, Failed);
  if (Failed || !Body.is_object() || !Body.as_object().contains("verdict"))
    return report(Context, ExitCode::Failed, failureText(Request, Response));
  if (wantsJson(Values)) {
    Context.m_Out << Response.m_Body;
    return Exit;
  }
  const auto MemberText = [&Body](const char *Name) {
    const json::value *Found = Body.as_object().if_contains(Name);
    if (Found == nullptr)
      return std::string("?");
    return Found->is_string() ? std::string(Found->as_string())
                              : json::serialize(*Found);
  };
  if (Status == Ok) {
    Context.m_Out << fmt::format("executed with fencing number {}\n",
                                 MemberText("fencing_number"));
    return Exit;
  }
  std::string Text =
      fmt::format("{}: outcome {}, number {}", MemberText("verdict"),
                  MemberText("outcome"), MemberText("fencing_number"));
  if (Status == Conflict)
    Text += fmt::format(", superseded by a newer order with number {}",
                        MemberText("number_in_force"));
  if (!MemberText("detail").empty())
    Text += ": " + MemberText("detail");
  return report(Context, Exit, Text);
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  std::string Payload;
  if (Values.has("payload")) {
    const auto Text = readTextFile(Values.value("payload"));
    if (!Text) {
      Context.m_Err << toString(Text.error());
      return ExitCode::Failed;
    }
    Payload = Text.value();
  }
  auto RequestOrExit = adminRequest(Values, WithToken::Yes, Context);
  if (!RequestOrExit)
    return RequestOrExit.error();
  const std::string Id = Values.has("order-id") ? Values.value("order-id")
                                                : Context.m_MakeOperationId();
  // Printed before the call, so that the operator can retry with the same id
  // whatever the result of the call.
  Context.m_Err << "order id: " << Id << std::endl;
  AdminRequest &Request = RequestOrExit.value();
  Request.m_Method = "POST";
  Request.m_Path = "/v1/order";
  Request.m_ContentType = "application/json";
  Request.m_Body = json::serialize(
      json::object{{"backend_server", Values.value("BACKEND_SERVER")},
                   {"kind", Values.value("kind")},
                   {"order_id", Id},
                   {"payload", Payload},
                   {"timeout_ms", entryTimeoutMs(Request.m_Deadline)}});
  const auto Response = Context.m_CallAdmin(Request);
  if (Response)
    return reportResult(Request, Response.value(), Values, Context);
  std::string Text = failureText(Request, Response.error());
  if (!Response.error().m_NothingSent)
    Text += "; it is unknown whether the order was executed";
  return report(Context, ExitCode::Failed,
                fmt::format("{}; retry with --order-id {}", Text, Id));
}

} // namespace

Command orderCommand() {
  return {"order",
          "Give an order to a backend server, under a new fencing number.",
          {{OptionKind::Positional,
            "BACKEND_SERVER",
            "",
            "",
            true,
            {},
            "Name of the backend server."},
           {OptionKind::Value, "kind", "KIND", "", true, orderKindNames(),
            "Kind of the order."},
           {OptionKind::Value,
            "payload",
            "FILE",
            "",
            false,
            {},
            "File that is passed to the backend server unchanged."},
           {OptionKind::Value,
            "order-id",
            "ID",
            "",
            false,
            {},
            "Id of an earlier attempt to retry; if absent, a new id is "
            "generated and printed."},
           adminOption(true),
           tokenFileOption(),
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
