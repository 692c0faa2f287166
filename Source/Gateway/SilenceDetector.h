// Detects engines whose machine has stopped or is unreachable while attempts
// wait for them. An engine is suspected if it sends no data for some time while
// others of its service do, and counts as silent if it does not respond to a
// probe either. A busy engine responds to probes, so a slow response alone does
// not count.
#ifndef MANGOCART_GATEWAY_SILENCEDETECTOR_H
#define MANGOCART_GATEWAY_SILENCEDETECTOR_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangocart {

struct SilenceOptions {
  // Minimum time without data: several passes of a busy rank group.
  Duration m_SuspectAfter = std::chrono::milliseconds(300);
  // Minimum time by which the last data of another server is newer.
  Duration m_LagBehindOthers = std::chrono::milliseconds(150);
  // Minimum time before a server that was probed is probed again.
  Duration m_ProbeInterval = std::chrono::seconds(1);

  bool operator==(const SilenceOptions &) const = default;
};

struct ProbedServer {
  std::string m_Service;
  // Attempts in flight; servers without any are removed.
  std::uint32_t m_Attempts = 0;
  // When the last data was received, or when the first attempt started after a
  // time without any.
  TimePoint m_LastActivity;
  TimePoint m_ProbedAt;
  bool m_ProbePending = false;

  bool operator==(const ProbedServer &) const = default;
};

struct SilenceDetector {
  SilenceOptions m_Options;
  // By server name.
  std::map<std::string, ProbedServer> m_Servers;
  // By service: when data was last received from any of its servers.
  std::map<std::string, TimePoint> m_LastServiceActivity;
};

void recordAttempt(SilenceDetector &Detector, const std::string &Server,
                   const std::string &Service, TimePoint Now);
void recordActivity(SilenceDetector &Detector, const std::string &Server,
                    TimePoint Now);
void recordAttemptEnd(SilenceDetector &Detector, const std::string &Server);

// Returns the servers to probe now; recordProbeResult() must follow for each.
std::vector<std::string> serversToProbe(SilenceDetector &Detector,
                                        TimePoint Now);

// Returns whether the server is silent: it did not respond to the probe, and no
// other data was received from it meanwhile.
bool recordProbeResult(SilenceDetector &Detector, const std::string &Server,
                       bool Responded, TimePoint Now);

} // namespace mangocart

#endif
