// Texts of callers and backend servers in messages whose texts must be UTF-8.
#ifndef MANGOCART_CORE_PRINTABLETEXT_H
#define MANGOCART_CORE_PRINTABLETEXT_H

#include <cstddef>
#include <string>
#include <string_view>

namespace mangocart {

// Whether the text consists of printable ASCII characters, including spaces.
bool isPrintable(std::string_view Text);

// The first MaxBytes bytes, with a question mark in place of each one that
// isn't printable ASCII.
std::string toPrintable(std::string_view Text, std::size_t MaxBytes);

} // namespace mangocart

#endif
