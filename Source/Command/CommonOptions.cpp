// Options shared by subcommands, and error texts of administration API calls.
#include "Command/CommonOptions.h"

#include "Http/BearerToken.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <charconv>
#include <ostream>

namespace mangocart {

namespace {

// Successful statuses: from FirstSuccess up to, but not including, SuccessEnd.
constexpr unsigned FirstSuccess = 200;
constexpr unsigned SuccessEnd = 300;
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

// The "error" member of a JSON body, or the whole body if there is none.
std::string errorText(const HttpResponse &Response) {
  boost::json::error_code Failed;
  const auto Body = boost::json::parse(Response.m_Body, Failed);
  if (!Failed && Body.is_object())
    if (const auto *Error = Body.as_object().if_contains("error"))
      if (Error->is_string())
        return std::string(Error->as_string());
  return Response.m_Body;
}

} // namespace

CommandOption outputOption() {
  return {OptionKind::Value, "output",        "FORMAT", "text", false,
          {"text", "json"},  "Output format."};
}

bool wantsJson(const CommandValues &Values) {
  return Values.value("output") == "json";
}

CommandOption adminOption(bool Required) {
  return {OptionKind::Value,
          "admin",
          "HOST:PORT",
          "",
          Required,
          {},
          "IP address and administration port of any entry VM."};
}

CommandOption timeoutOption() {
  return {OptionKind::Value,
          "timeout-s",
          "SECONDS",
          "10",
          false,
          {},
          "Timeout of the response, 1 to 3600 s."};
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
  const auto Target = parseTarget(Values.value("admin"));
  if (!Target)
    return report(
        Context, ExitCode::Usage,
        fmt::format("--admin: found \"{}\"; expected an IP address and "
                    "a port, for example 127.0.1.1:8081 or "
                    "[::1]:8081",
                    Values.value("admin")));
  const auto Timeout =
      parseNumber(Values.value("timeout-s"), MaxTimeoutSeconds);
  if (!Timeout)
    return report(Context, ExitCode::Usage,
                  fmt::format("--timeout-s: found \"{}\"; expected a whole "
                              "number from 1 to {}",
                              Values.value("timeout-s"), MaxTimeoutSeconds));
  AdminRequest Request;
  Request.m_Target = *Target;
  Request.m_Deadline = std::chrono::seconds(*Timeout);
  if (Token == WithToken::No)
    return Request;
  const auto File = readTokenFile(Values.value("token-file"));
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
                        const HttpResponse &Response) {
  std::string Text =
      fmt::format("{} {}: status {}: {}", Request.m_Method, Request.m_Path,
                  Response.m_Head.m_Status, errorText(Response));
  if (Response.m_Head.m_Status == Unauthorized)
    Text += "; check --token-file";
  if (const auto RetryAfter =
          findHeader(Response.m_Head.m_Headers, "Retry-After"))
    Text += fmt::format("; retry in {} s", *RetryAfter);
  return Text;
}

std::optional<HttpResponse> callForSuccess(const AdminRequest &Request,
                                           CommandContext &Context) {
  auto Response = Context.m_CallAdmin(Request);
  if (!Response) {
    report(Context, ExitCode::Failed, failureText(Request, Response.error()));
    return std::nullopt;
  }
  const unsigned Status = Response.value().m_Head.m_Status;
  if (Status < FirstSuccess || Status >= SuccessEnd) {
    report(Context, ExitCode::Failed, failureText(Request, Response.value()));
    return std::nullopt;
  }
  return std::move(Response).value();
}

} // namespace mangocart
