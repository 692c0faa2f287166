// Reads a TOML text into any message of the schema. The rules on the message's
// fields decide what is checked; nothing here knows a particular setting.
#ifndef MANGOCART_SETTINGS_MESSAGEREADER_H
#define MANGOCART_SETTINGS_MESSAGEREADER_H

#include "Settings/SettingsError.h"

#include <string>
#include <string_view>

namespace google::protobuf {
class Descriptor;
class FieldDescriptor;
class Message;
} // namespace google::protobuf

namespace mangocart {

namespace schema {
class FieldRule;
} // namespace schema

// What was found while reading; the message is complete only without errors.
struct ReadFindings {
  SettingsErrors m_Errors;
  SettingsWarnings m_Warnings;
  KeyLines m_Lines;
};

// Fills the message from the text. File stands in errors only. All errors are
// collected, except that a text which isn't TOML gives just that one.
ReadFindings readMessage(const std::string &File, std::string_view Text,
                         google::protobuf::Message &Into);

// How many of the text's top-level keys the message type has; 0 when the text
// isn't TOML.
std::size_t countKnownKeys(std::string_view Text,
                           const google::protobuf::Descriptor &Type);

// The rule on a field; an empty one when the schema states none.
const schema::FieldRule &ruleOf(const google::protobuf::FieldDescriptor &Field);

// What a value of the field must be, for errors and reference pages, for
// example "a whole number from 1 to 64" or "text: an absolute path ...".
std::string expectedValue(const google::protobuf::FieldDescriptor &Field);

} // namespace mangocart

#endif
