// Runs the HTTP client until the call completes.
#include "Command/AdminClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace mangocart {

namespace {

HttpRequest httpRequest(const AdminRequest &From) {
  HttpRequest Request;
  Request.m_Method = From.m_Method;
  Request.m_Target = From.m_Path;
  Request.m_Body = From.m_Body;
  if (!From.m_ContentType.empty())
    Request.m_Headers.push_back({"Content-Type", From.m_ContentType});
  if (!From.m_Token.empty())
    Request.m_Headers.push_back({"Authorization", "Bearer " + From.m_Token});
  return Request;
}

std::string_view describe(HttpErrorCode Code) {
  switch (Code) {
  case HttpErrorCode::ConnectFailed:
    return "cannot connect";
  case HttpErrorCode::TimedOut:
    return "timed out waiting for the response";
  case HttpErrorCode::Malformed:
    return "the response is not valid HTTP";
  case HttpErrorCode::TooLarge:
    return "the response is too large";
  default:
    return "the connection was lost";
  }
}

AdminError adminError(const HttpError &From) {
  std::string Detail(describe(From.m_Code));
  if (!From.m_Detail.empty())
    Detail += " (" + From.m_Detail + ")";
  return {std::move(Detail), From.m_NothingSent};
}

} // namespace

AdminResult callAdmin(const AdminRequest &Request) {
  boost::asio::io_context Context;
  HttpClient Client(Context);
  HttpResponse Response;
  std::optional<AdminError> Failed;
  bool Completed = false;
  std::shared_ptr<HttpCall> Call;
  const auto Abort = [&](AdminError Error) {
    Failed = std::move(Error);
    Completed = true;
  };
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&](HttpHead Head) { Response.m_Head = std::move(Head); };
  Handlers.m_OnBody = [&](std::string_view Chunk) {
    if (Response.m_Body.size() + Chunk.size() > MaxAdminResponseBytes)
      return Abort({"the response is too large", false});
    Response.m_Body += Chunk;
  };
  Handlers.m_OnEnd = [&] { Completed = true; };
  Handlers.m_OnError = [&](const HttpError &Error) {
    Abort(adminError(Error));
  };
  Call = Client.send(Request.m_Target, httpRequest(Request), Request.m_Deadline,
                     std::move(Handlers));
  while (!Completed && Context.run_one() != 0)
    ;
  if (Failed || !Completed) {
    Call->cancel();
    return Failed.value_or(AdminError{"the connection was lost", false});
  }
  return Response;
}

std::optional<HttpTarget> parseTarget(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view PortText = Text.substr(Colon + 1);
  const bool Bracketed = Host.starts_with('[') && Host.ends_with(']');
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Failed;
  const auto Address = boost::asio::ip::make_address(Host, Failed);
  if (Failed || Address.is_v6() != Bracketed)
    return std::nullopt;
  HttpTarget Target{Address.to_string(), 0};
  const char *const End = PortText.data() + PortText.size();
  const auto [Rest, Error] =
      std::from_chars(PortText.data(), End, Target.m_Port);
  if (Error != std::errc() || Rest != End || Target.m_Port == 0)
    return std::nullopt;
  return Target;
}

} // namespace mangocart
