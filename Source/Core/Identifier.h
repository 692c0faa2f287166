// Checks of names that other programs give. They are passed on between the
// processes in messages whose texts must be UTF-8: a message with any other
// text can't be parsed as a whole.
#ifndef MANGOCART_CORE_IDENTIFIER_H
#define MANGOCART_CORE_IDENTIFIER_H

#include <cstddef>
#include <string_view>

namespace mangocart {

// Longest name of a backend server, service or zone, in bytes.
inline constexpr std::size_t MaxNameBytes = 256;

// Whether the text consists of 1 to MaxBytes visible ASCII characters.
bool isIdentifier(std::string_view Text, std::size_t MaxBytes = MaxNameBytes);

} // namespace mangocart

#endif
