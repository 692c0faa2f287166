// JSON as indented lines for reading.
#ifndef MANGOCART_COMMAND_JSONTEXT_H
#define MANGOCART_COMMAND_JSONTEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

// "key: value" lines; lists of objects as one line an object. Absent when the
// text is no JSON.
std::optional<std::string> jsonToText(std::string_view Json);

} // namespace mangocart

#endif
