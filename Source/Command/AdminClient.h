// Blocking HTTP call to the administration API.
#ifndef MANGOCART_COMMAND_ADMINCLIENT_H
#define MANGOCART_COMMAND_ADMINCLIENT_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"
#include "Http/HttpClient.h"
#include "Http/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

struct AdminRequest {
  HttpTarget m_Target;
  std::string m_Method = "GET";
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  // Empty: no Authorization header.
  std::string m_Token;
  Duration m_Deadline = std::chrono::seconds(10);
};

struct AdminError {
  std::string m_Detail;
  // The request cannot have reached the server.
  bool m_NothingSent = false;

  bool operator==(const AdminError &) const = default;
};

using AdminResult = Result<HttpResponse, AdminError>;
using AdminCall = std::function<AdminResult(const AdminRequest &)>;

// Sends the request once, without retries, and blocks until it completes. Uses
// its own io_context. A response larger than MaxAdminResponseBytes is an error.
AdminResult callAdmin(const AdminRequest &Request);

constexpr std::size_t MaxAdminResponseBytes = std::size_t{64} << 20;

// Parses "127.0.1.1:8081" or "[::1]:8081"; returns nullopt for anything else.
std::optional<HttpTarget> parseTarget(std::string_view Text);

} // namespace mangocart

#endif
