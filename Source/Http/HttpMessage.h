// HTTP requests and responses as plain values, independent of the library that
// reads and writes them.
#ifndef MANGOCART_HTTP_HTTPMESSAGE_H
#define MANGOCART_HTTP_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;

  bool operator==(const HttpHeader &) const = default;
};

// Value of the first header of that name; names compare without case.
std::optional<std::string_view>
findHeader(const std::vector<HttpHeader> &Headers, std::string_view Name);

struct HttpRequest {
  std::string m_Method;
  // Path and query as sent.
  std::string m_Target;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;
  std::string m_RemoteAddress;

  bool operator==(const HttpRequest &) const = default;
};

struct HttpHead {
  unsigned m_Status = 200;
  std::vector<HttpHeader> m_Headers;

  bool operator==(const HttpHead &) const = default;
};

// Whether a server can send the head unchanged in front of an answer: the
// status is one from 200 to 599, names of headers are tokens, and values have
// no control characters (RFC 9110, 5.5 and 15).
bool isSendable(const HttpHead &Head);

struct HttpResponse {
  HttpHead m_Head;
  std::string m_Body;

  bool operator==(const HttpResponse &) const = default;
};

// Which call an answer belongs to.
enum class AnswerOwner {
  ThisCall,
  OtherCall,
  // The answer doesn't tell.
  Unknown
};

// The owner of an answer that repeats the ID of its call in the named header.
AnswerOwner ownerByHeader(const HttpHead &Answer, std::string_view Name,
                          std::string_view CallId);

} // namespace mangocart

#endif
