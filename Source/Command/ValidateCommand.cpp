// mangocart validate: checks settings files and questionnaires without starting
// anything.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Planning/PlanJson.h"
#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/MessageReader.h"
#include "Settings/SettingsReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ostream>

namespace mangocart {

namespace {

struct FileKind {
  std::string_view m_Name;
  // Message type whose fields are the known top-level keys.
  const google::protobuf::Descriptor &(*m_Type)();
  SettingsErrors (*m_Check)(const std::string &File, std::string_view Text,
                            SettingsWarnings &Warnings);
};

template <class T> const google::protobuf::Descriptor &typeOf() {
  return *T::descriptor();
}

template <class T>
SettingsErrors errorsOf(const Result<T, SettingsErrors> &Read) {
  return Read ? SettingsErrors() : Read.error();
}

SettingsErrors checkEntry(const std::string &File, std::string_view Text,
                          SettingsWarnings &Warnings) {
  return errorsOf(parseEntrySettings(File, Text, Warnings));
}

SettingsErrors checkAgent(const std::string &File, std::string_view Text,
                          SettingsWarnings &Warnings) {
  return errorsOf(parseAgentSettings(File, Text, Warnings));
}

SettingsErrors checkQuestionnaire(const std::string &File,
                                  std::string_view Text,
                                  SettingsWarnings &Warnings) {
  return errorsOf(parseQuestionnaire(File, Text, Warnings));
}

const std::array<FileKind, 3> Kinds{{
    {"entry", typeOf<schema::EntrySettings>, checkEntry},
    {"agent", typeOf<schema::AgentSettings>, checkAgent},
    {"questionnaire", typeOf<schema::Questionnaire>, checkQuestionnaire},
}};

// The requested kind, or else the kind that knows the most keys of the text.
const FileKind &selectKind(const std::string &Requested,
                           std::string_view Text) {
  const auto *Match =
      std::find_if(Kinds.begin(), Kinds.end(), [&](const FileKind &Kind) {
        return Kind.m_Name == Requested;
      });
  if (Match != Kinds.end())
    return *Match;
  return *std::max_element(Kinds.begin(), Kinds.end(),
                           [&](const FileKind &A, const FileKind &B) {
                             return countKnownKeys(Text, A.m_Type()) <
                                    countKnownKeys(Text, B.m_Type());
                           });
}

SettingsErrors checkFile(const std::string &File, const std::string &Kind,
                         SettingsWarnings &Warnings) {
  const auto Text = readTextFile(File);
  if (!Text)
    return Text.error();
  return selectKind(Kind, Text.value()).m_Check(File, Text.value(), Warnings);
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  SettingsErrors Errors;
  SettingsWarnings Warnings;
  for (const std::string &File : Values.values("FILE")) {
    const SettingsErrors Found =
        checkFile(File, Values.value("kind"), Warnings);
    Errors.insert(Errors.end(), Found.begin(), Found.end());
  }
  if (wantsJson(Values)) {
    Context.m_Out << findingsJson(Errors, Warnings) << "\n";
    return Errors.empty() ? ExitCode::Ok : ExitCode::Failed;
  }
  for (const SettingsWarning &Warning : Warnings)
    Context.m_Err << toString(Warning) << "\n";
  Context.m_Err << toString(Errors);
  if (!Errors.empty())
    return ExitCode::Failed;
  Context.m_Out << fmt::format("{} valid\n", Values.values("FILE").size() == 1
                                                 ? "the file is"
                                                 : "all files are");
  return ExitCode::Ok;
}

} // namespace

Command validateCommand() {
  return {"validate",
          "Check settings files and questionnaires; starts nothing.",
          {{OptionKind::Value,
            "kind",
            "KIND",
            "guess",
            false,
            {"guess", "entry", "agent", "questionnaire"},
            "Kind of the files; guess decides by the keys of each file."},
           outputOption(),
           {OptionKind::PositionalList,
            "FILE",
            "",
            "",
            true,
            {},
            "TOML file to check."}},
          run};
}

} // namespace mangocart
