// Request parsing by Beast's basic_parser, whose callbacks fill the plain
// request without a copy in between.
#include "Http/HttpRequestParser.h"

#include <boost/beast/core/string.hpp>

namespace mangocart {

namespace http = boost::beast::http;

namespace {

// Memory set aside at once for a body whose length was announced. More comes
// only with the bytes themselves.
constexpr std::size_t MaxBodyReserve = std::size_t{64} * 1024;

constexpr int Version10 = 10;
constexpr int Version11 = 11;

// Whether the first line names a version in its proper form, so that the
// version itself must be what is wrong.
bool namesVersion(std::string_view Bytes) {
  constexpr std::string_view Before(" HTTP/");
  const std::string_view Line = Bytes.substr(0, Bytes.find("\r\n"));
  const std::size_t At = Line.rfind(Before);
  if (At == std::string_view::npos)
    return false;
  const std::string_view Version = Line.substr(At + Before.size());
  const auto IsDigit = [](char C) { return C >= '0' && C <= '9'; };
  return Version.size() == 3 && IsDigit(Version[0]) && Version[1] == '.' &&
         IsDigit(Version[2]);
}

std::string_view toStd(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

HttpRequestParser::HttpRequestParser(const HttpLimits &Limits)
    : m_Limits(Limits) {
  eager(true);
  header_limit(static_cast<std::uint32_t>(Limits.m_MaxHeaderBytes));
  body_limit(Limits.m_MaxBodyBytes);
}

HttpRequestParser::Progress HttpRequestParser::take(std::string_view &Bytes) {
  if (!m_Started) {
    // Some clients end a body with a line break that its length doesn't count.
    const std::size_t First = Bytes.find_first_not_of("\r\n");
    Bytes.remove_prefix(std::min(First, Bytes.size()));
    if (Bytes.empty())
      return Progress::NeedMore;
    m_Started = true;
  }
  while (true) {
    ErrorCode Error;
    const std::string_view Given = Bytes;
    const std::size_t Used =
        put(boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    Bytes.remove_prefix(Used);
    if (Error && Error != http::error::need_more) {
      translate(Error, Given);
      return Progress::Refused;
    }
    if (is_done())
      return Progress::Done;
    if (!is_header_done() &&
        m_HeadBytes + Bytes.size() > m_Limits.m_MaxHeaderBytes) {
      m_Refusal = {431, "the request head is too large"};
      return Progress::Refused;
    }
    // Only a chunk's head or the trailer can be left over for this long.
    if (is_header_done() && Bytes.size() > m_Limits.m_MaxHeaderBytes) {
      m_Refusal = {400, "the chunk head or trailer is too large"};
      return Progress::Refused;
    }
    if (Error || Bytes.empty())
      return Progress::NeedMore;
  }
}

bool HttpRequestParser::takeContinueWish() {
  const bool Wish = m_WantsContinue && m_HeadDone;
  m_WantsContinue = false;
  return Wish;
}

void HttpRequestParser::refuse(unsigned Status, std::string Detail,
                               ErrorCode &Error) {
  m_Refused = true;
  m_Refusal = {Status, std::move(Detail)};
  Error = http::error::bad_value;
}

void HttpRequestParser::translate(const ErrorCode &Error,
                                  std::string_view Given) {
  if (m_Refused)
    return;
  if (Error == http::error::header_limit)
    m_Refusal = {431, "the request head is too large"};
  else if (Error == http::error::body_limit)
    m_Refusal = {413, "the request body is too large"};
  else if (Error == http::error::bad_version && namesVersion(Given))
    m_Refusal = {505, "the HTTP version is not supported"};
  else
    m_Refusal = {400, "malformed request: " + Error.message()};
}

void HttpRequestParser::on_request_impl(http::verb, StringView Method,
                                        StringView Target, int Version,
                                        ErrorCode &Error) {
  m_Version = Version;
  if (Version != Version10 && Version != Version11)
    return refuse(505, "the HTTP version is not supported", Error);
  m_HeadBytes += Method.size() + Target.size();
  m_Request.m_Method.assign(Method.data(), Method.size());
  m_Request.m_Target.assign(Target.data(), Target.size());
}

void HttpRequestParser::on_field_impl(http::field Known, StringView Name,
                                      StringView Value, ErrorCode &Error) {
  // Fields after a chunked body can't change how the request is routed.
  if (m_HeadDone)
    return;
  if (m_Request.m_Headers.size() >= m_Limits.m_MaxHeaders)
    return refuse(431, "the request has too many headers", Error);
  m_HeadBytes += Name.size() + Value.size();
  if (Known == http::field::host)
    ++m_HostCount;
  if (Known == http::field::transfer_encoding &&
      !boost::beast::iequals(Value, "chunked"))
    return refuse(501, "the transfer coding is not supported", Error);
  if (Known == http::field::expect) {
    if (!boost::beast::iequals(Value, "100-continue"))
      return refuse(417, "the expectation is not supported", Error);
    m_WantsContinue = m_Version == Version11;
  }
  m_Request.m_Headers.push_back(
      {std::string(toStd(Name)), std::string(toStd(Value))});
}

void HttpRequestParser::on_header_impl(ErrorCode &Error) {
  m_HeadDone = true;
  if (m_HostCount > 1 || (m_Version == Version11 && m_HostCount == 0))
    return refuse(400, "the request must have one Host header", Error);
  if (m_Version == Version10 && chunked())
    return refuse(400, "HTTP/1.0 has no chunked coding", Error);
}

void HttpRequestParser::on_body_init_impl(
    const boost::optional<std::uint64_t> &Length, ErrorCode &) {
  if (Length)
    m_Request.m_Body.reserve(std::min<std::uint64_t>(*Length, MaxBodyReserve));
}

std::size_t HttpRequestParser::on_body_impl(StringView Body, ErrorCode &) {
  m_Request.m_Body.append(Body.data(), Body.size());
  return Body.size();
}

std::size_t HttpRequestParser::on_chunk_body_impl(std::uint64_t,
                                                  StringView Body,
                                                  ErrorCode &Error) {
  return on_body_impl(Body, Error);
}

} // namespace mangocart
