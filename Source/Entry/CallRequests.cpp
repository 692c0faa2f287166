#include "Entry/CallRequests.h"

#include "Core/Hash.h"
#include "Entry/LocalReply.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace mangocart {

namespace {

// Number of leading bytes covered by the prefix hash.
constexpr std::size_t PrefixBytes = 256;
// Typical token length in prompts.
constexpr std::size_t BytesPerToken = 4;

// Number of generated tokens requested; 0 if not specified.
std::uint64_t requestedTokens(const HttpRequest &Request) {
  boost::system::error_code Error;
  const boost::json::value Body = boost::json::parse(Request.m_Body, Error);
  if (Error || !Body.is_object())
    return 0;
  const boost::json::value *Tokens = Body.as_object().if_contains("max_tokens");
  return Tokens && Tokens->is_int64() && Tokens->as_int64() > 0
             ? static_cast<std::uint64_t>(Tokens->as_int64())
             : 0;
}

constexpr std::array<std::string_view, 9> HopByHopHeaders = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate", "TE",    "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",     "Expect"};

bool isHopByHop(std::string_view Name) {
  return std::any_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [&](std::string_view Each) { return boost::beast::iequals(Each, Name); });
}

} // namespace

schema::CallRequest toCallRequest(const HttpRequest &Request,
                                  std::string_view RequestId,
                                  std::string_view Service) {
  schema::CallRequest Call;
  Call.set_request_id(std::string(RequestId));
  Call.set_service(std::string(Service));
  Call.set_method(Request.m_Method);
  Call.set_target(Request.m_Target);
  Call.set_body(Request.m_Body);
  for (const HttpHeader &Header : Request.m_Headers) {
    const bool Replaced = boost::beast::iequals(Header.m_Name, RequestHeader) ||
                          boost::beast::iequals(Header.m_Name, "Host");
    if (Replaced || isHopByHop(Header.m_Name))
      continue;
    schema::Header *Copy = Call.add_headers();
    Copy->set_name(Header.m_Name);
    Copy->set_value(Header.m_Value);
  }
  if (const auto Customer = findHeader(Request.m_Headers, CustomerHeader))
    Call.set_customer(std::string(*Customer));
  return Call;
}

HttpHead toHttpHead(const schema::CallHead &Head, std::string_view RequestId) {
  HttpHead Result;
  Result.m_Status = Head.status();
  for (const schema::Header &Header : Head.headers())
    if (!isHopByHop(Header.name()) &&
        !boost::beast::iequals(Header.name(), RequestHeader))
      Result.m_Headers.push_back({Header.name(), Header.value()});
  Result.m_Headers.push_back(
      {std::string(RequestHeader), std::string(RequestId)});
  Result.m_Headers.push_back({std::string(OutcomeHeader), "ran"});
  return Result;
}

std::uint64_t requestDigest(const HttpRequest &Request) {
  const std::uint64_t Method = hash64(Request.m_Method);
  return hash64(Request.m_Body, hash64(Request.m_Target, Method));
}

CallSize estimateSize(const HttpRequest &Request) {
  CallSize Size;
  if (Request.m_Body.empty())
    return Size;
  Size.m_PrefixHash =
      hash64(std::string_view(Request.m_Body).substr(0, PrefixBytes));
  Size.m_PromptTokens = Request.m_Body.size() / BytesPerToken;
  Size.m_Tokens = std::max<std::uint64_t>(1, Size.m_PromptTokens +
                                                 requestedTokens(Request));
  return Size;
}

} // namespace mangocart
