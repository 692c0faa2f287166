// Reads the settings of each process and the questionnaire from TOML files, and
// checks what one field alone can't show.
#ifndef MANGOCART_SETTINGS_SETTINGSREADER_H
#define MANGOCART_SETTINGS_SETTINGSREADER_H

#include "Core/Result.h"
#include "Settings/SettingsError.h"

#include <string>
#include <string_view>

namespace mangocart {

namespace schema {
class AgentSettings;
class BalancerSettings;
class EntrySettings;
class GatewaySettings;
class Questionnaire;
class VoterSettings;
} // namespace schema

// Warnings are added to the list in either case. On failure the result holds
// every error, in the order of the file's lines.
Result<schema::EntrySettings, SettingsErrors>
readEntrySettings(const std::string &File, SettingsWarnings &Warnings);
Result<schema::AgentSettings, SettingsErrors>
readAgentSettings(const std::string &File, SettingsWarnings &Warnings);
Result<schema::GatewaySettings, SettingsErrors>
readGatewaySettings(const std::string &File, SettingsWarnings &Warnings);
Result<schema::BalancerSettings, SettingsErrors>
readBalancerSettings(const std::string &File, SettingsWarnings &Warnings);
Result<schema::VoterSettings, SettingsErrors>
readVoterSettings(const std::string &File, SettingsWarnings &Warnings);
Result<schema::Questionnaire, SettingsErrors>
readQuestionnaire(const std::string &File, SettingsWarnings &Warnings);

// The same from a text that came another way; File stands in errors only.
Result<schema::EntrySettings, SettingsErrors>
parseEntrySettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings);
Result<schema::AgentSettings, SettingsErrors>
parseAgentSettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings);
Result<schema::GatewaySettings, SettingsErrors>
parseGatewaySettings(const std::string &File, std::string_view Text,
                     SettingsWarnings &Warnings);
Result<schema::BalancerSettings, SettingsErrors>
parseBalancerSettings(const std::string &File, std::string_view Text,
                      SettingsWarnings &Warnings);
Result<schema::VoterSettings, SettingsErrors>
parseVoterSettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings);
Result<schema::Questionnaire, SettingsErrors>
parseQuestionnaire(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings);

// The whole file; the error names it and the system's reason.
Result<std::string, SettingsErrors> readTextFile(const std::string &File);

} // namespace mangocart

#endif
