// Message to TOML by reflection: plain keys first, then lists of tables.
#include "Settings/MessageWriter.h"

#include "Options.pb.h"
#include "Settings/FieldText.h"
#include "Settings/MessageReader.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <toml++/toml.h>

#include <sstream>
#include <vector>

namespace mangocart {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::string textValue(const std::string &Text) {
  std::ostringstream Stream;
  Stream << toml::value<std::string>(Text);
  return Stream.str();
}

// TOML takes a number without point and exponent for a whole one.
std::string realValue(std::string Number) {
  if (Number.find_first_not_of("-0123456789") == std::string::npos)
    Number += ".0";
  return Number;
}

std::string scalarValue(const Message &From, const FieldDescriptor &Field) {
  std::string Value = fieldText(From, Field);
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
  case FieldDescriptor::CPPTYPE_ENUM:
    return textValue(Value);
  case FieldDescriptor::CPPTYPE_FLOAT:
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return realValue(std::move(Value));
  default:
    return Value;
  }
}

std::vector<const FieldDescriptor *> setFields(const Message &From) {
  std::vector<const FieldDescriptor *> Fields;
  From.GetReflection()->ListFields(From, &Fields);
  return Fields;
}

std::string comment(const FieldDescriptor &Field) {
  const std::string &Summary = ruleOf(Field).summary();
  return Summary.empty() ? std::string() : "# " + Summary + "\n";
}

void writeScalars(const Message &From, bool WithComments, std::string &Text) {
  for (const FieldDescriptor *Field : setFields(From)) {
    if (Field->is_repeated())
      continue;
    if (WithComments)
      Text += comment(*Field);
    Text += fmt::format("{} = {}\n", Field->name(), scalarValue(From, *Field));
  }
}

void writeLists(const Message &From, const std::string &Path,
                std::string &Text) {
  const Reflection &Access = *From.GetReflection();
  for (const FieldDescriptor *Field : setFields(From)) {
    if (!Field->is_repeated())
      continue;
    const std::string Key =
        Path.empty() ? Field->name() : Path + "." + Field->name();
    for (int I = 0; I < Access.FieldSize(From, Field); ++I) {
      const Message &Element = Access.GetRepeatedMessage(From, Field, I);
      Text += fmt::format("\n[[{}]]\n", Key);
      writeScalars(Element, false, Text);
      writeLists(Element, Key, Text);
    }
  }
}

} // namespace

std::string writeToml(const Message &From) {
  std::string Text;
  writeScalars(From, true, Text);
  writeLists(From, "", Text);
  return Text;
}

} // namespace mangocart
