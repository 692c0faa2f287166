// Durations in settings that are written with a unit, for example "2.5 s".
#ifndef MANGOCART_SETTINGS_DURATIONTEXT_H
#define MANGOCART_SETTINGS_DURATIONTEXT_H

#include <optional>
#include <string_view>

namespace mangocart {

// Parses a number, which may have a fraction, followed by one of the units ms,
// s and min. Returns milliseconds; nothing if the text has another form.
std::optional<double> parseMilliseconds(std::string_view Text);

} // namespace mangocart

#endif
