// Every setting and every answer as the schema states it, one block each.
#ifndef MANGOCART_SETTINGS_SETTINGSREFERENCE_H
#define MANGOCART_SETTINGS_SETTINGSREFERENCE_H

#include <string>

namespace mangocart {

// For each field a line "MESSAGE/KEY" and the lines of the table that its page
// must hold: summary, type, required, default, range, unit.
std::string settingsReference();

} // namespace mangocart

#endif
