// Answers to settings messages, and those to TOML.
#include "Planning/DeploymentFiles.h"

#include "Configuration.pb.h"
#include "Planning/VoterChoice.h"
#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/MessageWriter.h"

namespace mangocart {

namespace {

constexpr std::uint32_t AgentPeerPort = 8082;
constexpr std::uint32_t AgentAdminPort = 8081;
constexpr std::uint32_t BackendPort = 9000;

std::string logFile(const DeploymentFolders &Folders, const std::string &Name) {
  return Folders.m_LogRoot + "/" + Name + ".jsonl";
}

template <class Settings>
void setEntries(const schema::Questionnaire &Answers,
                const std::set<std::string> &Voters, Settings &To) {
  for (const schema::EntryVmAnswer &Vm : Answers.entry_vms()) {
    schema::PeerAddress &Entry = *To.add_entries();
    Entry.set_name(Vm.name());
    Entry.set_address(Vm.address());
    Entry.set_peer_port(Vm.peer_port());
    Entry.set_availability_zone(Vm.availability_zone());
    Entry.set_voter(Voters.contains(Vm.name()));
  }
}

schema::EntrySettings entrySettings(const schema::EntryVmAnswer &Vm,
                                    const DeploymentFolders &Folders) {
  schema::EntrySettings Settings;
  Settings.set_name(Vm.name());
  Settings.set_availability_zone(Vm.availability_zone());
  Settings.set_address(Vm.address());
  Settings.set_caller_port(Vm.caller_port());
  Settings.set_admin_port(Vm.admin_port());
  Settings.set_peer_port(Vm.peer_port());
  if (Vm.has_disk())
    Settings.set_data_folder(Folders.m_DataRoot + "/" + Vm.name());
  Settings.set_admin_token_file(Folders.m_AdminTokenFile);
  Settings.set_log_file(logFile(Folders, Vm.name()));
  return Settings;
}

schema::AgentSettings agentTemplate(const std::string &Zone,
                                    const DeploymentFolders &Folders) {
  schema::AgentSettings Settings;
  Settings.set_name("@NAME@");
  Settings.set_service("@SERVICE@");
  Settings.set_availability_zone(Zone);
  Settings.set_address("@ADDRESS@");
  Settings.set_peer_port(AgentPeerPort);
  Settings.set_admin_port(AgentAdminPort);
  Settings.set_backend_address("@ADDRESS@");
  Settings.set_backend_port(BackendPort);
  Settings.set_log_file(logFile(Folders, "@NAME@"));
  return Settings;
}

} // namespace

std::vector<DeploymentFile>
deploymentFiles(const schema::Questionnaire &Answers,
                const DeploymentFolders &Folders) {
  const std::set<std::string> Voters = chooseVoters(Answers, {});
  std::vector<DeploymentFile> Files;
  for (const schema::EntryVmAnswer &Vm : Answers.entry_vms()) {
    schema::EntrySettings Settings = entrySettings(Vm, Folders);
    setEntries(Answers, Voters, Settings);
    Files.push_back({"entries/" + Vm.name() + ".toml", writeToml(Settings)});
  }
  for (const auto &Zone : Answers.availability_zones()) {
    schema::AgentSettings Settings = agentTemplate(Zone.name(), Folders);
    setEntries(Answers, Voters, Settings);
    Files.push_back({"agents/" + Zone.name() + ".toml", writeToml(Settings)});
  }
  return Files;
}

} // namespace mangocart
