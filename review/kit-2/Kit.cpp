// Sockets, processes and settings files.
#include "Kit.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr unsigned VoterCount = 3;
constexpr int SignalStatusBase = 128;

const Clock::time_point RunStart = Clock::now();

sockaddr_in addressOf(const Endpoint &At) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(At.m_Port);
  ::inet_pton(AF_INET, At.m_Address.c_str(), &Out.sin_addr);
  return Out;
}

int millisecondsUntil(Clock::time_point Deadline) {
  const auto Left =
      std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(0, Left.count()));
}

int connectTo(const Endpoint &To, Clock::time_point Deadline) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(To);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0 &&
      errno != EINPROGRESS) {
    ::close(Socket);
    return -1;
  }
  pollfd Wait{Socket, POLLOUT, 0};
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::poll(&Wait, 1, millisecondsUntil(Deadline)) != 1 ||
      ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0) {
    ::close(Socket);
    return -1;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

bool sendAll(int Socket, std::string_view Bytes, Clock::time_point Deadline) {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent > 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    pollfd Wait{Socket, POLLOUT, 0};
    if ((errno != EAGAIN && errno != EWOULDBLOCK) ||
        ::poll(&Wait, 1, millisecondsUntil(Deadline)) != 1)
      return false;
  }
  return true;
}

