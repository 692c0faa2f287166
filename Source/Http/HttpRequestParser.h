// Reads one HTTP/1.1 request into plain values as its bytes arrive, with bounds
// on the head and the body. Internal to Http/: it brings Beast with it.
#ifndef MANGOCART_HTTP_HTTPREQUESTPARSER_H
#define MANGOCART_HTTP_HTTPREQUESTPARSER_H

#include "Http/HttpMessage.h"
#include "Http/HttpServer.h"

#include <boost/beast/http/basic_parser.hpp>

namespace mangocart {

// The answer to a request that can't be taken.
struct HttpRefusal {
  unsigned m_Status = 400;
  std::string m_Detail;
};

class HttpRequestParser : private boost::beast::http::basic_parser<true> {
public:
  explicit HttpRequestParser(const HttpLimits &Limits);

  enum class Progress { NeedMore, Done, Refused };

  // Takes bytes from the front of Bytes and removes them from it. After Done
  // or Refused no more may be given.
  Progress take(std::string_view &Bytes);

  // True once the first byte of a request has been taken.
  bool started() const { return m_Started; }
  // True when the client waits for "100 Continue" before it sends the body;
  // answered once only.
  bool takeContinueWish();
  bool keepAlive() const { return keep_alive(); }
  bool isVersion10() const { return m_Version == 10; }
  HttpRequest &request() { return m_Request; }
  const HttpRefusal &refusal() const { return m_Refusal; }

private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  // What refuse() leaves in the parser's error; m_Refusal tells the reason.
  void refuse(unsigned Status, std::string Detail, ErrorCode &Error);
  void translate(const ErrorCode &Error, std::string_view Given);

  void on_request_impl(boost::beast::http::verb, StringView Method,
                       StringView Target, int Version,
                       ErrorCode &Error) override;
  void on_response_impl(int, StringView, int, ErrorCode &) override {}
  void on_field_impl(boost::beast::http::field Known, StringView Name,
                     StringView Value, ErrorCode &Error) override;
  void on_header_impl(ErrorCode &Error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &Length,
                         ErrorCode &Error) override;
  std::size_t on_body_impl(StringView Body, ErrorCode &Error) override;
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t Left, StringView Body,
                                 ErrorCode &Error) override;
  void on_finish_impl(ErrorCode &) override {}

  const HttpLimits &m_Limits;
  HttpRequest m_Request;
  HttpRefusal m_Refusal;
  std::size_t m_HeadBytes = 0;
  std::size_t m_HostCount = 0;
  int m_Version = 11;
  bool m_Started = false;
  bool m_HeadDone = false;
  bool m_WantsContinue = false;
  bool m_Refused = false;
};

} // namespace mangocart

#endif
