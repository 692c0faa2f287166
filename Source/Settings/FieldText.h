// The value of a single field of a schema message as text.
#ifndef MANGOCART_SETTINGS_FIELDTEXT_H
#define MANGOCART_SETTINGS_FIELDTEXT_H

#include <string>

namespace google::protobuf {
class FieldDescriptor;
class Message;
} // namespace google::protobuf

namespace mangocart {

// The field is neither repeated nor a message. Text stands as it is, an enum by
// its name, a number in the shortest form that reads back the same.
std::string fieldText(const google::protobuf::Message &From,
                      const google::protobuf::FieldDescriptor &Field);

} // namespace mangocart

#endif
