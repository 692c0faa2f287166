// The command line that both daemons share: --settings FILE, --help, --version.
#ifndef MANGOCART_DAEMON_DAEMONCOMMANDLINE_H
#define MANGOCART_DAEMON_DAEMONCOMMANDLINE_H

#include <optional>
#include <string>

namespace mangocart {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

struct DaemonArguments {
  std::string m_SettingsFile;
};

struct DaemonCommandLine {
  // Absent when the process should end with m_ExitCode.
  std::optional<DaemonArguments> m_Arguments;
  int m_ExitCode = ExitOk;
};

DaemonCommandLine parseDaemonCommandLine(int Argc, const char *const *Argv,
                                         const std::string &Purpose);

} // namespace mangocart

#endif
