// Settings and processes of the voters.
#include "Gateways/VoterDeployment.h"

#include "Gateways/GatewayProcess.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace mangocart::test {

namespace {

constexpr std::uint16_t ControlPort = 8229;
constexpr std::uint16_t PeerPort = 7340;
constexpr std::uint16_t MetricsPort = 9464;
constexpr std::chrono::seconds StartTimeout{30};
constexpr std::chrono::seconds EndTimeout{5};

constexpr const char *Configuration =
    R"({"version":1,"routes":[],"services":[],"limits":{"max_header_bytes":16384,
"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[]})";

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

unsigned countOf(const std::string &Text, const std::string &Part) {
  unsigned Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

VoterDeployment::VoterDeployment(int Octet, unsigned Voters)
    : m_Octet(Octet), m_Voters(Voters) {}

std::string VoterDeployment::address(unsigned Index) const {
  return fmt::format("127.{}.0.{}", m_Octet, Index + 1);
}

std::filesystem::path VoterDeployment::dataFolder(unsigned Index) const {
  return m_Folder.path() / fmt::format("data-{}", Index);
}

HttpTarget VoterDeployment::control(unsigned Index) const {
  return {address(Index), ControlPort};
}

std::optional<double> VoterDeployment::metric(unsigned Index,
                                              const std::string &Name) const {
  const HttpResponse Response =
      call({address(Index), MetricsPort},
           {"GET", "/metrics", {{"Host", "voter"}}, "", {}});
  std::istringstream Lines(Response.m_Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.rfind(Name + " ", 0) == 0)
      return std::stod(Line.substr(Name.size() + 1));
  return std::nullopt;
}

PeerEndpoint VoterDeployment::peer(unsigned Index) const {
  return {address(Index), PeerPort};
}

std::string VoterDeployment::seeds() const {
  std::string Text;
  for (unsigned I = 0; I < m_Voters.size(); ++I)
    Text +=
        fmt::format("{}\"{}:{}\"", I > 0 ? ", " : "", address(I), ControlPort);
  return Text;
}

void VoterDeployment::startVoter(unsigned Index) {
  const std::string Name = fmt::format("voter-{}", Index);
  const std::filesystem::path Data = dataFolder(Index);
  std::filesystem::create_directories(Data);
  const std::string File = (m_Folder.path() / (Name + ".toml")).string();
  std::ofstream(File) << fmt::format(
      "name = \"{0}\"\navailability_zone = \"z{1}\"\n"
      "control_endpoint = \"{2}:{3}\"\npeer_port = {4}\nmetrics_port = {9}\n"
      "seeds = [{5}]\nfirst_start = {8}\ndata_folder = \"{6}\"\n"
      "tolerated_losses = {7}\nannounce_interval_ms = 1200\n",
      Name, Index, address(Index), ControlPort, PeerPort, seeds(),
      Data.string(), m_Voters.size() > 1 ? 1 : 0, m_IsFirstStart, MetricsPort);
  m_Voters[Index] = std::make_unique<ChildProcess>(
      programPath("mangocart-voter"),
      std::vector<std::string>{"--settings", File},
      (m_Folder.path() / (Name + ".log")).string());
}

void VoterDeployment::signalVoter(unsigned Index, int SignalNumber) {
  m_Voters[Index]->signal(SignalNumber);
}

void VoterDeployment::killVoter(unsigned Index) {
  signalVoter(Index, SIGKILL);
  REQUIRE(m_Voters[Index]->wait(EndTimeout));
}

void VoterDeployment::loseDisk(unsigned Index) {
  killVoter(Index);
  removeData(Index);
}

void VoterDeployment::removeData(unsigned Index) {
  std::filesystem::remove_all(dataFolder(Index));
}

void VoterDeployment::stopVoter(unsigned Index) {
  signalVoter(Index, SIGTERM);
  REQUIRE(m_Voters[Index]->wait(EndTimeout).value_or(-1) == 0);
}

void VoterDeployment::start() {
  const auto Count = static_cast<unsigned>(m_Voters.size());
  for (unsigned I = 0; I < Count; ++I)
    startVoter(I);
  const auto IsReady = [&] {
    for (unsigned I = 0; I < Count; ++I)
      if (countOf(readFile(m_Folder.path() / fmt::format("voter-{}.log", I)),
                  R"("name":"VoterConnected")") +
              1 <
          Count)
        return false;
    return putConfiguration(control(0), Configuration) == 200;
  };
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (!IsReady()) {
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  m_IsFirstStart = false;
}

} // namespace mangocart::test
