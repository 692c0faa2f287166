// The reference by reflection over the messages that are written in TOML.
#include "Settings/SettingsReference.h"

#include "Options.pb.h"
#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/MessageReader.h"

#include <fmt/format.h>

#include <set>

namespace mangocart {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

std::string typeText(const FieldDescriptor &Field) {
  if (Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
    return fmt::format("list of {}", Field.message_type()->name());
  return expectedValue(Field);
}

std::string orNone(const std::string &Text) {
  return Text.empty() ? "none" : Text;
}

std::string rangeText(const schema::FieldRule &Rule) {
  if (!Rule.bounded())
    return "none";
  return fmt::format("{:.0f} to {:.0f}", Rule.min(), Rule.max());
}

std::string row(const std::string &Fact, const std::string &Value) {
  return fmt::format("| {} | {} |\n", Fact, Value);
}

std::string fieldReference(const FieldDescriptor &Field) {
  const schema::FieldRule &Rule = ruleOf(Field);
  return fmt::format("{}/{}\n", Field.containing_type()->name(), Field.name()) +
         row("summary", Rule.summary()) + row("type", typeText(Field)) +
         row("required", Rule.required() ? "yes" : "no") +
         row("default", orNone(Rule.default_value())) +
         row("range", rangeText(Rule)) + row("unit", orNone(Rule.unit())) +
         (Rule.replaced_by().empty()
              ? ""
              : row("deprecated for", Rule.replaced_by()));
}

// The message and, after it, those that it holds.
void describe(const Descriptor &Type, std::set<std::string> &Done,
              std::string &Text) {
  if (!Done.insert(Type.name()).second)
    return;
  for (int I = 0; I < Type.field_count(); ++I)
    Text += fieldReference(*Type.field(I));
  for (int I = 0; I < Type.field_count(); ++I)
    if (Type.field(I)->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
      describe(*Type.field(I)->message_type(), Done, Text);
}

} // namespace

std::string settingsReference(const std::vector<const Descriptor *> &Types) {
  std::string Text;
  std::set<std::string> Done;
  for (const Descriptor *Type : Types)
    describe(*Type, Done, Text);
  return Text;
}

std::string settingsReference() {
  return settingsReference({schema::EntrySettings::descriptor(),
                            schema::AgentSettings::descriptor(),
                            schema::GatewaySettings::descriptor(),
                            schema::VoterSettings::descriptor(),
                            schema::BalancerSettings::descriptor(),
                            schema::Questionnaire::descriptor()});
}

} // namespace mangocart
