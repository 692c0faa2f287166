// Every setting and every answer as the schema states it, one block each.
#ifndef MANGOCART_SETTINGS_SETTINGSREFERENCE_H
#define MANGOCART_SETTINGS_SETTINGSREFERENCE_H

#include <string>
#include <vector>

namespace google::protobuf {
class Descriptor;
} // namespace google::protobuf

namespace mangocart {

// For each field a line "MESSAGE/KEY" and the lines of the table that its page
// must hold: summary, type, required, default, range, unit and, of a deprecated
// one, its replacement.
std::string settingsReference();
// The same for these message types and those that they hold.
std::string settingsReference(
    const std::vector<const google::protobuf::Descriptor *> &Types);

} // namespace mangocart

#endif
