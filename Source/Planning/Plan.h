// From the answers of a questionnaire and the configuration in force to the
// next configuration and a difference that an operator can read.
#ifndef MANGOCART_PLANNING_PLAN_H
#define MANGOCART_PLANNING_PLAN_H

#include "Configuration.pb.h"
#include "Core/Result.h"
#include "Planning/ConfigurationChange.h"
#include "Settings/SettingsError.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

namespace schema {
class Questionnaire;
} // namespace schema

struct Plan {
  // Its version is that of the present configuration plus one.
  schema::Configuration m_Configuration;
  // Version of the present configuration; acceptance holds only against it.
  std::uint64_t m_PlannedAgainst = 0;
  // Empty when the answers ask for what is in force.
  std::vector<ConfigurationChange> m_Changes;
  SettingsWarnings m_Warnings;
};

// A pure function. Present has version 0 before the first acceptance. Lines
// say where the answers stand, for errors and warnings.
Result<Plan, SettingsErrors> plan(const schema::Questionnaire &Answers,
                                  const schema::Configuration &Present,
                                  const KeyLines &Lines = {});

// The same from the questionnaire's TOML text; File stands in errors and
// warnings only.
Result<Plan, SettingsErrors> planText(const std::string &File,
                                      std::string_view Text,
                                      const schema::Configuration &Present);

} // namespace mangocart

#endif
