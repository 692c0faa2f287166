// Finds engines whose machine has stopped or is cut off while attempts wait
// there: nothing comes from one for a while although others of its service
// answer, nor a sign of life. A busy engine gives one, so a slow answer alone
// says nothing.
#ifndef MANGOCART_GATEWAY_SILENCEDETECTOR_H
#define MANGOCART_GATEWAY_SILENCEDETECTOR_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangocart {

struct SilenceOptions {
  // Nothing heard for so long: several passes of a busy rank group.
  Duration m_SuspectAfter = std::chrono::milliseconds(300);
  // Another server was heard that much later than the suspect one.
  Duration m_BehindOthers = std::chrono::milliseconds(150);
  // A server that gave a sign of life is not asked again sooner.
  Duration m_ProbeInterval = std::chrono::seconds(1);

  bool operator==(const SilenceOptions &) const = default;
};

struct WatchedServer {
  std::string m_Service;
  // Attempts under way; a server without any isn't kept.
  std::uint32_t m_Attempts = 0;
  // Last bytes, or the start of work after having none.
  TimePoint m_Heard;
  TimePoint m_ProbedAt;
  bool m_IsProbed = false;

  bool operator==(const WatchedServer &) const = default;
};

struct SilenceWatch {
  SilenceOptions m_Options;
  // By name.
  std::map<std::string, WatchedServer> m_Servers;
  // By service: when any of its servers was heard.
  std::map<std::string, TimePoint> m_ServiceHeard;
};

void noteAttempt(SilenceWatch &Watch, const std::string &Server,
                 const std::string &Service, TimePoint Now);
void noteHeard(SilenceWatch &Watch, const std::string &Server, TimePoint Now);
void noteAttemptOver(SilenceWatch &Watch, const std::string &Server);

// Servers that are to be asked for a sign of life now; noteProbe must follow
// for each.
std::vector<std::string> serversToProbe(SilenceWatch &Watch, TimePoint Now);

// Whether the server is silent: it gave no sign, and nothing was heard of it
// meanwhile.
bool noteProbe(SilenceWatch &Watch, const std::string &Server, bool Answered,
               TimePoint Now);

} // namespace mangocart

#endif
