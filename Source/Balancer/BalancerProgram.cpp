// Command line and settings of mangocart-balancer.
#include "Balancer/BalancerDaemon.h"
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Settings/SettingsReader.h"

namespace mangocart {

ExitCode runBalancer(int Argc, const char *const *Argv,
                     const CallerProtocol &Callers,
                     const EngineProtocol &Engines) {
  const DaemonCommandLine Line = parseDaemonCommandLine(
      Argc, Argv, "places the experts of the rank group of a replica");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  const std::string &File = Line.m_Arguments->m_SettingsFile;
  auto Found = settingsOrReport(readBalancerSettings, File);
  if (!Found)
    return ExitCode::Usage;
  BalancerDaemon Daemon(std::move(Found->m_Settings), File, Callers, Engines);
  return Daemon.run();
}

} // namespace mangocart
