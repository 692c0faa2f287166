// JSON shapes of orders.
#include "Planning/OrderMessages.h"

#include "Planning/AdminMessages.h"
#include "Planning/JsonBody.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Conflict = 409;
constexpr unsigned UnprocessableContent = 422;
constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr std::size_t MaxOrderIdLength = 128;
constexpr std::size_t MaxPayloadBytes = std::size_t{512} * 1024;
constexpr std::int64_t MinTimeoutMilliseconds = 100;
constexpr std::int64_t MaxTimeoutMilliseconds = 600'000;
constexpr std::int64_t DefaultTimeoutMilliseconds = 9'000;

// Schema words in the form of the API: SWITCH_EXPERT_MAP, switch-expert-map.
std::string dashed(std::string Word) {
  for (char &Letter : Word)
    Letter = Letter == '_' ? '-'
                           : static_cast<char>(std::tolower(
                                 static_cast<unsigned char>(Letter)));
  return Word;
}

// Header values travel as they are, so nothing that could end one.
bool isPlain(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return std::isgraph(Letter) != 0;
  });
}

std::string faultOf(const schema::Order &Order) {
  if (Order.backend_server().empty())
    return "backend_server must name the backend server";
  if (Order.kind() == schema::Order::KIND_UNSPECIFIED)
    return fmt::format("kind must be one of {}",
                       fmt::join(orderKindNames(), ", "));
  if (Order.order_id().empty() || Order.order_id().size() > MaxOrderIdLength ||
      !isPlain(Order.order_id()))
    return fmt::format("order_id must be 1 to {} printable characters without "
                       "blanks",
                       MaxOrderIdLength);
  if (Order.payload().size() > MaxPayloadBytes)
    return fmt::format("payload must be at most {} bytes", MaxPayloadBytes);
  return {};
}

unsigned statusOf(schema::OrderAnswer::Verdict Verdict) {
  switch (Verdict) {
  case schema::OrderAnswer::CARRIED_OUT:
    return Ok;
  case schema::OrderAnswer::OLD_NUMBER:
    return Conflict;
  case schema::OrderAnswer::REFUSED:
    return BadGateway;
  case schema::OrderAnswer::WRONG_ORDER:
    return UnprocessableContent;
  default:
    return ServiceUnavailable;
  }
}

} // namespace

std::string orderKindName(schema::Order::Kind Kind) {
  return dashed(schema::Order::Kind_Name(Kind));
}

std::vector<std::string> orderKindNames() {
  std::vector<std::string> Names;
  for (int I = schema::Order::KIND_UNSPECIFIED + 1;
       I < schema::Order::Kind_ARRAYSIZE; ++I)
    Names.push_back(orderKindName(static_cast<schema::Order::Kind>(I)));
  return Names;
}

schema::Order::Kind orderKind(std::string_view Name) {
  for (int I = schema::Order::KIND_UNSPECIFIED + 1;
       I < schema::Order::Kind_ARRAYSIZE; ++I)
    if (orderKindName(static_cast<schema::Order::Kind>(I)) == Name)
      return static_cast<schema::Order::Kind>(I);
  return schema::Order::KIND_UNSPECIFIED;
}

Result<OrderRequest, HttpResponse> parseOrder(std::string_view Body) {
  const auto Parsed = parseObject(Body);
  if (!Parsed)
    return Parsed.error();
  const json::object &Given = Parsed.value();
  OrderRequest Request;
  schema::Order &Order = Request.m_Order;
  Order.set_backend_server(textMember(Given, "backend_server"));
  Order.set_kind(orderKind(textMember(Given, "kind")));
  Order.set_order_id(textMember(Given, "order_id"));
  Order.set_payload(textMember(Given, "payload"));
  std::int64_t Milliseconds = DefaultTimeoutMilliseconds;
  if (const json::value *Timeout = Given.if_contains("timeout_ms"))
    Milliseconds = Timeout->is_int64() ? Timeout->as_int64() : 0;
  std::string Fault = faultOf(Order);
  if (Fault.empty() && (Milliseconds < MinTimeoutMilliseconds ||
                        Milliseconds > MaxTimeoutMilliseconds))
    Fault = fmt::format("timeout_ms must be {} to {}", MinTimeoutMilliseconds,
                        MaxTimeoutMilliseconds);
  if (!Fault.empty())
    return errorResponse(BadRequest, Fault);
  Request.m_Longest = std::chrono::milliseconds(Milliseconds);
  return Request;
}

HttpResponse orderResponse(const std::string &OrderId, const OrderEnd &End) {
  const schema::OrderAnswer &Answer = End.m_Answer;
  const json::object Body{
      {"verdict", dashed(schema::OrderAnswer::Verdict_Name(Answer.verdict()))},
      {"outcome", dashed(schema::Outcome_Name(End.m_Outcome))},
      {"order_id", OrderId},
      {"fencing_number", End.m_FencingNumber},
      {"number_in_force", Answer.number_in_force()},
      {"backend_status", Answer.backend_status()},
      {"detail", Answer.detail()}};
  HttpResponse Response =
      jsonResponse(statusOf(Answer.verdict()), json::serialize(Body));
  if (Response.m_Head.m_Status == ServiceUnavailable)
    Response.m_Head.m_Headers.push_back({"Retry-After", "1"});
  return Response;
}

} // namespace mangocart
