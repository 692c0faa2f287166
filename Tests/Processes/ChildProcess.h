// A program of the system run as a process of its own by a test.
#ifndef MANGOCART_TESTS_CHILDPROCESS_H
#define MANGOCART_TESTS_CHILDPROCESS_H

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mangocart::test {

class ChildProcess {
public:
  // Output goes to the file.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &OutputFile);
  // Ends the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number) const;
  // Exit code, or 128 and the number of the signal; none when it still runs
  // after the time.
  std::optional<int> wait(std::chrono::seconds Longest);
  bool running();

private:
  std::optional<int> poll();

  pid_t m_Pid = -1;
  std::optional<int> m_ExitCode;
};

} // namespace mangocart::test

#endif
