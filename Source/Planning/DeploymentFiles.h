// The settings files of a new deployment, made from the questionnaire.
#ifndef MANGOCART_PLANNING_DEPLOYMENTFILES_H
#define MANGOCART_PLANNING_DEPLOYMENTFILES_H

#include <string>
#include <vector>

namespace mangocart {

namespace schema {
class Questionnaire;
} // namespace schema

// Places on the VMs that the settings name.
struct DeploymentFolders {
  std::string m_DataRoot = "/var/lib/mangocart";
  std::string m_LogRoot = "/var/log/mangocart";
  std::string m_AdminTokenFile = "/etc/mangocart/admin.token";

  bool operator==(const DeploymentFolders &) const = default;
};

struct DeploymentFile {
  // Relative path: "entries/NAME.toml" or "agents/ZONE.toml".
  std::string m_Name;
  std::string m_Text;

  bool operator==(const DeploymentFile &) const = default;
};

// One file for each entry VM, ready to start with, and one for each
// availability zone that is a template for its agents: @NAME@, @SERVICE@ and
// @ADDRESS@ stand for the backend server's own and don't pass the checks until
// they are replaced. Only VMs with a disk get a data folder.
std::vector<DeploymentFile>
deploymentFiles(const schema::Questionnaire &Answers,
                const DeploymentFolders &Folders);

} // namespace mangocart

#endif
