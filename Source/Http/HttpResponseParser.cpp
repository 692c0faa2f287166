// Answer parsing by Beast's basic_parser.
#include "Http/HttpResponseParser.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <functional>

namespace mangocart {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
// A field's colon and line end.
constexpr std::size_t FieldOverheadBytes = 3;
constexpr int SwitchingProtocols = 101;
constexpr int FirstStatus = 100;
constexpr int FirstFinalStatus = 200;
constexpr int LastStatus = 599;
constexpr unsigned NoContent = 204;

bool announcesBody(const std::vector<HttpHeader> &Headers) {
  using boost::beast::iequals;
  return std::any_of(
      Headers.begin(), Headers.end(), [](const HttpHeader &Each) {
        return iequals(Each.m_Name, "Transfer-Encoding") ||
               (iequals(Each.m_Name, "Content-Length") && Each.m_Value != "0");
      });
}

// The parameter "timeout" of a Keep-Alive header.
std::optional<unsigned> timeoutOf(std::string_view KeepAlive) {
  constexpr std::string_view Parameter("timeout=");
  const std::size_t At = KeepAlive.find(Parameter);
  unsigned Seconds = 0;
  if (At == std::string_view::npos)
    return std::nullopt;
  const std::string_view Number = KeepAlive.substr(At + Parameter.size());
  const auto Parsed =
      std::from_chars(Number.data(), Number.data() + Number.size(), Seconds);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return Seconds;
}

} // namespace

HttpResponseParser::HttpResponseParser(HttpResponseSink &Sink,
                                       bool IsAnswerToHead,
                                       bool TakesEndByClosing)
    : m_Sink(Sink), m_TakesEndByClosing(TakesEndByClosing) {
  eager(true);
  header_limit(MaxHeadBytes);
  body_limit(boost::none);
  skip(IsAnswerToHead);
}

HttpResponseParser::Progress HttpResponseParser::take(std::string_view &Bytes) {
  while (!Bytes.empty()) {
    ErrorCode Error;
    m_Input = Bytes;
    const std::size_t Used =
        put(boost::asio::const_buffer(Bytes.data(), Bytes.size()), Error);
    Bytes.remove_prefix(Used);
    if (m_Stopped)
      return Progress::Stopped;
    if (Error && Error != http::error::need_more) {
      if (m_Detail.empty())
        m_Detail = "malformed answer: " + Error.message();
      return Progress::Malformed;
    }
    if (is_done())
      return Progress::Done;
    if (Bytes.size() > MaxHeadBytes) {
      m_Detail = "malformed answer: a head or chunk head is too large";
      return Progress::Malformed;
    }
    if (Error)
      break;
  }
  return Progress::NeedMore;
}

bool HttpResponseParser::endOfConnection() {
  if (!m_HeadDone || m_Interim || !need_eof())
    return false;
  ErrorCode Error;
  put_eof(Error);
  return !Error && is_done();
}

void HttpResponseParser::on_response_impl(int Code, StringView, int,
                                          ErrorCode &Error) {
  m_Head.m_Status = static_cast<unsigned>(Code);
  m_Interim = Code < FirstFinalStatus;
  if (Code < FirstStatus || Code > LastStatus) {
    m_Detail = "malformed answer: the status is not between 100 and 599";
    Error = http::error::bad_status;
  } else if (Code == SwitchingProtocols) {
    m_Detail = "malformed answer: a change of protocol was not asked for";
    Error = http::error::bad_status;
  }
}

// Beast joins the lines of a folded value, in a buffer of its own unless the
// first one is empty.
bool HttpResponseParser::isFolded(std::string_view Name,
                                  std::string_view Value) const {
  const std::less<> IsBefore;
  const char *const NameEnd = Name.data() + Name.size();
  const char *const InputEnd = m_Input.data() + m_Input.size();
  if (IsBefore(Value.data(), NameEnd) ||
      IsBefore(InputEnd, Value.data() + Value.size()))
    return true;
  return std::find(NameEnd, Value.data(), '\n') != Value.data();
}

// The parser hands over each field once it is whole, so that its own limit
// bounds a single field only.
void HttpResponseParser::on_field_impl(http::field, StringView Name,
                                       StringView Value, ErrorCode &Error) {
  m_FieldBytes += Name.size() + Value.size() + FieldOverheadBytes;
  if (m_FieldBytes > MaxHeadBytes) {
    m_Detail = "malformed answer: the head or the trailer is too large";
    Error = http::error::header_limit;
    return;
  }
  if (isFolded({Name.data(), Name.size()}, {Value.data(), Value.size()})) {
    m_Detail =
        "malformed answer: a line of the head or the trailer begins with "
        "a blank";
    Error = http::error::bad_field;
    return;
  }
  if (!m_HeadDone)
    m_Head.m_Headers.push_back({std::string(Name.data(), Name.size()),
                                std::string(Value.data(), Value.size())});
}

void HttpResponseParser::on_header_impl(ErrorCode &Error) {
  m_HeadDone = true;
  m_FieldBytes = 0;
  if (m_Interim) {
    if (announcesBody(m_Head.m_Headers)) {
      m_Detail = "malformed answer: an interim answer has no body";
      Error = http::error::bad_content_length;
    }
    return;
  }
  m_HasUnreadBody =
      m_Head.m_Status == NoContent && announcesBody(m_Head.m_Headers);
  if (need_eof() && !m_TakesEndByClosing) {
    m_Detail = "malformed answer: neither Content-Length nor chunked coding";
    Error = http::error::bad_content_length;
    return;
  }
  if (const auto KeepAlive = findHeader(m_Head.m_Headers, "Keep-Alive"))
    m_KeepSeconds = timeoutOf(*KeepAlive);
  const AnswerOwner Owner = m_Sink.ownerOf(m_Head);
  if (Owner == AnswerOwner::Unknown) {
    m_Detail = "the answer names no request, and may be one to another request "
               "on the connection";
    Error = http::error::bad_value;
    return;
  }
  m_Foreign = Owner == AnswerOwner::OtherCall;
  if (m_Foreign)
    return;
  m_Stopped = !m_Sink.takeHead(std::move(m_Head));
  if (m_Stopped)
    Error = http::error::end_of_stream;
}

std::size_t HttpResponseParser::on_body_impl(StringView Body,
                                             ErrorCode &Error) {
  if (m_Foreign)
    return Body.size();
  m_Stopped = !m_Sink.takeBody({Body.data(), Body.size()});
  if (m_Stopped)
    Error = http::error::end_of_stream;
  return Body.size();
}

std::size_t HttpResponseParser::on_chunk_body_impl(std::uint64_t,
                                                   StringView Body,
                                                   ErrorCode &Error) {
  return Body.empty() ? 0 : on_body_impl(Body, Error);
}

} // namespace mangocart
