// Settings are those of the templates in platform/, filled in.
#include "Deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t Zones = 3;

std::string zoneName(std::size_t Number) {
  return std::string("zone-") + static_cast<char>('a' + Number % Zones);
}

std::string voterAddress(std::size_t Number) {
  return "127.20." + std::to_string(Number + 1) + ".1";
}

std::string gatewayAddress(std::size_t Number) {
  return "127.20." + std::to_string(Number + 1) + ".2";
}

std::string replicaAddress(std::size_t Number) {
  return "127.20." + std::to_string(Number + 1) + ".3";
}

// A port that is free on all addresses of the deployment.
std::uint16_t freePort(std::set<std::uint16_t> &Taken) {
  constexpr std::size_t Addresses = 8;
  std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(20000, 32000);
  while (true) {
    const auto Port = static_cast<std::uint16_t>(Ports(Random));
    bool Free = Taken.insert(Port).second;
    for (std::size_t I = 0; Free && I < Addresses; ++I)
      Free = listenOn({voterAddress(I), Port}).isOpen() &&
             listenOn({gatewayAddress(I), Port}).isOpen() &&
             listenOn({replicaAddress(I), Port}).isOpen();
    if (Free)
      return Port;
  }
}

} // namespace

// ---- Processes.

Process::Process(std::vector<std::string> Arguments, std::string Log)
    : m_Arguments(std::move(Arguments)), m_Log(std::move(Log)) {}

Process::~Process() { kill(); }

Process::Process(Process &&Other) noexcept
    : m_Arguments(std::move(Other.m_Arguments)), m_Log(std::move(Other.m_Log)),
      m_Id(std::exchange(Other.m_Id, -1)) {}

Process &Process::operator=(Process &&Other) noexcept {
  if (this != &Other) {
    kill();
    m_Arguments = std::move(Other.m_Arguments);
    m_Log = std::move(Other.m_Log);
    m_Id = std::exchange(Other.m_Id, -1);
  }
  return *this;
}

void Process::start() {
  std::vector<char *> Arguments;
  for (std::string &Each : m_Arguments)
    Arguments.push_back(Each.data());
  Arguments.push_back(nullptr);
  const pid_t Parent = getpid();
  m_Id = fork();
  if (m_Id != 0)
    return;
  // The process ends with the thread that has started it, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != Parent)
    _exit(2);
  const int Log =
      open(m_Log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments[0], Arguments.data());
  _exit(2);
}

void Process::signal(int Number) const {
  if (m_Id > 0)
    ::kill(m_Id, Number);
}

bool Process::waitForEnd(Milliseconds Longest) {
  const TimePoint Deadline = Clock::now() + Longest;
  while (m_Id > 0) {
    if (waitpid(m_Id, nullptr, WNOHANG) == m_Id) {
      m_Id = -1;
      break;
    }
    if (Clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(Milliseconds(2));
  }
  return true;
}

void Process::kill() {
  if (m_Id <= 0)
    return;
  ::kill(m_Id, SIGKILL);
  waitpid(m_Id, nullptr, 0);
  m_Id = -1;
}

// ---- The deployment.

Deployment::Deployment(std::string Programs, std::string Kit,
                       std::string RecordFile)
    : m_Programs(std::move(Programs)), m_Kit(std::move(Kit)),
      m_RecordFile((std::filesystem::remove(RecordFile), RecordFile)),
      m_Record(m_RecordFile, "case") {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(Template.data())) {
    std::perror("temporary folder");
    std::exit(2);
  }
  m_Folder = Template;
  std::set<std::uint16_t> Taken;
  for (std::uint16_t *Port : {&m_ControlPort, &m_FrontPort, &m_ReadyPort,
                              &m_PeerPort, &m_MetricsPort, &m_ReplicaPort})
    *Port = freePort(Taken);
}

Deployment::~Deployment() {
  stop();
  if (!std::getenv("KEEP_FILES"))
    std::filesystem::remove_all(m_Folder);
}

void Deployment::stop() {
  m_Replicas.clear();
  m_Gateways.clear();
  m_Voters.clear();
}

Endpoint Deployment::voterControl(std::size_t Number) const {
  return {voterAddress(Number), m_ControlPort};
}

Endpoint Deployment::gatewayFront(std::size_t Number) const {
  return {gatewayAddress(Number), m_FrontPort};
}

Endpoint Deployment::gatewayReady(std::size_t Number) const {
  return {gatewayAddress(Number), m_ReadyPort};
}

std::string Deployment::logOf(const std::string &Name) const {
  return m_Folder + "/" + Name + ".out";
}

std::string Deployment::settingsOf(const std::string &Name,
                                   const std::string &Text) {
  const std::string File = m_Folder + "/" + Name + ".toml";
  std::ofstream(File) << Text;
  return File;
}

std::string Deployment::seedList() const {
  std::string List = "[";
  for (std::size_t I = 0; I < m_VoterCount; ++I)
    List += (I ? ",\"" : "\"") + toString(voterControl(I)) + "\"";
  return List + "]";
}

