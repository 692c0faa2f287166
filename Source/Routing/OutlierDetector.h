// Takes stalled, slow and failing backend servers of a service out of routing,
// judged against their peers, for a time, and brings them back slowly.
#ifndef MANGOCART_ROUTING_OUTLIERDETECTOR_H
#define MANGOCART_ROUTING_OUTLIERDETECTOR_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace mangocart {

struct EjectionOptions {
  // Largest part of the service's servers that is ejected at once, one server
  // at least (unless the service has only one).
  double m_MaxPart = 0.25;
  // A server is slow when its time per token is this many times the median of
  // the service.
  double m_SlowRatio = 3.0;
  // Weight of a new observation in the running means.
  double m_MeanWeight = 0.2;
  // Observations before the mean of a server counts.
  std::uint32_t m_LeastObservations = 5;
  // Running part of failed calls from which a server counts as failing, if the
  // median server is below half of it.
  double m_FailurePart = 0.5;
  // No progress for so long with work outstanding: stalled, if the median
  // server with work made progress in half of the time.
  Duration m_StallAfter = std::chrono::seconds(3);
  // First ejection; doubles with each that follows soon after.
  Duration m_BaseTime = std::chrono::seconds(10);
  Duration m_LongestTime = std::chrono::minutes(5);
  // Time from m_FirstShare to a whole share after an ejection.
  Duration m_RampTime = std::chrono::seconds(20);
  double m_FirstShare = 0.1;
  // Without ejections for so long, the next one is of the first length again.
  Duration m_ForgiveAfter = std::chrono::minutes(5);

  bool operator==(const EjectionOptions &) const = default;
};

enum class EjectionCause { None, Stalled, Slow, Failing };

std::string_view toString(EjectionCause Cause);

// State of one backend server.
struct JudgedServer {
  double m_SecondsPerToken = 0.0;
  std::uint32_t m_Observations = 0;
  double m_FailurePart = 0.0;
  std::uint32_t m_Calls = 0;
  std::uint32_t m_Outstanding = 0;
  // Last token, answer or start of work after having none.
  TimePoint m_Progress;
  EjectionCause m_Cause = EjectionCause::None;
  // End of the present or last ejection.
  TimePoint m_EjectedUntil;
  // Ejections in a row.
  std::uint32_t m_InRow = 0;

  bool operator==(const JudgedServer &) const = default;
};

// The servers of one service, by hash64() of their names.
struct Ejection {
  std::map<std::uint64_t, JudgedServer> m_Servers;

  bool operator==(const Ejection &) const = default;
};

// An ejection or its end, for the log.
struct EjectionChange {
  std::uint64_t m_BackendServer = 0;
  // None: the server comes back.
  EjectionCause m_Cause = EjectionCause::None;
  TimePoint m_Until;

  bool operator==(const EjectionChange &) const = default;
};

// A call was sent to the server.
void noteStart(Ejection &State, std::uint64_t BackendServer, TimePoint Now);

// Tokens (or a whole answer: one) came from the server.
void noteProgress(Ejection &State, std::uint64_t BackendServer, TimePoint Now);

// A call ended. Time and tokens of a call that failed don't count towards the
// speed. A call that the caller cancelled is neither: pass Tokens 0 and no
// failure.
void noteEnd(Ejection &State, std::uint64_t BackendServer, bool Failed,
             Duration Time, std::uint64_t Tokens,
             const EjectionOptions &Options, TimePoint Now);

// The server left or has a new incarnation.
void forgetServer(Ejection &State, std::uint64_t BackendServer);

// Judges all servers; to be called several times within m_StallAfter.
std::vector<EjectionChange>
judge(Ejection &State, const EjectionOptions &Options, TimePoint Now);

bool isEjected(const Ejection &State, std::uint64_t BackendServer,
               TimePoint Now);

// Share of a healthy server's work for ReplicaCandidate::m_Share.
double returnShare(const Ejection &State, std::uint64_t BackendServer,
                   const EjectionOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
