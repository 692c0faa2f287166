// Outlier detection. Ejects stalled, slow and failing backend servers of a
// service from routing for a limited time, based on a comparison with the other
// servers, and ramps their traffic up again afterwards.
#ifndef MANGOCART_ROUTING_OUTLIERDETECTOR_H
#define MANGOCART_ROUTING_OUTLIERDETECTOR_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace mangocart {

struct OutlierDetectorOptions {
  // Maximum fraction of the service's servers ejected at once; at least one
  // server may be ejected unless the service has only one.
  double m_MaxEjectedFraction = 0.25;
  // A server is slow if its time per token is at least this many times the
  // median of the service.
  double m_SlowRatio = 3.0;
  // Weight of a new observation in the exponential moving averages.
  double m_SmoothingFactor = 0.2;
  // Minimum number of observations before the average of a server is used.
  std::uint32_t m_MinObservations = 5;
  // Failure rate from which a server is failing, provided that the median
  // server is below half of it.
  double m_FailureRateThreshold = 0.5;
  // A server with outstanding calls and no progress for this long is stalled,
  // provided that the median server with outstanding calls made progress within
  // half of it.
  Duration m_StallTimeout = std::chrono::seconds(3);
  // Duration of the first ejection; doubles with each consecutive one.
  Duration m_BaseEjectionTime = std::chrono::seconds(10);
  Duration m_MaxEjectionTime = std::chrono::minutes(5);
  // Time in which a server's traffic grows from m_InitialShare to its full
  // share after an ejection.
  Duration m_RampTime = std::chrono::seconds(20);
  double m_InitialShare = 0.1;
  // After this time without ejections the duration starts at m_BaseEjectionTime
  // again.
  Duration m_BackoffResetTime = std::chrono::minutes(5);

  bool operator==(const OutlierDetectorOptions &) const = default;
};

enum class EjectionCause { None, Stalled, Slow, Failing };

std::string_view toString(EjectionCause Cause);

// State of one backend server.
struct MonitoredServer {
  double m_SecondsPerToken = 0.0;
  std::uint32_t m_Observations = 0;
  double m_FailureRate = 0.0;
  std::uint32_t m_Calls = 0;
  std::uint32_t m_Outstanding = 0;
  // Time of the last token or answer, or of the first call after an idle
  // period.
  TimePoint m_LastProgress;
  EjectionCause m_Cause = EjectionCause::None;
  // End of the current or last ejection.
  TimePoint m_EjectedUntil;
  std::uint32_t m_ConsecutiveEjections = 0;

  bool operator==(const MonitoredServer &) const = default;
};

// The servers of one service, keyed by hash64() of their names.
struct OutlierDetector {
  std::map<std::uint64_t, MonitoredServer> m_Servers;

  bool operator==(const OutlierDetector &) const = default;
};

// An ejection or its end, for the event log.
struct EjectionChange {
  std::uint64_t m_BackendServer = 0;
  // None if the server is reinstated.
  EjectionCause m_Cause = EjectionCause::None;
  TimePoint m_Until;

  bool operator==(const EjectionChange &) const = default;
};

// Records a call sent to the server.
void recordStart(OutlierDetector &State, std::uint64_t BackendServer,
                 TimePoint Now);

// Records that tokens, or a complete answer, arrived from the server.
void recordProgress(OutlierDetector &State, std::uint64_t BackendServer,
                    TimePoint Now);

// Records the end of a call. Time and tokens of a failed call are ignored. For
// a call cancelled by the caller, pass 0 tokens and no failure: it affects
// neither average.
void recordEnd(OutlierDetector &State, std::uint64_t BackendServer, bool Failed,
               Duration Time, std::uint64_t Tokens,
               const OutlierDetectorOptions &Options, TimePoint Now);

// Removes a server that left or has a new incarnation.
void removeServer(OutlierDetector &State, std::uint64_t BackendServer);

// Ends expired ejections and ejects outliers; returns the changes. Call it
// several times within m_StallTimeout.
std::vector<EjectionChange>
updateEjections(OutlierDetector &State, const OutlierDetectorOptions &Options,
                TimePoint Now);

bool isEjected(const OutlierDetector &State, std::uint64_t BackendServer,
               TimePoint Now);

// Fraction of a healthy server's traffic, for ReplicaCandidate::m_TrafficShare.
double trafficShare(const OutlierDetector &State, std::uint64_t BackendServer,
                    const OutlierDetectorOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
