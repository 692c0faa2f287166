// Writes the settings of the test deployment, starts it and queries its status.
#include "Processes/Deployment.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace mangocart::test {

namespace {

constexpr const char *Token = "0123456789abcdef0123456789abcdef";
constexpr int AdminPort = 8081;
constexpr int CallerPort = 8080;
constexpr int BackendPort = 9000;

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At = Text.find(From); At != std::string::npos;
       At = Text.find(From, At + To.size()))
    Text.replace(At, From.size(), To);
}

char zoneLetter(const std::string &Entry) { return Entry.at(6); }

bool isDesk(const std::string &Name) { return Name.starts_with("desk"); }

// Zone letters of the backend servers, in the order of backendServers().
constexpr std::string_view BackendZones = "abcab";

} // namespace

bool eventually(const std::function<bool()> &Condition,
                std::chrono::seconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return Condition();
}

const std::vector<std::string> &Deployment::entries() {
  static const std::vector<std::string> Names = {"entry-a", "entry-b",
                                                 "entry-c1", "entry-c2"};
  return Names;
}

const std::vector<std::string> &Deployment::backendServers() {
  static const std::vector<std::string> Names = {
      "engine-1", "engine-2", "engine-3", "desk-1", "desk-2"};
  return Names;
}

Deployment::Deployment(int Octet) : m_Octet(Octet) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "mangocart-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    throw std::runtime_error("cannot create a temporary folder");
  m_Folder = Template;
  for (const char *Subfolder : {"logs", "runs", "data", "settings"})
    std::filesystem::create_directories(m_Folder / Subfolder);
  const auto Address = [&](int Zone, int Host) {
    return fmt::format("127.{}.{}.{}", m_Octet, Zone, Host);
  };
  m_Addresses = {{"entry-a", Address(1, 1)},
                 {"entry-b", Address(2, 1)},
                 {"entry-c1", Address(3, 1)},
                 {"entry-c2", Address(3, 2)}};
  for (std::size_t I = 0; I < backendServers().size(); ++I)
    m_Addresses[backendServers()[I]] =
        Address(BackendZones[I] - 'a' + 1, 10 + static_cast<int>(I));
  const auto TokenFile = writeFile("admin.token", Token);
  std::filesystem::permissions(TokenFile,
                               std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write);
}

