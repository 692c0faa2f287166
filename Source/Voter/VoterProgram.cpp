// Command line and settings of mangocart-voter.
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Daemon/StartFailure.h"
#include "Settings/SettingsReader.h"
#include "Voter/VoterDaemon.h"

#include <iostream>

namespace mangocart {

ExitCode runVoter(int Argc, const char *const *Argv,
                  const ControlProtocol &Protocol) {
  const DaemonCommandLine Line =
      parseDaemonCommandLine(Argc, Argv,
                             "keeps the configuration and the backend servers' "
                             "announcements");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  const std::string &File = Line.m_Arguments->m_SettingsFile;
  auto Found = settingsOrReport(readVoterSettings, File);
  if (!Found)
    return ExitCode::Usage;
  try {
    VoterDaemon Daemon(std::move(Found->m_Settings), File, Protocol);
    return Daemon.run();
  } catch (const StartFailure &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitCode::Failed;
  }
}

} // namespace mangocart
