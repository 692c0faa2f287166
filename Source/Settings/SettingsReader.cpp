// File, then reading by the schema's rules, then the checks across fields.
#include "Settings/SettingsReader.h"

#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/AnswerChecks.h"
#include "Settings/MessageReader.h"
#include "Settings/SettingsChecks.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace mangocart {

namespace {

// Checks across fields run only on a message whose fields are all in order, so
// that one mistake isn't reported twice.
template <class T, class Check>
Result<T, SettingsErrors> parse(const std::string &File, std::string_view Text,
                                SettingsWarnings &Warnings, Check CheckAcross) {
  T Message;
  ReadFindings Findings = readMessage(File, Text, Message);
  Warnings.insert(Warnings.end(), Findings.m_Warnings.begin(),
                  Findings.m_Warnings.end());
  SettingsErrors Errors = std::move(Findings.m_Errors);
  if (Errors.empty())
    Errors = CheckAcross(Message, Findings.m_Lines);
  if (Errors.empty())
    return Message;
  std::stable_sort(Errors.begin(), Errors.end(),
                   [](const SettingsError &A, const SettingsError &B) {
                     return A.m_Line < B.m_Line;
                   });
  return Errors;
}

template <class T, class Parse>
Result<T, SettingsErrors> read(const std::string &File,
                               SettingsWarnings &Warnings, Parse ParseText) {
  const Result<std::string, SettingsErrors> Text = readTextFile(File);
  if (!Text)
    return Text.error();
  return ParseText(File, Text.value(), Warnings);
}

} // namespace

Result<std::string, SettingsErrors> readTextFile(const std::string &File) {
  errno = 0;
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (Stream && Stream.peek() != std::ifstream::traits_type::eof())
    Text << Stream.rdbuf();
  if (!Stream.is_open() || Stream.bad() || errno == EISDIR)
    return SettingsErrors{{File, 0, "", std::strerror(errno),
                           "a file that can be read",
                           "check the path and the file's permissions"}};
  return Text.str();
}

Result<schema::EntrySettings, SettingsErrors>
parseEntrySettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings) {
  return parse<schema::EntrySettings>(File, Text, Warnings, checkEntrySettings);
}

Result<schema::AgentSettings, SettingsErrors>
parseAgentSettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings) {
  return parse<schema::AgentSettings>(File, Text, Warnings, checkAgentSettings);
}

Result<schema::GatewaySettings, SettingsErrors>
parseGatewaySettings(const std::string &File, std::string_view Text,
                     SettingsWarnings &Warnings) {
  return parse<schema::GatewaySettings>(File, Text, Warnings,
                                        checkGatewaySettings);
}

Result<schema::BalancerSettings, SettingsErrors>
parseBalancerSettings(const std::string &File, std::string_view Text,
                      SettingsWarnings &Warnings) {
  return parse<schema::BalancerSettings>(
      File, Text, Warnings,
      [](const schema::BalancerSettings &, const KeyLines &) {
        return SettingsErrors();
      });
}

Result<schema::VoterSettings, SettingsErrors>
parseVoterSettings(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings) {
  return parse<schema::VoterSettings>(File, Text, Warnings, checkVoterSettings);
}

Result<schema::Questionnaire, SettingsErrors>
parseQuestionnaire(const std::string &File, std::string_view Text,
                   SettingsWarnings &Warnings) {
  return parse<schema::Questionnaire>(File, Text, Warnings, checkAnswers);
}

Result<schema::EntrySettings, SettingsErrors>
readEntrySettings(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::EntrySettings>(File, Warnings, parseEntrySettings);
}

Result<schema::AgentSettings, SettingsErrors>
readAgentSettings(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::AgentSettings>(File, Warnings, parseAgentSettings);
}

Result<schema::GatewaySettings, SettingsErrors>
readGatewaySettings(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::GatewaySettings>(File, Warnings, parseGatewaySettings);
}

Result<schema::BalancerSettings, SettingsErrors>
readBalancerSettings(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::BalancerSettings>(File, Warnings, parseBalancerSettings);
}

Result<schema::VoterSettings, SettingsErrors>
readVoterSettings(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::VoterSettings>(File, Warnings, parseVoterSettings);
}

Result<schema::Questionnaire, SettingsErrors>
readQuestionnaire(const std::string &File, SettingsWarnings &Warnings) {
  return read<schema::Questionnaire>(File, Warnings, parseQuestionnaire);
}

} // namespace mangocart
