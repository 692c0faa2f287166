// Boost.JSON for the outer shapes, protobuf's own mapping for messages.
#include "Planning/PlanJson.h"

#include "Planning/Plan.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <google/protobuf/util/json_util.h>

namespace mangocart {

namespace {

namespace json = boost::json;

json::array changesJson(const std::vector<ConfigurationChange> &Changes) {
  json::array List;
  for (const ConfigurationChange &Change : Changes)
    List.push_back(json::object{{"kind", toString(Change.m_Kind)},
                                {"subject", Change.m_Subject},
                                {"field", Change.m_Field},
                                {"before", Change.m_Before},
                                {"after", Change.m_After},
                                {"text", toString(Change)}});
  return List;
}

json::array warningsJson(const SettingsWarnings &Warnings) {
  json::array List;
  for (const SettingsWarning &Warning : Warnings)
    List.push_back(json::object{{"file", Warning.m_File},
                                {"line", Warning.m_Line},
                                {"key", Warning.m_Key},
                                {"text", toString(Warning)}});
  return List;
}

json::object errorJson(const SettingsError &Error) {
  return {{"file", Error.m_File},         {"line", Error.m_Line},
          {"key", Error.m_Key},           {"found", Error.m_Found},
          {"expected", Error.m_Expected}, {"remedy", Error.m_Remedy},
          {"text", toString(Error)}};
}

} // namespace

std::string messageJson(const google::protobuf::Message &Message) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.always_print_primitive_fields = true;
  Options.preserve_proto_field_names = true;
  std::string Text;
  // Fails only on messages that hold Any, which the schema doesn't use.
  (void)google::protobuf::util::MessageToJsonString(Message, &Text, Options);
  return Text;
}

Result<schema::Configuration, JsonError>
parseConfiguration(std::string_view Text) {
  schema::Configuration Read;
  const auto Status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(Text.data(), Text.size()), &Read);
  if (!Status.ok())
    return JsonError{"no configuration: " + std::string(Status.message())};
  return Read;
}

std::string planJson(const Plan &Made) {
  return json::serialize(json::object{
      {"configuration", json::parse(messageJson(Made.m_Configuration))},
      {"planned_against", Made.m_PlannedAgainst},
      {"changes", changesJson(Made.m_Changes)},
      {"warnings", warningsJson(Made.m_Warnings)}});
}

Result<Plan, JsonError> parsePlan(std::string_view Text) {
  json::error_code Failed;
  const json::value Body = json::parse(json::string_view(Text), Failed);
  if (Failed || !Body.is_object())
    return JsonError{"no JSON object: " + Failed.message()};
  const json::value *Configuration =
      Body.as_object().if_contains("configuration");
  const json::value *Against = Body.as_object().if_contains("planned_against");
  if (Configuration == nullptr || Against == nullptr)
    return JsonError{"configuration or planned_against is missing"};
  const auto Version = Against->to_number<std::uint64_t>(Failed);
  if (Failed)
    return JsonError{"planned_against is no version"};
  auto Read = parseConfiguration(json::serialize(*Configuration));
  if (!Read)
    return Read.error();
  Plan Made;
  Made.m_Configuration = std::move(Read).value();
  Made.m_PlannedAgainst = Version;
  return Made;
}

std::string findingsJson(const SettingsErrors &Errors,
                         const SettingsWarnings &Warnings) {
  json::array List;
  for (const SettingsError &Error : Errors)
    List.push_back(errorJson(Error));
  return json::serialize(json::object{{"errors", std::move(List)},
                                      {"warnings", warningsJson(Warnings)}});
}

} // namespace mangocart
