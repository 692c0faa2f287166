// A field's value by reflection.
#include "Settings/FieldText.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

namespace mangocart {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::string fieldText(const Message &From, const FieldDescriptor &Field) {
  const Reflection &Access = *From.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_BOOL:
    return Access.GetBool(From, &Field) ? "true" : "false";
  case FieldDescriptor::CPPTYPE_INT32:
    return std::to_string(Access.GetInt32(From, &Field));
  case FieldDescriptor::CPPTYPE_INT64:
    return std::to_string(Access.GetInt64(From, &Field));
  case FieldDescriptor::CPPTYPE_UINT32:
    return std::to_string(Access.GetUInt32(From, &Field));
  case FieldDescriptor::CPPTYPE_UINT64:
    return std::to_string(Access.GetUInt64(From, &Field));
  case FieldDescriptor::CPPTYPE_FLOAT:
    return fmt::format("{}", Access.GetFloat(From, &Field));
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return fmt::format("{}", Access.GetDouble(From, &Field));
  case FieldDescriptor::CPPTYPE_ENUM:
    return Access.GetEnum(From, &Field)->name();
  default:
    return Access.GetString(From, &Field);
  }
}

} // namespace mangocart
