#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Entry/EntryDaemon.h"
#include "Settings/SettingsReader.h"

#include <iostream>

namespace mangocart {

ExitCode runEntry(int Argc, const char *const *Argv) {
  const DaemonCommandLine Line = parseDaemonCommandLine(
      Argc, Argv, "takes callers' requests and routes them to backend servers");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  auto Found =
      settingsOrReport(readEntrySettings, Line.m_Arguments->m_SettingsFile);
  if (!Found)
    return ExitCode::Usage;
  try {
    EntryDaemon Daemon(std::move(Found->m_Settings),
                       RuntimeClock::wallMilliseconds(), Found->m_Warnings);
    return Daemon.run();
  } catch (const StartFailure &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitCode::Failed;
  }
}

} // namespace mangocart
