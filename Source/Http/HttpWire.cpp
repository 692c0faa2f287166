// Writes heads and chunks straight into the output buffer.
#include "Http/HttpWire.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>
#include <ostream>

namespace mangocart {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr int HexBase = 16;

bool isFraming(std::string_view Name) {
  using boost::beast::iequals;
  switch (Name.size()) {
  case 10:
    return iequals(Name, "Connection") || iequals(Name, "Keep-Alive");
  case 14:
    return iequals(Name, "Content-Length");
  case 17:
    return iequals(Name, "Transfer-Encoding");
  default:
    return false;
  }
}

// A line break in a value would let it add headers of its own.
bool isSafe(const HttpHeader &Header) {
  constexpr std::string_view Breaks("\r\n\0", 3);
  return !Header.m_Name.empty() &&
         Header.m_Name.find_first_of(Breaks) == std::string::npos &&
         Header.m_Value.find_first_of(Breaks) == std::string::npos;
}

void appendNumber(std::string &Out, std::size_t Number, int Base) {
  char Digits[24];
  const auto End =
      std::to_chars(std::begin(Digits), std::end(Digits), Number, Base).ptr;
  Out.append(Digits, End);
}

void appendHeaders(std::string &Out, const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers) {
    if (isFraming(Header.m_Name) || !isSafe(Header))
      continue;
    Out.append(Header.m_Name).append(": ");
    Out.append(Header.m_Value).append(LineEnd);
  }
}

void appendContentLength(std::string &Out, std::size_t Bytes) {
  Out.append("Content-Length: ");
  appendNumber(Out, Bytes, 10);
  Out.append(LineEnd);
}

} // namespace

bool statusHasBody(unsigned Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

bool wantsClose(const std::vector<HttpHeader> &Headers) {
  const auto Value = findHeader(Headers, "Connection");
  return Value && boost::beast::iequals(*Value, "close");
}

void appendResponseHead(std::string &Out, const HttpHead &Head,
                        HttpFraming Framing, std::size_t BodyBytes,
                        bool KeepAlive) {
  const auto Reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(Head.m_Status));
  Out.append("HTTP/1.1 ");
  appendNumber(Out, Head.m_Status, 10);
  Out.append(" ").append(Reason.data(), Reason.size()).append(LineEnd);
  appendHeaders(Out, Head.m_Headers);
  if (Framing == HttpFraming::ContentLength)
    appendContentLength(Out, BodyBytes);
  else if (Framing == HttpFraming::Chunked)
    Out.append("Transfer-Encoding: chunked\r\n");
  if (!KeepAlive)
    Out.append("Connection: close\r\n");
  Out.append(LineEnd);
}

void appendRequestHead(std::string &Out, const HttpRequest &Request,
                       std::string_view Host) {
  Out.append(Request.m_Method).append(" ");
  Out.append(Request.m_Target).append(" HTTP/1.1\r\n");
  if (!findHeader(Request.m_Headers, "Host"))
    Out.append("Host: ").append(Host).append(LineEnd);
  appendHeaders(Out, Request.m_Headers);
  const bool BodyExpected = Request.m_Method == "POST" ||
                            Request.m_Method == "PUT" ||
                            Request.m_Method == "PATCH";
  if (BodyExpected || !Request.m_Body.empty())
    appendContentLength(Out, Request.m_Body.size());
  Out.append(LineEnd);
}

void appendChunk(std::string &Out, std::string_view Data) {
  if (Data.empty())
    return;
  appendNumber(Out, Data.size(), HexBase);
  Out.append(LineEnd).append(Data).append(LineEnd);
}

void appendFinalChunk(std::string &Out) { Out.append("0\r\n\r\n"); }

} // namespace mangocart
