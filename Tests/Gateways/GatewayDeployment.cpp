// Processes and the configuration of the deployment.
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace mangocart::test {

namespace {

constexpr std::chrono::seconds StartTimeout{20};

template <class Predicate> bool waitFor(Predicate Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

} // namespace

GatewayDeployment::GatewayDeployment(int Octet, unsigned Gateways)
    : m_Octet(Octet), m_Voters(Octet, 1), m_Gateways(Gateways) {}

HttpTarget GatewayDeployment::voter() const { return m_Voters.control(0); }

HttpTarget GatewayDeployment::gateway(unsigned Index) const {
  return callerEndpoint(fmt::format("127.{}.1.{}", m_Octet, Index + 1));
}

std::string GatewayDeployment::engineNetwork() const {
  return fmt::format("127.{}.2", m_Octet);
}

void GatewayDeployment::startGateway(unsigned Index) {
  m_Gateways[Index] = startGatewayProcess(
      {fmt::format("gateway-{}", Index), fmt::format("z{}", Index % 3),
       gateway(Index), m_Voters.seeds(),
       "log_lines_per_second = 2000\ncold_burst_factor = 1.5\n"
       "cold_burst_slack = 5\n"},
      m_Folder.path());
}

void GatewayDeployment::signalGateway(unsigned Index, int SignalNumber) {
  m_Gateways[Index]->signal(SignalNumber);
}

void GatewayDeployment::configure(unsigned Version) {
  REQUIRE(waitFor([&] {
    return putConfiguration(voter(),
                            engineConfiguration(Version, m_ColdRate)) == 200;
  }));
}

void GatewayDeployment::startVoter() { m_Voters.startVoter(0); }

void GatewayDeployment::killVoter() { m_Voters.killVoter(0); }

void GatewayDeployment::waitUntilReady(unsigned Index) const {
  REQUIRE(waitFor([&] { return isGatewayReady(gateway(Index)); }));
}

void GatewayDeployment::start() {
  startVoter();
  for (unsigned I = 0; I < gatewayCount(); ++I)
    startGateway(I);
  configure(1);
  for (unsigned I = 0; I < gatewayCount(); ++I)
    waitUntilReady(I);
}

std::string GatewayDeployment::log(unsigned Index) const {
  std::ifstream Stream(m_Folder.path() / fmt::format("gateway-{}.log", Index));
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace mangocart::test
