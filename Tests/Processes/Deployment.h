// A small deployment as separate processes on loopback addresses: 3 zones, 3
// voters and an entry without a disk, 3 engine replicas and 2 booking desks.
#ifndef MANGOCART_TESTS_DEPLOYMENT_H
#define MANGOCART_TESTS_DEPLOYMENT_H

#include "Processes/ChildProcess.h"

#include <boost/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangocart::test {

inline constexpr std::chrono::seconds Patience{40};

// True once the condition holds; false when it does not within the time.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::seconds Longest = Patience);

struct LoadResult {
  // 0: no promise was broken.
  int m_ExitCode = -1;
  boost::json::object m_Report;
  std::string m_Output;
};

class Deployment {
public:
  // Addresses are 127.OCTET.z.n; one octet a test.
  explicit Deployment(int Octet);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  // Starts everything, accepts the first configuration, waits until every
  // process has it.
  void start();

  void startEntry(const std::string &Name);
  void startAgent(const std::string &Name);
  void startStandin(const std::string &Name, unsigned Slots = 64);
  ChildProcess &process(const std::string &Name) {
    return *m_Processes.at(Name);
  }
  // Ends the process without notice.
  void kill(const std::string &Name);
  void eraseData(const std::string &Entry) const;

  // Runs the operators' program; returns its exit code.
  int operate(const std::vector<std::string> &Arguments,
              std::string *Output = nullptr) const;
  // Plans the answers with another share for one customer and accepts them,
  // once: a try whose answer is lost or late is repeated under the same id.
  bool accept(const std::string &Entry, unsigned Share,
              const std::string &OperationId) const;
  // Plans into a file, for an acceptance later on.
  std::string plan(const std::string &Entry, unsigned Share) const;
  int acceptPlan(const std::string &Entry, const std::string &PlanFile,
                 const std::string &OperationId, std::string *Output) const;

  // Gives an order to a backend server at the entry.
  std::unique_ptr<ChildProcess> startOrder(const std::string &Entry,
                                           const std::string &BackendServer,
                                           const std::string &OrderId) const;
  // Whole text of a file of the deployment; empty when there is none.
  std::string text(const std::string &Name) const;

  // The status as the entry shows it; empty when it doesn't answer.
  boost::json::object status(const std::string &Entry) const;
  std::string leader(const std::string &AskedEntry) const;
  // Versions in force by process, as the entry shows them.
  std::map<std::string, std::uint64_t> versions(const std::string &Entry) const;
  std::size_t serving(const std::string &Entry) const;
  // A counter or gauge without labels of the entry; -1 when it isn't shown.
  long metric(const std::string &Entry, const std::string &Name) const;

  // Starts the load program against the entries; it checks each answer and, at
  // its end, the booking desks' own logs.
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
  std::string localised(const std::string &File) const;
  void launch(const std::string &Name, const std::string &Program,
              const std::vector<std::string> &Arguments);
  std::string adminOf(const std::string &Entry) const;

  const int m_Octet;
  std::filesystem::path m_Folder;
  std::map<std::string, std::string> m_Addresses;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  mutable int m_Counter = 0;
};

} // namespace mangocart::test

#endif
