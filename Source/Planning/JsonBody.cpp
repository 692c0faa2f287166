// Objects and texts out of JSON bodies.
#include "Planning/JsonBody.h"

#include "Planning/AdminMessages.h"

#include <boost/json/parse.hpp>

namespace mangocart {

namespace json = boost::json;

namespace {
constexpr unsigned BadRequest = 400;
} // namespace

Result<json::object, HttpResponse> parseObject(std::string_view Body) {
  json::error_code Failed;
  json::value Parsed = json::parse(json::string_view(Body), Failed);
  if (Failed || !Parsed.is_object())
    return errorResponse(BadRequest, "the body is no JSON object");
  return std::move(Parsed.as_object());
}

std::string textMember(const json::object &Body, std::string_view Name) {
  const json::value *Member = Body.if_contains(Name);
  if (Member == nullptr || !Member->is_string())
    return {};
  return std::string(Member->as_string());
}

} // namespace mangocart
