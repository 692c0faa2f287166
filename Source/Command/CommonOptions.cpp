// The shared options and the errors of calls to the administration API.
#include "Command/CommonOptions.h"

#include "Http/BearerToken.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <charconv>
#include <ostream>

namespace mangocart {

namespace {

// Statuses from FirstSuccess up to, not including, PastSuccess.
constexpr unsigned FirstSuccess = 200;
constexpr unsigned PastSuccess = 300;
constexpr unsigned Unauthorized = 401;
constexpr unsigned MaxTimeoutSeconds = 3600;

std::optional<unsigned> parseNumber(const std::string &Text, unsigned Max) {
  unsigned Number = 0;
  const char *const End = Text.data() + Text.size();
  const auto [Rest, Failed] = std::from_chars(Text.data(), End, Number);
  if (Failed != std::errc() || Rest != End || Number == 0 || Number > Max)
    return std::nullopt;
  return Number;
}

// The "error" member of a JSON body, else the body.
std::string errorText(const HttpResponse &Answer) {
  boost::json::error_code Failed;
  const auto Body = boost::json::parse(Answer.m_Body, Failed);
  if (!Failed && Body.is_object())
    if (const auto *Error = Body.as_object().if_contains("error"))
      if (Error->is_string())
        return std::string(Error->as_string());
  return Answer.m_Body;
}

} // namespace

CommandOption outputOption() {
  return {
      OptionKind::Value,    "output", "FORMAT", "text", false, {"text", "json"},
      "Form of the output."};
}

bool wantsJson(const CommandValues &Values) {
  return Values.text("output") == "json";
}

CommandOption adminOption(bool Required) {
  return {OptionKind::Value,
          "admin",
          "HOST:PORT",
          "",
          Required,
          {},
          "IP number and administration port of any entry VM."};
}

CommandOption timeoutOption() {
  return {OptionKind::Value,
          "timeout-s",
          "SECONDS",
          "10",
          false,
          {},
          "Longest time for the answer, 1 to 3600 s."};
}

CommandOption tokenFileOption() {
  return {OptionKind::Value,
          "token-file",
          "FILE",
          "",
          true,
          {},
          "File with the bearer token of the administration API."};
}

ExitCode report(CommandContext &Context, ExitCode Exit,
                const std::string &Text) {
  Context.m_Err << "mangocart: " << Text << "\n";
  return Exit;
}

Result<AdminRequest, ExitCode> adminRequest(const CommandValues &Values,
                                            WithToken Token,
                                            CommandContext &Context) {
  const auto Target = parseTarget(Values.text("admin"));
  if (!Target)
    return report(
        Context, ExitCode::Usage,
        fmt::format("--admin: found \"{}\"; expected an IP number and "
                    "a port, for example 127.0.1.1:8081 or "
                    "[::1]:8081",
                    Values.text("admin")));
  const auto Timeout = parseNumber(Values.text("timeout-s"), MaxTimeoutSeconds);
  if (!Timeout)
    return report(Context, ExitCode::Usage,
                  fmt::format("--timeout-s: found \"{}\"; expected a whole "
                              "number from 1 to {}",
                              Values.text("timeout-s"), MaxTimeoutSeconds));
  AdminRequest Request;
  Request.m_Target = *Target;
  Request.m_Deadline = std::chrono::seconds(*Timeout);
  if (Token == WithToken::No)
    return Request;
  const auto File = readTokenFile(Values.text("token-file"));
  if (!File)
    return report(Context, ExitCode::Failed, toString(File.error()));
  if (!File.value().m_Warning.empty())
    report(Context, ExitCode::Ok, "warning: " + File.value().m_Warning);
  Request.m_Token = File.value().m_Token;
  return Request;
}

std::string failureText(const AdminRequest &Request, const AdminError &Error) {
  return fmt::format("{} port {}: {}{}", Request.m_Target.m_Address,
                     Request.m_Target.m_Port, Error.m_Detail,
                     Error.m_NothingSent ? "; nothing was sent" : "");
}

std::string failureText(const AdminRequest &Request,
                        const HttpResponse &Answer) {
  std::string Text =
      fmt::format("{} {}: status {}: {}", Request.m_Method, Request.m_Path,
                  Answer.m_Head.m_Status, errorText(Answer));
  if (Answer.m_Head.m_Status == Unauthorized)
    Text += "; check --token-file";
  if (const auto Later = findHeader(Answer.m_Head.m_Headers, "Retry-After"))
    Text += fmt::format("; try again in {} s", *Later);
  return Text;
}

std::optional<HttpResponse> callForSuccess(const AdminRequest &Request,
                                           CommandContext &Context) {
  auto Answer = Context.m_CallAdmin(Request);
  if (!Answer) {
    report(Context, ExitCode::Failed, failureText(Request, Answer.error()));
    return std::nullopt;
  }
  const unsigned Status = Answer.value().m_Head.m_Status;
  if (Status < FirstSuccess || Status >= PastSuccess) {
    report(Context, ExitCode::Failed, failureText(Request, Answer.value()));
    return std::nullopt;
  }
  return std::move(Answer).value();
}

} // namespace mangocart
