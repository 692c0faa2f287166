// Command line and settings of the mangocart-agent program.
#include "Agent/AgentDaemon.h"
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Settings/SettingsReader.h"

namespace mangocart {

ExitCode runAgent(int Argc, const char *const *Argv) {
  const DaemonCommandLine CommandLine = parseDaemonCommandLine(
      Argc, Argv, "announces a backend server and forwards calls to it");
  if (!CommandLine.m_Arguments)
    return CommandLine.m_ExitCode;
  auto Loaded = settingsOrReport(readAgentSettings,
                                 CommandLine.m_Arguments->m_SettingsFile);
  if (!Loaded)
    return ExitCode::Usage;
  AgentDaemon Daemon(std::move(Loaded->m_Settings),
                     RuntimeClock::wallMilliseconds(), Loaded->m_Warnings);
  return Daemon.run();
}

} // namespace mangocart
