// Starts child processes, sends them signals and waits for their exit.
#include "Processes/ChildProcess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace mangocart::test {

namespace {
constexpr std::chrono::milliseconds PollInterval{20};
constexpr int SignalExitBase = 128;
constexpr int FileMode = 0644;
} // namespace

std::string programPath(const std::string &Name) {
  const char *Folder = std::getenv("MANGOCART_PROGRAMS");
  return std::string(Folder ? Folder : MANGOCART_PROGRAM_DIR) + "/" + Name;
}

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           const std::string &OutputFile) {
  std::vector<char *> Argv = {const_cast<char *>(Program.c_str())};
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, OutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, FileMode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  const int SpawnError = posix_spawn(&m_Pid, Program.c_str(), &Actions, nullptr,
                                     Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (SpawnError)
    throw std::runtime_error("cannot start " + Program);
}

ChildProcess::~ChildProcess() {
  if (!isRunning())
    return;
  signal(SIGKILL);
  wait(std::chrono::seconds(5));
}

void ChildProcess::signal(int SignalNumber) const {
  if (!m_ExitCode)
    ::kill(m_Pid, SignalNumber);
}

std::optional<int> ChildProcess::poll() {
  int Status = 0;
  if (!m_ExitCode && ::waitpid(m_Pid, &Status, WNOHANG) == m_Pid)
    m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalExitBase + WTERMSIG(Status);
  return m_ExitCode;
}

std::optional<int> ChildProcess::wait(std::chrono::seconds Timeout) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!poll() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(PollInterval);
  return m_ExitCode;
}

bool ChildProcess::isRunning() { return !poll(); }

void ChildProcess::suspend() const {
  signal(SIGSTOP);
  siginfo_t Stopped{};
  ::waitid(P_PID, static_cast<id_t>(m_Pid), &Stopped,
           WSTOPPED | WEXITED | WNOWAIT);
}

std::uint64_t ChildProcess::peakMemory() const {
  constexpr std::uint64_t BytesPerKilobyte = 1024;
  std::ifstream Status("/proc/" + std::to_string(m_Pid) + "/status");
  for (std::string Line; std::getline(Status, Line);) {
    constexpr std::string_view Name("VmHWM:");
    if (Line.starts_with(Name))
      return std::stoull(Line.substr(Name.size())) * BytesPerKilobyte;
  }
  return 0;
}

} // namespace mangocart::test