// Appends what has arrived; returns false at the end of the connection or of
// the time.
bool receiveMore(int Socket, std::string &Into, Clock::time_point Deadline) {
  pollfd Wait{Socket, POLLIN, 0};
  if (::poll(&Wait, 1, millisecondsUntil(Deadline)) != 1)
    return false;
  char Area[16384];
  const ssize_t Size = ::recv(Socket, Area, sizeof(Area), 0);
  if (Size <= 0)
    return false;
  Into.append(Area, static_cast<std::size_t>(Size));
  return true;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string trim(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t\r");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

struct Head {
  std::string m_FirstLine;
  std::map<std::string, std::string> m_Headers;
};

Head parseHead(const std::string &Text) {
  Head Out;
  std::istringstream Lines(Text);
  std::getline(Lines, Out.m_FirstLine);
  Out.m_FirstLine = trim(Out.m_FirstLine);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos)
      Out.m_Headers[lowerCase(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
  }
  return Out;
}

// Reads a head and a body with Content-Length or in chunks.
bool receiveMessage(int Socket, std::string &Buffer, Head &Into,
                    std::string &Body, Clock::time_point Deadline) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(Socket, Buffer, Deadline))
      return false;
  Into = parseHead(Buffer.substr(0, End));
  Buffer.erase(0, End + 4);
  Body.clear();
  if (Into.m_Headers.contains("transfer-encoding")) {
    while (true) {
      std::size_t Line = 0;
      while ((Line = Buffer.find("\r\n")) == std::string::npos)
        if (!receiveMore(Socket, Buffer, Deadline))
          return false;
      const std::size_t Size = std::stoul(Buffer.substr(0, Line), nullptr, 16);
      while (Buffer.size() < Line + 2 + Size + 2)
        if (!receiveMore(Socket, Buffer, Deadline))
          return false;
      Body.append(Buffer, Line + 2, Size);
      Buffer.erase(0, Line + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }
  std::size_t Length = 0;
  if (const auto Found = Into.m_Headers.find("content-length");
      Found != Into.m_Headers.end())
    Length = std::stoul(Found->second);
  while (Buffer.size() < Length)
    if (!receiveMore(Socket, Buffer, Deadline))
      return false;
  Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

std::string encodeRequest(const HttpRequest &Request, const Endpoint &To) {
  std::ostringstream Out;
  Out << Request.m_Method << " " << Request.m_Target << " HTTP/1.1\r\n";
  if (!Request.m_Headers.contains("host"))
    Out << "host: " << To.m_Address << "\r\n";
  for (const auto &[Name, Value] : Request.m_Headers)
    Out << Name << ": " << Value << "\r\n";
  if (!Request.m_Body.empty() || Request.m_Method != "GET")
    Out << "content-length: " << Request.m_Body.size() << "\r\n";
  Out << "\r\n" << Request.m_Body;
  return Out.str();
}

std::string encodeAnswer(const HttpAnswer &Answer) {
  std::ostringstream Out;
  Out << "HTTP/1.1 " << Answer.m_Status << " status\r\n";
  for (const auto &[Name, Value] : Answer.m_Headers)
    Out << Name << ": " << Value << "\r\n";
  Out << "content-length: " << Answer.m_Body.size() << "\r\n\r\n"
      << Answer.m_Body;
  return Out.str();
}

std::string programFolder() {
  const char *Folder = std::getenv("REVIEW_PROGRAMS");
  return Folder ? Folder : "target/bin";
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string_view(Value) != "0";
}

Record::Record(const std::string &File) : m_Out(File) {}

std::int64_t Record::now() {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - RunStart)
      .count();
}

void Record::write(const std::string &Line) {
  const std::lock_guard Lock(m_Mutex);
  m_Out << now() << " ms: " << Line << std::endl;
}

int runCase(Record &Log, const std::function<Verdict()> &Play) {
  Verdict Result = Verdict::NotRun;
  try {
    Result = Play();
  } catch (const std::exception &Error) {
    Log.write(std::string("not run: ") + Error.what());
  }
  Log.write(Result == Verdict::Held     ? "the rule held"
            : Result == Verdict::Broken ? "the rule was broken"
                                        : "the case could not run");
  return static_cast<int>(Result);
}

HttpAnswer call(const Endpoint &To, const HttpRequest &Request,
                Milliseconds Timeout) {
  const auto Deadline = Clock::now() + Timeout;
  HttpAnswer Answer;
  const int Socket = connectTo(To, Deadline);
  if (Socket < 0)
    return Answer;
  std::string Buffer;
  Head Received;
  if (sendAll(Socket, encodeRequest(Request, To), Deadline) &&
      receiveMessage(Socket, Buffer, Received, Answer.m_Body, Deadline)) {
    std::istringstream Line(Received.m_FirstLine);
    std::string Version;
    Line >> Version >> Answer.m_Status;
    Answer.m_Headers = std::move(Received.m_Headers);
  }
  ::close(Socket);
  return Answer;
}

HttpServer::HttpServer(const Endpoint &At, Handler OnRequest)
    : m_OnRequest(std::move(OnRequest)) {
  m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = addressOf(At);
  if (::bind(m_Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(m_Listener, 256) != 0)
    throw std::runtime_error("cannot listen on " + At.m_Address);
  m_Acceptor = std::thread([this] { accept(); });
}

HttpServer::~HttpServer() {
  m_Stopping = true;
  ::shutdown(m_Listener, SHUT_RDWR);
  m_Acceptor.join();
  {
    const std::lock_guard Lock(m_Mutex);
    for (const int Socket : m_Sockets)
      ::shutdown(Socket, SHUT_RDWR);
  }
  for (std::thread &Each : m_Connections)
    Each.join();
  for (const int Socket : m_Sockets)
    ::close(Socket);
  ::close(m_Listener);
}

void HttpServer::accept() {
  while (!m_Stopping) {
    const int Socket = ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const std::lock_guard Lock(m_Mutex);
    m_Sockets.push_back(Socket);
    m_Connections.emplace_back([this, Socket] { serve(Socket); });
  }
}

void HttpServer::serve(int Socket) {
  constexpr std::chrono::hours Forever(1);
  std::string Buffer;
  Head Received;
  HttpRequest Request;
  while (!m_Stopping && receiveMessage(Socket, Buffer, Received, Request.m_Body,
                                       Clock::now() + Forever)) {
    std::istringstream Line(Received.m_FirstLine);
    Line >> Request.m_Method >> Request.m_Target;
    Request.m_Headers = Received.m_Headers;
    const HttpAnswer Answer = m_OnRequest(Request);
    if (Answer.m_Status == 0 ||
        !sendAll(Socket, encodeAnswer(Answer), Clock::now() + Forever))
      break;
  }
  ::shutdown(Socket, SHUT_RDWR);
}

Child::Child(const std::string &Program,
             const std::vector<std::string> &Arguments,
             const std::string &LogFile) {
  std::vector<char *> Argv{const_cast<char *>(Program.c_str())};
  for (const std::string &Each : Arguments)
    Argv.push_back(const_cast<char *>(Each.c_str()));
  Argv.push_back(nullptr);
  m_Pid = ::fork();
  if (m_Pid != 0)
    return;
  const int Log =
      ::open(LogFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::execv(Program.c_str(), Argv.data());
  ::_exit(127);
}

Child::~Child() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  signal(SIGCONT);
  waitForEnd(std::chrono::seconds(5));
}

void Child::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

bool Child::isRunning() {
  if (m_Pid <= 0)
    return false;
  int Status = 0;
  if (::waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return true;
  m_Pid = -1;
  m_ExitStatus = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalStatusBase + WTERMSIG(Status);
  return false;
}

bool Child::waitForEnd(Milliseconds Timeout) {
  return waitFor(Timeout, [&] { return !isRunning(); });
}

std::uint16_t findFreePort(const std::vector<std::string> &Addresses) {
  constexpr std::uint16_t FirstPort = 20000;
  constexpr std::uint16_t LastPort = 30000;
  static std::uint16_t Next =
      static_cast<std::uint16_t>(FirstPort + ::getpid() % 8000);
  for (; Next < LastPort; ++Next) {
    const bool IsFree = std::all_of(
        Addresses.begin(), Addresses.end(), [](const std::string &Each) {
          const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          const sockaddr_in Address = addressOf({Each, Next});
          const bool Bound =
              ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
                     sizeof(Address)) == 0;
          ::close(Socket);
          return Bound;
        });
    if (IsFree)
      return Next++;
  }
  throw std::runtime_error("no free port");
}

Deployment::Deployment(int Octet, unsigned Gateways, Record &Log)
    : m_Log(Log), m_Octet(Octet) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    throw std::runtime_error("cannot create a temporary folder");
  m_Folder = Template;
  std::vector<std::string> Addresses;
  for (unsigned Voter = 0; Voter < VoterCount; ++Voter)
    Addresses.push_back(control(Voter).m_Address);
  for (unsigned Gateway = 0; Gateway < Gateways; ++Gateway)
    Addresses.push_back(caller(Gateway).m_Address);
  m_ControlPort = findFreePort(Addresses);
  m_CallerPort = findFreePort(Addresses);
  m_HealthPort = findFreePort(Addresses);
  m_PeerPort = findFreePort(Addresses);
  m_MetricsPort = findFreePort(Addresses);
}

Deployment::~Deployment() {
  m_Gateways.clear();
  m_Voters.clear();
  std::error_code Ignored;
  if (!std::getenv("REVIEW_KEEP"))
    std::filesystem::remove_all(m_Folder, Ignored);
}

Endpoint Deployment::control(unsigned Voter) const {
  return {"127." + std::to_string(m_Octet) + ".0." + std::to_string(Voter + 1),
          m_ControlPort};
}

Endpoint Deployment::caller(unsigned Gateway) const {
  return {"127." + std::to_string(m_Octet) + ".1." +
              std::to_string(Gateway + 1),
          m_CallerPort};
}

Endpoint Deployment::health(unsigned Gateway) const {
  return {caller(Gateway).m_Address, m_HealthPort};
}

std::string Deployment::dataFolder(unsigned Voter) const {
  return m_Folder + "/data-" + std::to_string(Voter);
}

std::string Deployment::zone(unsigned Index) const {
  return "zone-" + std::string(1, static_cast<char>('a' + Index % 3));
}

std::string Deployment::writeSettings(const std::string &Name,
                                      const std::string &Text) const {
  const std::string File = m_Folder + "/" + Name + ".toml";
  std::ofstream(File) << Text;
  return File;
}

std::string Deployment::seeds() const {
  std::string Out;
  for (unsigned Voter = 0; Voter < VoterCount; ++Voter)
    Out += (Voter ? ", \"" : "\"") + control(Voter).m_Address + ":" +
           std::to_string(m_ControlPort) + "\"";
  return "seeds = [" + Out + "]\n";
}

void Deployment::startVoter(unsigned Voter, bool IsFirstStart) {
  const std::string Name = "voter-" + std::to_string(Voter);
  std::filesystem::create_directories(dataFolder(Voter));
  std::ostringstream Text;
  Text << "name = \"" << Name << "\"\navailability_zone = \"" << zone(Voter)
       << "\"\ncontrol_endpoint = \"" << control(Voter).m_Address << ":"
       << m_ControlPort << "\"\npeer_port = " << m_PeerPort
       << "\nmetrics_port = " << m_MetricsPort << "\n"
       << seeds() << "first_start = " << (IsFirstStart ? "true" : "false")
       << "\ndata_folder = \"" << dataFolder(Voter)
       << "\"\ntolerated_losses = 1\nannounce_interval_ms = 1200\n"
       << "availability_zones = [\"zone-a\", \"zone-b\", \"zone-c\"]\n";
  m_Log.write("start " + Name);
  m_Voters[Voter] = std::make_unique<Child>(
      programFolder() + "/mangocart-voter",
      std::vector<std::string>{"--settings", writeSettings(Name, Text.str())},
      m_Folder + "/" + Name + ".log");
}

void Deployment::startGateway(unsigned Gateway) {
  const std::string Name = "gateway-" + std::to_string(Gateway);
  std::ostringstream Text;
  Text << "name = \"" << Name << "\"\navailability_zone = \"" << zone(Gateway)
       << "\"\ncaller_endpoint = \"" << caller(Gateway).m_Address << ":"
       << m_CallerPort << "\"\nhealth_endpoint = \""
       << health(Gateway).m_Address << ":" << m_HealthPort
       << "\"\npeer_port = " << m_PeerPort
       << "\nmetrics_port = " << m_MetricsPort << "\n"
       << seeds()
       << "announce_interval_ms = 1200\nretry_ratio = 0.2\n"
          "retry_slack = 88\nretry_window_ms = \"10 s\"\n"
          "drain_max_ms = \"8 s\"\n";
  m_Log.write("start " + Name);
  m_Gateways[Gateway] = std::make_unique<Child>(
      programFolder() + "/mangocart-gateway",
      std::vector<std::string>{"--settings", writeSettings(Name, Text.str())},
      m_Folder + "/" + Name + ".log");
}

double Deployment::voterMetric(unsigned Voter, const std::string &Name) const {
  const HttpAnswer Answer =
      call({control(Voter).m_Address, m_MetricsPort},
           {"GET", "/metrics", {}, {}}, Milliseconds(500));
  std::istringstream Lines(Answer.m_Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name + " "))
      return std::stod(Line.substr(Name.size() + 1));
  return -1;
}

bool Deployment::putConfiguration(const std::string &Document,
                                  Milliseconds Timeout) {
  unsigned Voter = 0;
  return waitFor(Timeout, [&] {
    const HttpAnswer Answer = call(
        control(Voter++ % VoterCount),
        {"PUT", "/config", {{"content-type", "application/json"}}, Document},
        Milliseconds(1000));
    return Answer.m_Status == 200;
  });
}

bool Deployment::isReady(unsigned Gateway) const {
  return call(health(Gateway), {"GET", "/ready", {}, {}}, Milliseconds(500))
             .m_Status == 200;
}

std::string makeConfiguration(std::uint64_t Version,
                              const std::vector<std::string> &Services) {
  std::string Routes;
  std::string Listed;
  for (const std::string &Each : Services) {
    for (const auto &[Path, Kind] : {std::pair{"safe", "idempotent"},
                                     std::pair{"unsafe", "non_idempotent"}})
      Routes += (Routes.empty() ? "" : ",") + std::string(R"({"name":")") +
                Each + "-" + Path +
                R"(","host":"test.example","path_prefix":"/)" + Each + "/" +
                Path + R"(/","route_type":")" + Kind +
                R"(","timeout_ms":800,"target_latency_ms":300,"priority":1,)"
                R"("service":")" +
                Each + R"(","max_attempts":2,"public":true})";
    Listed += (Listed.empty() ? "" : ",") + std::string(R"({"name":")") + Each +
              R"(","health_path":"/health","max_connections":96,)"
              R"("protocol":"h1","tls":false})";
  }
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Routes + R"(],"services":[)" + Listed +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

} // namespace review
