// Command line and settings of mangocart-gateway.
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Gateway/GatewayDaemon.h"
#include "Settings/SettingsReader.h"

namespace mangocart {

ExitCode runGateway(int Argc, const char *const *Argv,
                    const CallerProtocol &Protocol) {
  const DaemonCommandLine Line = parseDaemonCommandLine(
      Argc, Argv, "forwards callers' requests directly to backend servers");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  const std::string &File = Line.m_Arguments->m_SettingsFile;
  auto Found = settingsOrReport(readGatewaySettings, File);
  if (!Found)
    return ExitCode::Usage;
  GatewayDaemon Daemon(std::move(Found->m_Settings), File, Protocol);
  return Daemon.run();
}

} // namespace mangocart
