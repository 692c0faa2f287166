// mangocart init: writes the settings files of a new deployment.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Command/TextFile.h"
#include "Planning/DeploymentFiles.h"
#include "Planning/PlanJson.h"
#include "Questionnaire.pb.h"
#include "Settings/SettingsReader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <ostream>

namespace mangocart {

namespace {

namespace fs = std::filesystem;

std::string absolute(const std::string &Path) {
  return fs::absolute(Path).lexically_normal().string();
}

DeploymentFolders folders(const CommandValues &Values) {
  return {absolute(Values.value("data-root")),
          absolute(Values.value("log-root")),
          absolute(Values.value("admin-token-file"))};
}

// The first file that already exists; empty if there is none.
std::string firstExisting(const std::vector<DeploymentFile> &Files,
                          const fs::path &Folder) {
  for (const DeploymentFile &File : Files)
    if (fs::exists(Folder / File.m_Name))
      return (Folder / File.m_Name).string();
  return {};
}

ExitCode writeAll(const std::vector<DeploymentFile> &Files,
                  const fs::path &Folder, bool Json, CommandContext &Context) {
  boost::json::array Written;
  for (const DeploymentFile &File : Files) {
    const fs::path Path = Folder / File.m_Name;
    std::error_code
        Ignored; // If this fails, writing the file fails and reports it.
    fs::create_directories(Path.parent_path(), Ignored);
    const std::string Error = writeTextFile(Path.string(), File.m_Text);
    if (!Error.empty())
      return report(Context, ExitCode::Failed, Error);
    Written.emplace_back(Path.string());
    if (!Json)
      Context.m_Out << "wrote " << Path.string() << "\n";
  }
  if (Json)
    Context.m_Out << boost::json::serialize(
                         boost::json::object{{"written", Written}})
                  << "\n";
  return ExitCode::Ok;
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  SettingsWarnings Warnings;
  const auto Answers = readQuestionnaire(Values.value("answers"), Warnings);
  for (const SettingsWarning &Warning : Warnings)
    Context.m_Err << toString(Warning) << "\n";
  if (!Answers) {
    Context.m_Err << toString(Answers.error());
    return ExitCode::Failed;
  }
  const auto Files = deploymentFiles(Answers.value(), folders(Values));
  const fs::path Folder = Values.value("out");
  const std::string Existing = firstExisting(Files, Folder);
  if (!Existing.empty() && !Values.has("force"))
    return report(Context, ExitCode::Failed,
                  fmt::format("{}: the file exists; nothing was written; use "
                              "another folder, or --force to overwrite",
                              Existing));
  return writeAll(Files, Folder, wantsJson(Values), Context);
}

} // namespace

Command initCommand() {
  return {"init",
          "Write settings files for a new deployment from its questionnaire.",
          {{OptionKind::Value,
            "answers",
            "FILE",
            "",
            true,
            {},
            "Completed questionnaire, in TOML."},
           {OptionKind::Value,
            "out",
            "FOLDER",
            "",
            true,
            {},
            "Folder to write into; created if absent."},
           {OptionKind::Value,
            "data-root",
            "FOLDER",
            "/var/lib/mangocart",
            false,
            {},
            "Folder on the VMs that holds the data folders."},
           {OptionKind::Value,
            "log-root",
            "FOLDER",
            "/var/log/mangocart",
            false,
            {},
            "Folder on the VMs that holds the event logs."},
           {OptionKind::Value,
            "admin-token-file",
            "FILE",
            "/etc/mangocart/admin.token",
            false,
            {},
            "File on the VMs that holds the administration token."},
           {OptionKind::Switch,
            "force",
            "",
            "",
            false,
            {},
            "Overwrite files that exist."},
           outputOption()},
          run};
}

} // namespace mangocart
