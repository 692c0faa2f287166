// A voter and several gateways as separate processes on loopback addresses,
// with one service of engines and routes for streams, for plain requests and
// for plain requests that aren't idempotent.
#ifndef MANGOCART_TESTS_GATEWAYDEPLOYMENT_H
#define MANGOCART_TESTS_GATEWAYDEPLOYMENT_H

#include "Gateways/GatewayProcess.h"
#include "Gateways/VoterDeployment.h"
#include "Processes/TemporaryFolder.h"

#include <memory>
#include <string>
#include <vector>

namespace mangocart::test {

class GatewayDeployment {
public:
  // Addresses are 127.OCTET.0.1 for the voter, 127.OCTET.1.N for the gateways;
  // 127.OCTET.2.N is left to engines.
  GatewayDeployment(int Octet, unsigned Gateways);
  GatewayDeployment(const GatewayDeployment &) = delete;
  GatewayDeployment &operator=(const GatewayDeployment &) = delete;

  // Cold rate of the service, 0 for none; to be called before start().
  void setColdRate(double PerSecond) { m_ColdRate = PerSecond; }
  // Starts all processes and waits until every gateway is ready.
  void start();
  // Sends the configuration to the voter under the version, with the same
  // content.
  void configure(unsigned Version);
  // Starts the voter, also again after killVoter().
  void startVoter();
  void killVoter();
  void startGateway(unsigned Index);
  void waitUntilReady(unsigned Index) const;
  void signalGateway(unsigned Index, int SignalNumber);

  HttpTarget voter() const;
  // Where callers' requests arrive.
  HttpTarget gateway(unsigned Index) const;
  unsigned gatewayCount() const {
    return static_cast<unsigned>(m_Gateways.size());
  }
  std::string engineNetwork() const;
  // The gateway's largest resident memory so far, in bytes; 0 if it has ended.
  std::uint64_t peakMemory(unsigned Index) const {
    return m_Gateways[Index]->peakMemory();
  }
  // What the gateway has logged so far.
  std::string log(unsigned Index) const;

private:
  const int m_Octet;
  double m_ColdRate = 0.0;
  TemporaryFolder m_Folder;
  VoterDeployment m_Voters;
  std::vector<std::unique_ptr<ChildProcess>> m_Gateways;
};

} // namespace mangocart::test

#endif
