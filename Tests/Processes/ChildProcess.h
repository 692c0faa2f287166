// A mangocart program that a test runs as a child process.
#ifndef MANGOCART_TESTS_CHILDPROCESS_H
#define MANGOCART_TESTS_CHILDPROCESS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mangocart::test {

// Path of a program of this build, or of the build whose folder of programs is
// in MANGOCART_PROGRAMS.
std::string programPath(const std::string &Name);

class ChildProcess {
public:
  // Standard output and standard error are appended to the file.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &OutputFile);
  // Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int SignalNumber) const;
  // Suspends the process. On return none of its threads runs; after the signal
  // alone, some may go on for a while on a busy machine.
  void suspend() const;
  // Returns the exit code, or 128 plus the signal number; no value if the
  // process is still running after the timeout.
  std::optional<int> wait(std::chrono::seconds Timeout);
  bool isRunning();
  // The largest resident memory so far, in bytes; 0 if the process has ended.
  std::uint64_t peakMemory() const;

private:
  std::optional<int> poll();

  pid_t m_Pid = -1;
  std::optional<int> m_ExitCode;
};

} // namespace mangocart::test

#endif