void Deployment::start(unsigned Voters, unsigned Gateways) {
  m_VoterCount = Voters;
  const std::string Common =
      "peer_port = " + std::to_string(m_PeerPort) +
      "\nmetrics_port = " + std::to_string(m_MetricsPort) +
      "\nseeds = " + seedList() +
      "\nannounce_interval_ms = " + std::to_string(m_Bounds.m_HeartbeatMs) +
      "\n";
  for (std::size_t I = 0; I < Voters; ++I) {
    const std::string Name = "voter-" + std::to_string(I);
    const std::string File = settingsOf(
        Name, "name = \"" + Name + "\"\navailability_zone = \"" + zoneName(I) +
                  "\"\ncontrol_endpoint = \"" + toString(voterControl(I)) +
                  "\"\n" + Common + "first_start = true\ndata_folder = \"" +
                  m_Folder + "/" + Name + "\"\ntolerated_losses = 1\n" +
                  "availability_zones = [\"zone-a\",\"zone-b\",\"zone-c\"]\n");
    m_Voters.emplace_back(
        std::vector<std::string>{m_Programs + "/mangocart-voter", "--settings",
                                 File},
        logOf(Name));
    m_Voters.back().start();
  }
  for (std::size_t I = 0; I < Gateways; ++I) {
    const std::string Name = "gateway-" + std::to_string(I);
    const std::string File = settingsOf(
        Name,
        "name = \"" + Name + "\"\navailability_zone = \"" + zoneName(I) +
            "\"\ncaller_endpoint = \"" + toString(gatewayFront(I)) +
            "\"\nhealth_endpoint = \"" + toString(gatewayReady(I)) + "\"\n" +
            Common +
            "retry_ratio = 0.2\nretry_slack = 88\nretry_window_ms = \"10 s\"\n"
            "drain_max_ms = \"" +
            std::to_string(m_Bounds.m_GraceSeconds) +
            " s\"\nzone_regions = [\"zone-a=region\",\"zone-b=region\","
            "\"zone-c=region\"]\n");
    m_Gateways.emplace_back(
        std::vector<std::string>{m_Programs + "/mangocart-gateway",
                                 "--settings", File},
        logOf(Name));
    m_Gateways.back().start();
  }
}

bool Deployment::putConfiguration(const std::string &Document) {
  const TimePoint Deadline = Clock::now() + std::chrono::seconds(20);
  for (std::size_t I = 0; Clock::now() < Deadline; ++I) {
    const Answer Reply = call(voterControl(I % m_VoterCount), "PUT", "/config",
                              Document, Milliseconds(1000));
    if (Reply.m_Status == 200) {
      m_Record.write("configuration acknowledged");
      return true;
    }
    if (Reply.m_Status == 400) {
      m_Record.write("configuration refused: " + Reply.m_Body.m_Bytes);
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(200));
  }
  return false;
}

bool Deployment::waitUntilReady() {
  const TimePoint Deadline = Clock::now() + std::chrono::seconds(20);
  for (std::size_t I = 0; I < m_Gateways.size();) {
    if (call(gatewayReady(I), "GET", "/ready", "", Milliseconds(500))
            .m_Status == 200)
      ++I;
    else if (Clock::now() > Deadline)
      return false;
    else
      std::this_thread::sleep_for(Milliseconds(100));
  }
  return true;
}

void Deployment::startReplica(const std::string &Id, const std::string &Service,
                              const std::vector<std::string> &Options) {
  const std::size_t Number = m_Replicas.size();
  std::vector<std::string> Arguments = {
      m_Kit + "/review-replica",
      "--id",
      Id,
      "--service",
      Service,
      "--zone",
      zoneName(Number),
      "--address",
      toString(Endpoint{replicaAddress(Number), m_ReplicaPort}),
      "--record",
      m_RecordFile,
      "--heartbeat-ms",
      std::to_string(m_Bounds.m_HeartbeatMs)};
  for (std::size_t I = 0; I < m_VoterCount; ++I) {
    Arguments.emplace_back("--control");
    Arguments.push_back(toString(voterControl((Number + I) % m_VoterCount)));
  }
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  Process &Started = m_Replicas[Id] = Process(Arguments, logOf(Id));
  Started.start();
}

// ---- The platform.

Rotation::Rotation(const Deployment &Of, std::size_t Gateways)
    : m_Misses(Gateways) {
  for (std::size_t I = 0; I < Gateways; ++I)
    m_Threads.emplace_back([this, I, At = Of.gatewayReady(I)] {
      while (!m_Stopped) {
        const TimePoint Next = Clock::now() + std::chrono::seconds(1);
        const bool Ready =
            call(At, "GET", "/ready", "", Milliseconds(900)).m_Status == 200;
        m_Misses[I] = Ready ? 0 : m_Misses[I] + 1;
        while (!m_Stopped && Clock::now() < Next)
          std::this_thread::sleep_for(Milliseconds(10));
      }
    });
}

Rotation::~Rotation() {
  m_Stopped = true;
  for (std::thread &Each : m_Threads)
    Each.join();
}

bool isTroubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::strcmp(Value, "0") != 0;
}

} // namespace review
