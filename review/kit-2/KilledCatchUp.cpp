// A voter that was down catches up by a snapshot and is killed while it stores
// it. It has to start at every later start, as its disk is kept.
#include "Kit.h"

#include <csignal>
#include <filesystem>

#include <poll.h>
#include <sys/inotify.h>
#include <unistd.h>

using namespace review;

namespace {

constexpr unsigned Late = 2;
constexpr unsigned Other = 1;
constexpr unsigned MaxTries = 3;
constexpr unsigned ChangesWhileDown = 100;
constexpr Milliseconds ChangeGap(40);
constexpr Milliseconds PlatformRestartDelay(500);
constexpr Milliseconds ReadBackTime(15000);
// Traffic starts this long after the machines.
constexpr Milliseconds LeadTime(10000);

std::string filesOf(const std::string &Folder) {
  std::string Names;
  for (const auto &Each : std::filesystem::directory_iterator(Folder))
    Names += " " + Each.path().filename().string();
  return Names;
}

// Waits until a snapshot gets its final name in the folder.
class SnapshotWatch {
public:
  explicit SnapshotWatch(const std::string &Folder)
      : m_Watch(::inotify_init1(IN_CLOEXEC)) {
    ::inotify_add_watch(m_Watch, Folder.c_str(), IN_MOVED_TO);
  }
  ~SnapshotWatch() { ::close(m_Watch); }
  SnapshotWatch(const SnapshotWatch &) = delete;
  SnapshotWatch &operator=(const SnapshotWatch &) = delete;

  bool wait(Milliseconds Timeout) const {
    const auto Deadline = Clock::now() + Timeout;
    while (Clock::now() < Deadline) {
      pollfd Ready{m_Watch, POLLIN, 0};
      if (::poll(&Ready, 1, 100) != 1)
        continue;
      alignas(inotify_event) char Area[4096];
      const ssize_t Size = ::read(m_Watch, Area, sizeof(Area));
      for (ssize_t At = 0; At < Size;) {
        const auto *Event = reinterpret_cast<const inotify_event *>(Area + At);
        if (Event->len > 0 && std::string_view(Event->name) == "snapshot")
          return true;
        At += static_cast<ssize_t>(sizeof(inotify_event) + Event->len);
      }
    }
    return false;
  }

private:
  int m_Watch;
};

class Case {
public:
  explicit Case(Record &Log) : m_Log(Log), m_Deployment(61, 0, Log) {}

  Verdict run() {
    for (unsigned Voter = 0; Voter < 3; ++Voter)
      m_Deployment.startVoter(Voter, true);
    if (!change(std::chrono::seconds(15)) ||
        !waitFor(std::chrono::seconds(5), [&] { return hasNewest(Late); }))
      return notRun("the deployment did not start");
    std::this_thread::sleep_for(LeadTime);
    bool IsHit = false;
    for (unsigned Try = 0; Try < MaxTries && !IsHit; ++Try) {
      if (!fallBehind())
        return notRun("changes were not acknowledged by two of three voters");
      if (!hasTrouble()) {
        m_Deployment.startVoter(Late, false);
        break;
      }
      IsHit = killWhileCatchingUp();
    }
    if (hasTrouble() && !IsHit)
      return notRun("the voter was never killed while it stored a snapshot");
    if (hasTrouble())
      m_Deployment.startVoter(Late, false);
    if (!change(std::chrono::seconds(10)) ||
        !waitFor(std::chrono::seconds(10), [&] { return hasNewest(Late); }))
      return notRun("the voter did not get a change after its return");
    restart();
    const bool DoesStart = startsAgain();
    const bool IsRead = isReadWithoutOther();
    return DoesStart && IsRead ? Verdict::Held : Verdict::Broken;
  }

private:
  Verdict notRun(const std::string &Reason) {
    m_Log.write("not run: " + Reason);
    return Verdict::NotRun;
  }

  bool change(Milliseconds Timeout) {
    const std::string Document = makeConfiguration(m_Version + 1, {"desk"});
    if (!m_Deployment.putConfiguration(Document, Timeout))
      return false;
    ++m_Version;
    return true;
  }

