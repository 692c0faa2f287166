// Test deployment of separate processes on loopback addresses: 3 zones, 3
// voters and an entry without a disk, 3 engine replicas and 2 booking desks.
#ifndef MANGOCART_TESTS_DEPLOYMENT_H
#define MANGOCART_TESTS_DEPLOYMENT_H

#include "Processes/ChildProcess.h"

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangocart::test {

inline constexpr std::chrono::seconds DefaultTimeout{40};

// Polls the condition; returns false if it doesn't become true before the
// timeout.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::seconds Timeout = DefaultTimeout);

struct LoadResult {
  // 0 if the load program found no violation.
  int m_ExitCode = -1;
  boost::json::object m_Report;
  std::string m_Output;
};

class Deployment {
public:
  // Addresses are 127.OCTET.zone.host; each test uses a different octet.
  explicit Deployment(int Octet);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  // Starts all processes, accepts the first configuration and waits until every
  // process has applied it.
  void start();

  // Longest drain of entries that are started from now on.
  void setEntryDrain(std::chrono::milliseconds Max) { m_EntryDrain = Max; }
  void startEntry(const std::string &Name);
  void startAgent(const std::string &Name);
  void startStandin(const std::string &Name, unsigned Slots = 64);
  ChildProcess &process(const std::string &Name) {
    return *m_Processes.at(Name);
  }
  // Ends the process with SIGKILL.
  void kill(const std::string &Name);
  void eraseData(const std::string &Entry) const;

  // Runs the mangocart command line program; returns its exit code.
  int runCommand(const std::vector<std::string> &Arguments,
                 std::string *Output = nullptr) const;
  // Plans a configuration with the given customer share and accepts it exactly
  // once: an attempt whose response is lost or late is retried with the same
  // operation id.
  bool accept(const std::string &Entry, unsigned Share,
              const std::string &OperationId) const;
  // Writes a plan to a file, to be accepted later; returns its path, or an
  // empty string if planning fails.
  std::string plan(const std::string &Entry, unsigned Share) const;
  int acceptPlan(const std::string &Entry, const std::string &PlanFile,
                 const std::string &OperationId, std::string *Output) const;

  // Starts the command that sends an order for a backend server to the entry.
  std::unique_ptr<ChildProcess> startOrder(const std::string &Entry,
                                           const std::string &BackendServer,
                                           const std::string &OrderId) const;
  // Returns the content of a file in the deployment's folder; empty if there is
  // none.
  std::string fileText(const std::string &Name) const;

  // Returns the status reported by the entry; empty if it doesn't respond.
  boost::json::object status(const std::string &Entry) const;
  std::string leader(const std::string &QueriedEntry) const;
  // Returns the active configuration version of each process, as reported by
  // the entry.
  std::map<std::string, std::uint64_t> versions(const std::string &Entry) const;
  std::size_t servingCount(const std::string &Entry) const;
  // Returns a counter or gauge without labels of the entry; -1 if it isn't
  // exposed.
  long metric(const std::string &Entry, const std::string &Name) const;

  // Starts the load program against the entries. It checks each response and,
  // at its end, the run logs of the booking desks.
  std::unique_ptr<ChildProcess>
  startLoad(const std::vector<std::string> &Entries,
            const std::vector<std::string> &Arguments);
  LoadResult finishLoad(ChildProcess &Load) const;

  std::string address(const std::string &Name) const {
    return m_Addresses.at(Name);
  }
  std::filesystem::path folder() const { return m_Folder; }
  static const std::vector<std::string> &entries();
  static const std::vector<std::string> &backendServers();

private:
  std::string answers(unsigned Share) const;
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  std::string withLocalPaths(const std::string &File) const;
  void launch(const std::string &Name, const std::string &Program,
              const std::vector<std::string> &Arguments);
  std::string adminAddress(const std::string &Entry) const;

  const int m_Octet;
  std::optional<std::chrono::milliseconds> m_EntryDrain;
  std::filesystem::path m_Folder;
  std::map<std::string, std::string> m_Addresses;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  // Commands may run on several threads.
  mutable std::atomic<int> m_Counter{0};
};

} // namespace mangocart::test

#endif
