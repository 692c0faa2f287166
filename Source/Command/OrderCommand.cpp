// mangocart order: gives an order to a backend server.
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
constexpr unsigned OldNumber = 409;

// The entry must end before this side's deadline, or its answer is lost.
std::int64_t entryTimeoutMs(Duration Deadline) {
  constexpr Duration Margin = std::chrono::seconds(1);
  const Duration Longest = std::min<Duration>(
      std::max(Deadline - Margin, Deadline / 2), std::chrono::minutes(10));
  return std::chrono::duration_cast<std::chrono::milliseconds>(Longest).count();
}

ExitCode show(const AdminRequest &Request, const HttpResponse &Answer,
              const CommandValues &Values, CommandContext &Context) {
  const unsigned Status = Answer.m_Head.m_Status;
  const ExitCode Exit = Status == Ok ? ExitCode::Ok : ExitCode::Failed;
  json::error_code Failed;
  const json::value Body = json::parse(Answer.m_Body, Failed);
  if (Failed || !Body.is_object() || !Body.as_object().contains("verdict"))
    return report(Context, ExitCode::Failed, failureText(Request, Answer));
  if (wantsJson(Values)) {
    Context.m_Out << Answer.m_Body;
    return Exit;
  }
  const auto Member = [&Body](const char *Name) {
    const json::value *Found = Body.as_object().if_contains(Name);
    if (Found == nullptr)
      return std::string("?");
    return Found->is_string() ? std::string(Found->as_string())
                              : json::serialize(*Found);
  };
  if (Status == Ok) {
    Context.m_Out << fmt::format("carried out under number {}\n",
                                 Member("fencing_number"));
    return Exit;
  }
  std::string Text = fmt::format("{}: outcome {}, number {}", Member("verdict"),
                                 Member("outcome"), Member("fencing_number"));
  if (Status == OldNumber)
    Text += fmt::format(", a newer order came first with number {}",
                        Member("number_in_force"));
  if (!Member("detail").empty())
    Text += ": " + Member("detail");
  return report(Context, Exit, Text);
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  std::string Payload;
  if (Values.given("payload")) {
    const auto Text = readTextFile(Values.text("payload"));
    if (!Text) {
      Context.m_Err << toString(Text.error());
      return ExitCode::Failed;
    }
    Payload = Text.value();
  }
  auto Made = adminRequest(Values, WithToken::Yes, Context);
  if (!Made)
    return Made.error();
  const std::string Id = Values.given("order-id") ? Values.text("order-id")
                                                  : Context.m_MakeOperationId();
  // Printed before the call, so that it is known whatever becomes of the call.
  Context.m_Err << "order id: " << Id << std::endl;
  AdminRequest &Request = Made.value();
  Request.m_Method = "POST";
  Request.m_Path = "/v1/order";
  Request.m_ContentType = "application/json";
  Request.m_Body = json::serialize(
      json::object{{"backend_server", Values.text("BACKEND_SERVER")},
                   {"kind", Values.text("kind")},
                   {"order_id", Id},
                   {"payload", Payload},
                   {"timeout_ms", entryTimeoutMs(Request.m_Deadline)}});
  const auto Answer = Context.m_CallAdmin(Request);
  if (Answer)
    return show(Request, Answer.value(), Values, Context);
  std::string Text = failureText(Request, Answer.error());
  if (!Answer.error().m_NothingSent)
    Text += "; it is not known whether the order was carried out";
  return report(Context, ExitCode::Failed,
                fmt::format("{}; run it again with --order-id {}", Text, Id));
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
            "What the backend server is to do."},
           {OptionKind::Value,
            "payload",
            "FILE",
            "",
            false,
            {},
            "File that is handed to the backend server as it is."},
           {OptionKind::Value,
            "order-id",
            "ID",
            "",
            false,
            {},
            "Id of an earlier try to repeat; absent: a new one is made and "
            "printed."},
           adminOption(true),
           tokenFileOption(),
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