Deployment::~Deployment() {
  m_Processes.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Deployment::writeFile(const std::string &Name,
                                  const std::string &Text) const {
  const auto File = m_Folder / Name;
  std::ofstream(File) << Text;
  return File.string();
}

std::string Deployment::answers(unsigned Share) const {
  std::string Text = "policy_version = 1\ndeployment = \"test\"\n"
                     "weighs_more = \"step-skew\"\n";
  for (const char Zone : {'a', 'b', 'c'})
    Text += fmt::format(
        "[[availability_zones]]\nname = \"zone-{}\"\nregion = \"test\"\n",
        Zone);
  for (const std::string &Entry : entries())
    Text += fmt::format("[[entry_vms]]\nname = \"{}\"\navailability_zone = "
                        "\"zone-{}\"\naddress = \"{}\"\nhas_disk = {}\n",
                        Entry, zoneLetter(Entry), address(Entry),
                        Entry != "entry-c2");
  Text += "[[services]]\nname = \"assistant\"\nkind = \"engine-group\"\n"
          "replicas = 3\nresumes_streams = true\n"
          "[[services.routes]]\npath = \"/v1/drafts\"\n"
          "idempotent = true\nstreamed = true\ndeadline_ms = 60000\n"
          "[[services]]\nname = \"booking-desk\"\nkind = \"plain\"\n"
          "replicas = 2\n[[services.routes]]\npath = \"/bookings\"\n"
          "deadline_ms = 10000\n";
  Text +=
      fmt::format("[[customers]]\nname = \"families\"\nshare = {}\n", Share);
  return Text;
}

std::string Deployment::withLocalPaths(const std::string &File) const {
  std::string Text = readFile(File);
  replaceAll(Text, "/var/lib/mangocart", (m_Folder / "data").string());
  replaceAll(Text, "/var/log/mangocart", (m_Folder / "logs").string());
  replaceAll(Text, "/etc/mangocart/admin.token",
             (m_Folder / "admin.token").string());
  return Text;
}

void Deployment::launch(const std::string &Name, const std::string &Program,
                        const std::vector<std::string> &Arguments) {
  m_Processes[Name] = std::make_unique<ChildProcess>(
      programPath(Program), Arguments, (m_Folder / (Name + ".out")).string());
}

void Deployment::startEntry(const std::string &Name) {
  const auto Source = m_Folder / "init" / "entries" / (Name + ".toml");
  std::string Text = withLocalPaths(Source.string());
  if (m_EntryDrain)
    Text = fmt::format("drain_max_ms = {}\n", m_EntryDrain->count()) + Text;
  const auto File = writeFile("settings/" + Name + ".toml", Text);
  launch(Name, "mangocart-entry", {"--settings", File});
}

void Deployment::startAgent(const std::string &Name) {
  const auto &Names = backendServers();
  const auto Index = static_cast<std::size_t>(
      std::find(Names.begin(), Names.end(), Name) - Names.begin());
  const auto Source = m_Folder / "init" / "agents" /
                      fmt::format("zone-{}.toml", BackendZones[Index]);
  std::string Text = withLocalPaths(Source.string());
  replaceAll(Text, "@NAME@", Name);
  replaceAll(Text, "@SERVICE@", isDesk(Name) ? "booking-desk" : "assistant");
  replaceAll(Text, "@ADDRESS@", address(Name));
  const auto File = writeFile("settings/" + Name + ".toml", Text);
  launch(Name, "mangocart-agent", {"--settings", File});
}

void Deployment::startStandin(const std::string &Name, unsigned Slots) {
  launch("standin-" + Name, "mangocart-standin",
         {"--address", address(Name), "--port", std::to_string(BackendPort),
          "--kind", isDesk(Name) ? "plain" : "engine", "--name", Name,
          "--service-time-ms", "10", "--token-interval-ms", "5", "--slots",
          std::to_string(Slots), "--log",
          (m_Folder / "runs" / (Name + ".jsonl")).string(), "--order-log",
          (m_Folder / "runs" / (Name + ".orders")).string()});
}

void Deployment::start() {
  const std::string Answers = writeFile("answers.toml", answers(1));
  if (runCommand({"init", "--answers", Answers, "--out",
                  (m_Folder / "init").string()}) != 0)
    throw std::runtime_error("mangocart init failed");
  for (const std::string &Entry : entries())
    startEntry(Entry);
  for (const std::string &Name : backendServers()) {
    startStandin(Name);
    startAgent(Name);
  }
  const bool IsReady = eventually([&] {
    return servingCount("entry-c2") == backendServers().size() &&
           !leader("entry-a").empty();
  });
  if (!IsReady || !accept("entry-a", 1, "first-configuration"))
    throw std::runtime_error("the deployment did not start");
  const bool IsActive = eventually([&] {
    const auto Versions = versions("entry-c2");
    return Versions.size() == entries().size() + backendServers().size() &&
           std::all_of(Versions.begin(), Versions.end(),
                       [](const auto &Each) { return Each.second >= 1; });
  });
  if (!IsActive)
    throw std::runtime_error(
        "the first configuration did not reach every process");
}

void Deployment::kill(const std::string &Name) {
  process(Name).signal(SIGKILL);
  process(Name).wait(std::chrono::seconds(5));
}

void Deployment::eraseData(const std::string &Entry) const {
  std::filesystem::remove_all(m_Folder / "data" / Entry);
}

int Deployment::runCommand(const std::vector<std::string> &Arguments,
                           std::string *Output) const {
  const auto File =
      (m_Folder / fmt::format("operate-{}.out", ++m_Counter)).string();
  ChildProcess Child(programPath("mangocart"), Arguments, File);
  const auto Code = Child.wait(DefaultTimeout);
  if (Output)
    *Output = readFile(File);
  return Code.value_or(-1);
}

std::string Deployment::adminAddress(const std::string &Entry) const {
  return fmt::format("{}:{}", address(Entry), AdminPort);
}

std::string Deployment::plan(const std::string &Entry, unsigned Share) const {
  const int Number = ++m_Counter;
  const auto Answers =
      writeFile(fmt::format("answers-{}.toml", Number), answers(Share));
  auto Plan = (m_Folder / fmt::format("plan-{}.json", Number)).string();
  if (runCommand({"plan", "--answers", Answers, "--admin", adminAddress(Entry),
                  "--out", Plan}) != 0)
    return {};
  return Plan;
}

int Deployment::acceptPlan(const std::string &Entry,
                           const std::string &PlanFile,
                           const std::string &OperationId,
                           std::string *Output) const {
  std::vector<std::string> Arguments = {
      "accept",       PlanFile,
      "--admin",      adminAddress(Entry),
      "--token-file", (m_Folder / "admin.token").string()};
  if (!OperationId.empty())
    Arguments.insert(Arguments.end(), {"--operation-id", OperationId});
  return runCommand(Arguments, Output);
}

bool Deployment::accept(const std::string &Entry, unsigned Share,
                        const std::string &OperationId) const {
  std::string Plan;
  std::string LastOutput = "no plan";
  const bool Accepted =
      eventually([&] { return !(Plan = plan(Entry, Share)).empty(); }) &&
      eventually([&] {
        return acceptPlan(Entry, Plan, OperationId, &LastOutput) == 0;
      });
  // Reported here because the folder with all outputs is removed at the end.
  if (!Accepted)
    UNSCOPED_INFO("accept " << OperationId << " at " << Entry
                            << ": last output: " << LastOutput
                            << "; status of the entry: "
                            << boost::json::serialize(status(Entry)));
  return Accepted;
}

std::unique_ptr<ChildProcess>
Deployment::startOrder(const std::string &Entry,
                       const std::string &BackendServer,
                       const std::string &OrderId) const {
  const std::vector<std::string> Arguments = {
      "order",        BackendServer,
      "--kind",       "load",
      "--order-id",   OrderId,
      "--admin",      adminAddress(Entry),
      "--token-file", (m_Folder / "admin.token").string(),
      "--timeout-s",  "300"};
  return std::make_unique<ChildProcess>(
      programPath("mangocart"), Arguments,
      (m_Folder / ("order-" + OrderId + ".out")).string());
}

std::string Deployment::fileText(const std::string &Name) const {
  return readFile(m_Folder / Name);
}

boost::json::object Deployment::status(const std::string &Entry) const {
  std::string Output;
  if (runCommand({"status", "--admin", adminAddress(Entry), "--output", "json",
                  "--timeout-s", "5"},
                 &Output) != 0)
    return {};
  boost::system::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Output, Error);
  return !Error && Parsed.is_object() ? Parsed.as_object()
                                      : boost::json::object();
}

