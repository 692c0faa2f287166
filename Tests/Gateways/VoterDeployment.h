// Several voters as separate processes on loopback addresses.
#ifndef MANGOCART_TESTS_VOTERDEPLOYMENT_H
#define MANGOCART_TESTS_VOTERDEPLOYMENT_H

#include "Http/HttpClient.h"
#include "Net/PeerStream.h"
#include "Processes/ChildProcess.h"
#include "Processes/TemporaryFolder.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangocart::test {

class VoterDeployment {
public:
  // Voter I has the address 127.OCTET.0.(I+1).
  VoterDeployment(int Octet, unsigned Voters);
  VoterDeployment(const VoterDeployment &) = delete;
  VoterDeployment &operator=(const VoterDeployment &) = delete;

  // Starts all and waits until a configuration is acknowledged and each voter
  // watches the others.
  void start();
  void startVoter(unsigned Index);
  void signalVoter(unsigned Index, int SignalNumber);
  // As ChildProcess::suspend(); SIGCONT resumes it.
  void suspendVoter(unsigned Index) { m_Voters[Index]->suspend(); }
  // Kills the voter and waits for its end.
  void killVoter(unsigned Index);
  // Kills the voter and removes its data.
  void loseDisk(unsigned Index);
  // Removes the data of a voter that doesn't run.
  void removeData(unsigned Index);
  // Stops the voter as planned and waits for its end.
  void stopVoter(unsigned Index);
  bool isRunning(unsigned Index) const { return m_Voters[Index]->isRunning(); }

  HttpTarget control(unsigned Index) const;
  // Value of a metric without labels; no value if the voter doesn't answer.
  std::optional<double> metric(unsigned Index, const std::string &Name) const;
  // The control endpoints of all voters, as a list of TOML strings.
  std::string seeds() const;
  PeerEndpoint peer(unsigned Index) const;

private:
  std::string address(unsigned Index) const;
  std::filesystem::path dataFolder(unsigned Index) const;

  const int m_Octet;
  TemporaryFolder m_Folder;
  // Until the first configuration is acknowledged.
  bool m_IsFirstStart = true;
  std::vector<std::unique_ptr<ChildProcess>> m_Voters;
};

} // namespace mangocart::test

#endif