  bool hasNewest(unsigned Voter) const {
    return m_Deployment.voterMetric(Voter, "mangocart_configuration_version") ==
           static_cast<double>(m_Version);
  }

  // The voter is down while the configuration changes.
  bool fallBehind() {
    m_Deployment.voter(Late).signal(SIGKILL);
    m_Deployment.voter(Late).waitForEnd(std::chrono::seconds(5));
    m_Log.write("kill voter-2; it is down while the configuration changes");
    for (unsigned I = 0; I < ChangesWhileDown; ++I) {
      if (!change(std::chrono::seconds(8)))
        return false;
      std::this_thread::sleep_for(ChangeGap);
    }
    m_Log.write("acknowledged up to version " + std::to_string(m_Version));
    return true;
  }

  // Returns whether the snapshot was stored and the log not yet.
  bool killWhileCatchingUp() {
    const std::string Folder = m_Deployment.dataFolder(Late);
    const std::string Before = filesOf(Folder);
    const SnapshotWatch Watch(Folder);
    m_Deployment.startVoter(Late, false);
    const bool IsSeen = Watch.wait(std::chrono::seconds(8));
    m_Deployment.voter(Late).signal(SIGKILL);
    m_Deployment.voter(Late).waitForEnd(std::chrono::seconds(5));
    const std::string After = filesOf(Folder);
    m_Log.write("kill voter-2 while it catches up; files before:" + Before +
                "; after:" + After);
    const auto LogOf = [](const std::string &Names) {
      const std::size_t At = Names.find("log-");
      return Names.substr(At, Names.find(' ', At) - At);
    };
    std::this_thread::sleep_for(PlatformRestartDelay);
    return IsSeen && LogOf(Before) == LogOf(After);
  }

  void restart() {
    m_Deployment.voter(Late).signal(SIGTERM);
    m_Deployment.voter(Late).waitForEnd(std::chrono::seconds(8));
    m_Log.write("planned stop of voter-2: exit status " +
                std::to_string(m_Deployment.voter(Late).exitStatus()));
  }

  // The platform restarts a process that ends.
  bool startsAgain() {
    for (unsigned Start = 0; Start < 4; ++Start) {
      std::this_thread::sleep_for(PlatformRestartDelay);
      m_Deployment.startVoter(Late, false);
      if (!m_Deployment.voter(Late).waitForEnd(std::chrono::seconds(3))) {
        m_Log.write("voter-2 runs 3 s after its start");
        return true;
      }
      m_Log.write("voter-2 ended by itself after its start: exit status " +
                  std::to_string(m_Deployment.voter(Late).exitStatus()));
    }
    return false;
  }

  // One of three machines with a disk may be lost.
  bool isReadWithoutOther() {
    if (!waitFor(std::chrono::seconds(4), [&] { return hasNewest(Late); }))
      m_Log.write("voter-2 doesn't have the newest version 4 s later");
    m_Deployment.voter(Other).signal(SIGKILL);
    m_Log.write("kill voter-1, which stays down");
    int Status = 0;
    unsigned Voter = 0;
    const std::string Expected =
        "{\"version\":" + std::to_string(m_Version) + ",";
    const bool IsRead = waitFor(ReadBackTime, [&] {
      const HttpAnswer Answer =
          call(m_Deployment.control(Voter), {"GET", "/config", {}, {}},
               std::chrono::seconds(1));
      Voter = Voter == 0 ? Late : 0;
      Status = Answer.m_Status != 0 ? Answer.m_Status : Status;
      return Answer.m_Status == 200 && Answer.m_Body.starts_with(Expected);
    });
    m_Log.write(IsRead ? "the newest configuration was read back"
                       : "the configuration was not read back in 15 s; last "
                         "status " +
                             std::to_string(Status));
    return IsRead;
  }

  Record &m_Log;
  Deployment m_Deployment;
  std::uint64_t m_Version = 0;
};

} // namespace

int main(int, char **Argv) {
  Record Log(std::string(Argv[1]) + "/record.txt");
  return runCase(Log, [&] { return Case(Log).run(); });
}
