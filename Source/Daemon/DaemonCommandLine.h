// The command line that both daemons share: --settings FILE, --help, --version.
#ifndef MANGOCART_DAEMON_DAEMONCOMMANDLINE_H
#define MANGOCART_DAEMON_DAEMONCOMMANDLINE_H

#include "Core/ExitCode.h"

#include <optional>
#include <string>

namespace mangocart {

struct DaemonArguments {
  std::string m_SettingsFile;
};

struct DaemonCommandLine {
  // Absent when the process should end with m_ExitCode.
  std::optional<DaemonArguments> m_Arguments;
  ExitCode m_ExitCode = ExitCode::Ok;
};

DaemonCommandLine parseDaemonCommandLine(int Argc, const char *const *Argv,
                                         const std::string &Purpose);

} // namespace mangocart

#endif
