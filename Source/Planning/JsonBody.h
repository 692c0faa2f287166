// Reads the JSON bodies of the administration API.
#ifndef MANGOCART_PLANNING_JSONBODY_H
#define MANGOCART_PLANNING_JSONBODY_H

#include "Core/Result.h"
#include "Http/HttpMessage.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace mangocart {

// The body's object, or the answer to a body that holds none.
Result<boost::json::object, HttpResponse> parseObject(std::string_view Body);

// Text of a member; empty when it is absent or no text.
std::string textMember(const boost::json::object &Body, std::string_view Name);

} // namespace mangocart

#endif
