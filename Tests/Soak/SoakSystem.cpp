// Processes and faults of a soak.
#include "Soak/SoakSystem.h"

#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace mangocart::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t ControlPort = 8229;
constexpr std::uint16_t CallerPort = 8227;
constexpr std::uint16_t HealthPort = 8220;
constexpr std::uint64_t MaxGatewayBytes = std::uint64_t{160} * 1000 * 1000;

constexpr const char *ConfigurationRest = R"(,"routes":[
{"name":"streams","host":"test.example","path_prefix":"/stream/",
 "route_type":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,
 "service":"engines","max_attempts":2,"public":true,"resumable":true,
 "gap_target_ms":120},
{"name":"plain","host":"test.example","path_prefix":"/plain/",
 "route_type":"idempotent","timeout_ms":4000,"target_latency_ms":400,
 "priority":1,"service":"engines","max_attempts":2,"public":true},
{"name":"unsafe","host":"test.example","path_prefix":"/unsafe/",
 "route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,
 "priority":1,"service":"engines","max_attempts":2,"public":true}],
"services":[{"name":"engines","health_path":"/health","max_connections":300,
 "protocol":"h1","tls":false,"engine":{"slots":8,"kv_capacity_tokens":372000,
 "models":[{"name":"m"}],"step_ms":5.85,"per_seq_ms":0.355,
 "read_per_s":61200.0,"usual":{"prompt":835,"answer":139}}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

template <class Predicate>
void requireWithin(std::chrono::seconds Timeout, Predicate Condition) {
  const auto Deadline = SoakClock::now() + Timeout;
  while (!Condition()) {
    REQUIRE(SoakClock::now() < Deadline);
    std::this_thread::sleep_for(50ms);
  }
}

bool doesAnswer(const HttpTarget &To, const std::string &Target) {
  return call(To, {"GET", Target, {{"Host", "s"}}, {}, {}}, 500ms)
             .m_Head.m_Status != 0;
}

} // namespace

std::string soakConfiguration(std::uint64_t Version) {
  return fmt::format(R"({{"version":{})", Version) + ConfigurationRest;
}

SoakSystem::SoakSystem(int Octet, std::uint64_t Seed)
    : m_Octet(Octet), m_Random(Seed), m_Voters(Octet, Voters),
      m_Gateways(Gateways) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "mangocart-XXXXXX").string();
  REQUIRE(::mkdtemp(Template.data()));
  m_Folder = Template;
}

SoakSystem::~SoakSystem() {
  m_Gateways.clear();
  std::error_code Ignored;
  if (!std::getenv("MANGOCART_KEEP_LOGS"))
    std::filesystem::remove_all(m_Folder, Ignored);
}

HttpTarget SoakSystem::gateway(unsigned Index) const {
  return {fmt::format("127.{}.1.{}", m_Octet, Index + 1), CallerPort};
}

std::string SoakSystem::replicaAddress(unsigned Index) const {
  return fmt::format("127.{}.2.{}", m_Octet, Index + 1);
}

void SoakSystem::startGateway(unsigned Index) {
  const std::string Name = fmt::format("gateway-{}", Index);
  const std::string File = (m_Folder / (Name + ".toml")).string();
  std::string Seeds;
  for (unsigned I = 0; I < Voters; ++I)
    Seeds += fmt::format("{}\"{}:{}\"", I > 0 ? ", " : "", control(I).m_Address,
                         ControlPort);
  const std::string Address = gateway(Index).m_Address;
  std::ofstream(File) << fmt::format(
      "name = \"{0}\"\navailability_zone = \"z{1}\"\n"
      "caller_endpoint = \"{2}:{3}\"\nhealth_endpoint = \"{2}:{4}\"\n"
      "peer_port = 7340\nmetrics_port = 9464\nseeds = [{5}]\n"
      "announce_interval_ms = 1200\nretry_ratio = 0.2\nretry_slack = 80\n"
      "drain_max_ms = 4000\n",
      Name, Index, Address, CallerPort, HealthPort, Seeds);
  m_Gateways[Index] = std::make_unique<ChildProcess>(
      std::string(MANGOCART_PROGRAM_DIR) + "/mangocart-gateway",
      std::vector<std::string>{"--settings", File},
      (m_Folder / (Name + ".log")).string());
}

bool SoakSystem::isReady(unsigned Index) const {
  return call({gateway(Index).m_Address, HealthPort},
              {"GET", "/ready", {{"Host", "g"}}, {}, {}})
             .m_Head.m_Status == 200;
}

void SoakSystem::start() {
  m_Voters.start();
  for (unsigned I = 0; I < Gateways; ++I)
    startGateway(I);
  requireWithin(20s, [&] {
    return call(control(0),
                {"PUT",
                 "/config",
                 {{"Host", "voter"}, {"Content-Type", "application/json"}},
                 soakConfiguration(FirstVersion),
                 {}})
               .m_Head.m_Status == 200;
  });
  for (unsigned I = 0; I < Gateways; ++I)
    requireWithin(20s, [&] { return isReady(I); });
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
    requireWithin(5s, [&] {
      return doesAnswer({gateway(Index).m_Address, HealthPort}, "/ready");
    });
    Gateway.signal(SIGTERM);
    // 1: requests were still in progress at the end of the drain.
    REQUIRE(Gateway.wait(10s).value_or(2) <= 1);
    startGateway(Index);
  }
  m_Faults.add();
}

void SoakSystem::disturbVoter(unsigned Index) {
  m_Faults.add();
  switch (uniform(m_Random, 0, 2)) {
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
  default:
    requireWithin(5s, [&] { return doesAnswer(control(Index), "/"); });
    m_Voters.stopVoter(Index);
    m_Voters.startVoter(Index);
  }
  m_Faults.add();
}

void SoakSystem::inflictFaults(std::chrono::milliseconds For,
                               std::optional<unsigned> FirstVoter) {
  const auto Until = SoakClock::now() + For;
  if (FirstVoter) {
    m_Faults.add();
    m_Voters.killVoter(*FirstVoter);
    m_Voters.startVoter(*FirstVoter);
    m_Faults.add();
  }
  while (SoakClock::now() < Until) {
    const auto Gateway =
        static_cast<unsigned>(uniform(m_Random, 0, Gateways - 1));
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
      // Most gateways end at once.
      m_Faults.add();
      for (unsigned I = 0; I + 1 < Gateways; ++I)
        m_Gateways[(Gateway + I) % Gateways]->signal(SIGKILL);
      for (unsigned I = 0; I + 1 < Gateways; ++I) {
        REQUIRE(m_Gateways[(Gateway + I) % Gateways]->wait(5s));
        startGateway((Gateway + I) % Gateways);
      }
      m_Faults.add();
    }
    pauseRandomly(0, 300);
  }
}

std::string SoakSystem::findFailed() const {
  for (unsigned I = 0; I < Gateways; ++I) {
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
