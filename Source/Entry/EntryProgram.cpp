// Command line, settings and token of mangocart-entry.
#include "Daemon/DaemonCommandLine.h"
#include "Daemon/SettingsOrExit.h"
#include "Entry/EntryDaemon.h"
#include "Http/BearerToken.h"
#include "Settings/SettingsReader.h"

#include <iostream>

namespace mangocart {

namespace {

// Absent when a token file is named and can't be used.
std::optional<std::string> readToken(const std::string &File) {
  if (File.empty())
    return std::string();
  auto Token = readTokenFile(File);
  if (!Token) {
    std::cerr << toString(Token.error()) << '\n';
    return std::nullopt;
  }
  if (!Token.value().m_Warning.empty())
    std::cerr << Token.value().m_Warning << '\n';
  return Token.value().m_Token;
}

} // namespace

int runEntry(int Argc, const char *const *Argv) {
  const DaemonCommandLine Line = parseDaemonCommandLine(
      Argc, Argv, "takes callers' requests and routes them to backend servers");
  if (!Line.m_Arguments)
    return Line.m_ExitCode;
  auto Settings =
      settingsOrReport(readEntrySettings, Line.m_Arguments->m_SettingsFile);
  if (!Settings)
    return ExitUsage;
  auto Token = readToken(Settings->admin_token_file());
  if (!Token)
    return ExitUsage;
  try {
    EntryDaemon Daemon(std::move(*Settings), RuntimeClock::wallMilliseconds(),
                       std::move(*Token));
    return Daemon.run();
  } catch (const StartFailure &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitFailed;
  }
}

} // namespace mangocart
