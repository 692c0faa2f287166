// Processes and faults of a soak.
#include "Soak/SoakSystem.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

namespace mangocart::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxGatewayBytes = std::uint64_t{160} * 1000 * 1000;

template <class Predicate>
void requireWithin(std::chrono::seconds Timeout, Predicate Condition) {
  const auto Deadline = SoakClock::now() + Timeout;
  while (!Condition()) {
    REQUIRE(SoakClock::now() < Deadline);
    std::this_thread::sleep_for(50ms);
  }
}

HttpResponse get(const HttpTarget &From, const std::string &Target) {
  return call(From, {"GET", Target, {{"Host", "v"}}, {}, {}}, 500ms);
}

bool doesAnswer(const HttpTarget &Voter) {
  return get(Voter, "/").m_Head.m_Status != 0;
}

bool hasLog(const HttpTarget &Voter) {
  return get(Voter, "/config").m_Head.m_Status == 200;
}

} // namespace

SoakSystem::SoakSystem(int Octet, unsigned Gateways, std::uint64_t Seed)
    : m_Octet(Octet), m_Random(Seed), m_Voters(Octet, Voters),
      m_Gateways(Gateways) {}

HttpTarget SoakSystem::gateway(unsigned Index) const {
  return callerEndpoint(fmt::format("127.{}.1.{}", m_Octet, Index + 1));
}

std::string SoakSystem::replicaAddress(unsigned Index) const {
  return fmt::format("127.{}.2.{}", m_Octet, Index + 1);
}

void SoakSystem::startGateway(unsigned Index) {
  m_Gateways[Index] = startGatewayProcess(
      {fmt::format("gateway-{}", Index), fmt::format("z{}", Index % Voters),
       gateway(Index), m_Voters.seeds(), "drain_max_ms = 4000\n"},
      m_Folder.path());
}

void SoakSystem::start() {
  m_Voters.start();
  for (unsigned I = 0; I < gatewayCount(); ++I)
    startGateway(I);
  requireWithin(20s, [&] {
    return putConfiguration(control(0), engineConfiguration(FirstVersion)) ==
           200;
  });
  for (unsigned I = 0; I < gatewayCount(); ++I)
    requireWithin(20s, [&] { return isGatewayReady(gateway(I)); });
}

void SoakSystem::pauseRandomly(unsigned LeastMs, unsigned MostMs) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(uniform(m_Random, LeastMs, MostMs)));
}

void SoakSystem::disturbGateway(unsigned Index) {
  ChildProcess &Gateway = *m_Gateways[Index];
  m_Faults.add();
  switch (uniform(m_Random, 0, 2)) {
  case 0:
    Gateway.signal(SIGKILL);
    REQUIRE(Gateway.wait(5s));
    pauseRandomly(50, 400);
    startGateway(Index);
    break;
  case 1:
    Gateway.signal(SIGSTOP);
    pauseRandomly(200, 1500);
    Gateway.signal(SIGCONT);
    break;
  default:
    // A process that has just started would be ended by the signal itself.
    requireWithin(5s, [&] { return doesGatewayAnswer(gateway(Index)); });
    Gateway.signal(SIGTERM);
    // 1: requests were still in progress at the end of the drain.
    REQUIRE(Gateway.wait(10s).value_or(2) <= 1);
    startGateway(Index);
  }
  m_Faults.add();
}

void SoakSystem::disturbVoter(unsigned Index) {
  m_Faults.add();
  switch (uniform(m_Random, 0, m_IsDiskLost ? 2 : 3)) {
  case 0:
    m_Voters.killVoter(Index);
    pauseRandomly(50, 400);
    m_Voters.startVoter(Index);
    break;
  case 1:
    m_Voters.signalVoter(Index, SIGSTOP);
    pauseRandomly(200, 1500);
    m_Voters.signalVoter(Index, SIGCONT);
    break;
  case 2:
    requireWithin(5s, [&] { return doesAnswer(control(Index)); });
    m_Voters.stopVoter(Index);
    m_Voters.startVoter(Index);
    break;
  default:
    m_IsDiskLost = true;
    ++m_LostDisks;
    m_Voters.loseDisk(Index);
    pauseRandomly(50, 400);
    m_Voters.startVoter(Index);
    // With a second failure before it has the log, acknowledged changes would
    // be on one disk only.
    requireWithin(20s, [&] { return hasLog(control(Index)); });
  }
  m_Faults.add();
}

void SoakSystem::killGatewaysBut(unsigned Index) {
  m_Faults.add();
  for (unsigned I = 0; I < gatewayCount(); ++I)
    if (I != Index)
      m_Gateways[I]->signal(SIGKILL);
  for (unsigned I = 0; I < gatewayCount(); ++I) {
    if (I == Index)
      continue;
    REQUIRE(m_Gateways[I]->wait(5s));
    startGateway(I);
  }
  m_Faults.add();
}

void SoakSystem::inflictFaults(std::chrono::milliseconds For,
                               std::optional<unsigned> FirstVoter) {
  const auto Until = SoakClock::now() + For;
  m_IsDiskLost = false;
  if (FirstVoter) {
    m_Faults.add();
    m_Voters.killVoter(*FirstVoter);
    m_Voters.startVoter(*FirstVoter);
    m_Faults.add();
  }
  while (SoakClock::now() < Until) {
    const auto Gateway =
        static_cast<unsigned>(uniform(m_Random, 0, gatewayCount() - 1));
    const auto Voter = static_cast<unsigned>(uniform(m_Random, 0, Voters - 1));
    const std::uint64_t Kind = uniform(m_Random, 0, 3);
    if (Kind == 0) {
      disturbVoter(Voter);
    } else if (Kind == 1) {
      disturbGateway(Gateway);
    } else if (Kind == 2) {
      // A gateway is suspended while a voter is disturbed.
      m_Faults.add();
      m_Gateways[Gateway]->signal(SIGSTOP);
      disturbVoter(Voter);
      m_Gateways[Gateway]->signal(SIGCONT);
      m_Faults.add();
    } else {
      killGatewaysBut(Gateway);
    }
    pauseRandomly(0, 300);
  }
}

std::string SoakSystem::findFailed() const {
  for (unsigned I = 0; I < gatewayCount(); ++I) {
    if (!m_Gateways[I]->isRunning())
      return fmt::format("gateway-{} has ended", I);
    if (m_Gateways[I]->peakMemory() > MaxGatewayBytes)
      return fmt::format("gateway-{} has taken {} bytes", I,
                         m_Gateways[I]->peakMemory());
  }
  for (unsigned I = 0; I < Voters; ++I)
    if (!m_Voters.isRunning(I))
      return fmt::format("voter-{} has ended", I);
  return {};
}

} // namespace mangocart::test
