// Formats JSON as indented lines for people.
#ifndef MANGOCART_COMMAND_JSONTEXT_H
#define MANGOCART_COMMAND_JSONTEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

// Returns "key: value" lines, with one line for each object in a list; nullopt
// if the text is not valid JSON.
std::optional<std::string> jsonToText(std::string_view Json);

} // namespace mangocart

#endif
