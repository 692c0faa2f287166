// JSON forms of configurations, plans, errors and warnings. A plan file and the
// administration API's answer to a plan are the same text.
#ifndef MANGOCART_PLANNING_PLANJSON_H
#define MANGOCART_PLANNING_PLANJSON_H

#include "Core/Result.h"
#include "Settings/SettingsError.h"

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace mangocart {

struct Plan;

namespace schema {
class Configuration;
} // namespace schema

// Why a JSON text can't be taken.
struct JsonError {
  std::string m_Detail;

  bool operator==(const JsonError &) const = default;
};

// Any message of the schema, all fields written, named as in the schema.
std::string messageJson(const google::protobuf::Message &Message);

Result<schema::Configuration, JsonError>
parseConfiguration(std::string_view Text);

// {"configuration":...,"planned_against":N,"changes":[...],"warnings":[...]}
std::string planJson(const Plan &Made);
// Takes the configuration and the version planned against; changes and
// warnings are for readers only.
Result<Plan, JsonError> parsePlan(std::string_view Text);

// {"errors":[{"file":...,"line":N,"key":...,"found":...,"expected":...,
// "remedy":...,"text":...}],"warnings":[...]}
std::string findingsJson(const SettingsErrors &Errors,
                         const SettingsWarnings &Warnings);

} // namespace mangocart

#endif
