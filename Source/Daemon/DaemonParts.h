// What every daemon does alike: its listeners, its end, settings that change,
// the metrics page.
#ifndef MANGOCART_DAEMON_DAEMONPARTS_H
#define MANGOCART_DAEMON_DAEMONPARTS_H

#include "Core/WorkerPool.h"
#include "Daemon/ExitGate.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricRegistry.h"
#include "Settings/SettingsError.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

// Whether the listener is open; an event says why it is not. Listened is the
// result of HttpServer::listen or PeerServer::listen.
template <class Listened>
bool isListening(EventLog &Events, const Listened &Result) {
  if (Result.has_error())
    Events.write(Event::ListenFailed, {{"detail", Result.error().m_Detail}});
  return !Result.has_error();
}

// Sleeps until the gate opens; the workers have stopped when it returns.
ExitCode serveUntilExit(ExitGate &Gate, EventLog &Events, WorkerPool &Workers);

// The settings of a file that has changed, with an event either way; nothing
// when they have errors, and the ones in force stay then. Only for settings
// with seeds.
template <class Settings>
std::optional<Settings>
settingsAgain(Result<Settings, SettingsErrors> (*Parse)(const std::string &,
                                                        std::string_view,
                                                        SettingsWarnings &),
              const std::string &File, std::string_view Text,
              EventLog &Events) {
  // Deprecated keys were named at the start.
  SettingsWarnings Ignored;
  auto Read = Parse(File, Text, Ignored);
  if (Read.has_error()) {
    Events.write(Event::SettingsUnusable, {{"detail", toString(Read.error())}});
    return std::nullopt;
  }
  Events.write(Event::SettingsReloaded, {{"seeds", Read.value().seeds_size()}});
  return std::move(Read).value();
}

// For a port that has the metrics page only.
void answerMetrics(HttpExchange &Exchange, const MetricRegistry &Metrics);

} // namespace mangocart

#endif
