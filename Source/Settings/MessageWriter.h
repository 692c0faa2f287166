// Writes a message of the schema as TOML text that the reader takes back.
#ifndef MANGOCART_SETTINGS_MESSAGEWRITER_H
#define MANGOCART_SETTINGS_MESSAGEWRITER_H

#include <string>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace mangocart {

// Fields that are not set are left out. Each top-level key is preceded by its
// summary in the schema as a comment.
std::string writeToml(const google::protobuf::Message &From);

} // namespace mangocart

#endif
