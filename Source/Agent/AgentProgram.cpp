// Command line and settings of mangocart-agent.
#include "Agent/AgentDaemon.h"
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Settings/SettingsReader.h"

namespace mangocart {

ExitCode runAgent(int Argc, const char *const *Argv) {
  const DaemonCommandLine Line = parseDaemonCommandLine(
      Argc, Argv, "announces a backend server and carries every call to it");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  auto Found =
      settingsOrReport(readAgentSettings, Line.m_Arguments->m_SettingsFile);
  if (!Found)
    return ExitCode::Usage;
  AgentDaemon Daemon(std::move(Found->m_Settings),
                     RuntimeClock::wallMilliseconds(), Found->m_Warnings);
  return Daemon.run();
}

} // namespace mangocart