std::string Deployment::leader(const std::string &QueriedEntry) const {
  const boost::json::object Status = status(QueriedEntry);
  const auto *Log = Status.if_contains("log");
  return Log ? std::string(Log->at("leader").as_string()) : std::string();
}

std::map<std::string, std::uint64_t>
Deployment::versions(const std::string &Entry) const {
  std::map<std::string, std::uint64_t> Versions;
  const boost::json::object Status = status(Entry);
  if (const auto *Processes = Status.if_contains("processes"))
    for (const auto &Each : Processes->as_array())
      Versions[std::string(Each.at("process").as_string())] =
          Each.at("configuration_version").to_number<std::uint64_t>();
  return Versions;
}

std::size_t Deployment::servingCount(const std::string &Entry) const {
  std::size_t Count = 0;
  const boost::json::object Status = status(Entry);
  if (const auto *Servers = Status.if_contains("backend_servers"))
    for (const auto &Each : Servers->as_array())
      Count += Each.at("state").as_string() == "serving" &&
               Each.at("health").as_string() == "healthy";
  return Count;
}

long Deployment::metric(const std::string &Entry,
                        const std::string &Name) const {
  std::string Output;
  runCommand({"metrics", "--admin", adminAddress(Entry)}, &Output);
  std::istringstream Lines(Output);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name + " "))
      return std::stol(Line.substr(Name.size() + 1));
  return -1;
}

std::unique_ptr<ChildProcess>
Deployment::startLoad(const std::vector<std::string> &Entries,
                      const std::vector<std::string> &Arguments) {
  std::vector<std::string> All = {"--customers", "families", "--output",
                                  "json"};
  for (const std::string &Entry : Entries)
    All.insert(All.end(),
               {"--target", fmt::format("{}:{}", address(Entry), CallerPort)});
  for (const std::string &Name : backendServers())
    if (isDesk(Name))
      All.insert(All.end(),
                 {"--judge", (m_Folder / "runs" / (Name + ".jsonl")).string()});
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  std::filesystem::remove(m_Folder / "load.out");
  return std::make_unique<ChildProcess>(programPath("mangocart-load"), All,
                                        (m_Folder / "load.out").string());
}

LoadResult Deployment::finishLoad(ChildProcess &Load) const {
  LoadResult Result;
  Result.m_ExitCode = Load.wait(std::chrono::seconds(120)).value_or(-1);
  Result.m_Output = readFile(m_Folder / "load.out");
  boost::system::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Result.m_Output, Error);
  if (!Error && Parsed.is_object())
    Result.m_Report = Parsed.as_object();
  return Result;
}

} // namespace mangocart::test
