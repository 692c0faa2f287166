// Parts of the cases of the second review: child processes, a small HTTP client
// and server on loopback addresses, the settings of a small deployment, and the
// record of a run.
#ifndef MANGOCART_REVIEW_KIT_H
#define MANGOCART_REVIEW_KIT_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit status of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

// Whether the disruption takes place; TROUBLE=0 turns it off.
bool hasTrouble();

// Writes record.txt: one line for each thing sent, answered or run.
class Record {
public:
  explicit Record(const std::string &File);
  void write(const std::string &Line);
  // Milliseconds since the start of the run.
  static std::int64_t now();

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
};

// Plays a case, writes its verdict and returns it as the exit status.
int runCase(Record &Log, const std::function<Verdict()> &Play);

struct HttpRequest {
  std::string m_Method;
  std::string m_Target;
  // Names in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
};

struct HttpAnswer {
  // 0: no answer.
  int m_Status = 0;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
};

struct Endpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;
};

// Sends one request on a connection of its own.
HttpAnswer call(const Endpoint &To, const HttpRequest &Request,
                Milliseconds Timeout);

// A server with a thread for each connection, which it keeps open. An answer
// with status 0 closes the connection instead.
class HttpServer {
public:
  using Handler = std::function<HttpAnswer(const HttpRequest &)>;
  HttpServer(const Endpoint &At, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  void accept();
  void serve(int Socket);

  Handler m_OnRequest;
  int m_Listener = -1;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  std::vector<std::thread> m_Connections;
  std::vector<int> m_Sockets;
  std::thread m_Acceptor;
};

// A process that is killed at the latest by the destructor.
class Child {
public:
  Child(const std::string &Program, const std::vector<std::string> &Arguments,
        const std::string &LogFile);
  ~Child();
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void signal(int Number) const;
  // Whether the process still runs; collects its exit status otherwise.
  bool isRunning();
  bool waitForEnd(Milliseconds Timeout);
  // Exit status, or 128 and the number of the signal that ended it.
  int exitStatus() const { return m_ExitStatus; }

private:
  pid_t m_Pid = -1;
  int m_ExitStatus = -1;
};

// Returns a port that is free on all the addresses.
std::uint16_t findFreePort(const std::vector<std::string> &Addresses);

template <class Predicate>
bool waitFor(Milliseconds Timeout, Predicate Condition) {
  const auto Deadline = Clock::now() + Timeout;
  while (!Condition()) {
    if (Clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return true;
}

// Three voters and any number of gateways, each a process of the deploy file.
class Deployment {
public:
  // Octet: second number of all addresses.
  Deployment(int Octet, unsigned Gateways, Record &Log);
  ~Deployment();

  Endpoint control(unsigned Voter) const;
  Endpoint caller(unsigned Gateway) const;
  Endpoint health(unsigned Gateway) const;
  std::string dataFolder(unsigned Voter) const;
  std::string zone(unsigned Index) const;

  void startVoter(unsigned Voter, bool IsFirstStart);
  void startGateway(unsigned Gateway);
  Child &voter(unsigned Voter) { return *m_Voters.at(Voter); }
  Child &gateway(unsigned Gateway) { return *m_Gateways.at(Gateway); }

  // The value of a metric of a voter, or -1.
  double voterMetric(unsigned Voter, const std::string &Name) const;
  // Sends the configuration to the voters in turn, as the operator does, until
  // it is acknowledged.
  bool putConfiguration(const std::string &Document, Milliseconds Timeout);
  bool isReady(unsigned Gateway) const;

private:
  std::string writeSettings(const std::string &Name,
                            const std::string &Text) const;
  std::string seeds() const;

  Record &m_Log;
  int m_Octet;
  std::string m_Folder;
  std::uint16_t m_ControlPort = 0;
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_HealthPort = 0;
  std::uint16_t m_PeerPort = 0;
  std::uint16_t m_MetricsPort = 0;
  std::map<unsigned, std::unique_ptr<Child>> m_Voters;
  std::map<unsigned, std::unique_ptr<Child>> m_Gateways;
};

// A configuration with one host and one service per name; each service has the
// routes /NAME/safe/ (idempotent) and /NAME/unsafe/ (non_idempotent).
std::string makeConfiguration(std::uint64_t Version,
                              const std::vector<std::string> &Services);

} // namespace review

#endif
