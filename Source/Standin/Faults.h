// Faults of the stand-in, as set over HTTP. docs/STANDIN.md lists them.
#ifndef MANGOCART_STANDIN_FAULTS_H
#define MANGOCART_STANDIN_FAULTS_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

struct Faults {
  // Requests are taken but make no progress until the faults are reset.
  bool m_Stall = false;
  // The health check is stalled too.
  bool m_StallHealth = false;
  // All times are multiplied by this.
  double m_SlowFactor = 1.0;
  // Requests are refused with status 503 before anything runs.
  bool m_Refuse = false;
  // The process exits as soon as the fault is set.
  bool m_Die = false;
  // The process exits after the next booking has run, before it is answered.
  bool m_DieAfterRun = false;
  // Connections are closed after so many bytes of an answer's body.
  std::optional<std::uint64_t> m_CutAfterBytes;
  // Requests run, but their connection is closed in place of an answer.
  bool m_DropAnswer = false;
  // Wait between the run and the answer.
  Duration m_Delay{0};
  // Cache events are published so much later.
  Duration m_CacheEventLag{0};
  // Share of cache events that are never published, 0 to 1.
  double m_CacheEventGaps = 0.0;
  // Requests after which all faults are reset by themselves; 0: never.
  std::uint64_t m_Requests = 0;

  bool operator==(const Faults &) const = default;
};

struct FaultError {
  std::string m_Detail;

  bool operator==(const FaultError &) const = default;
};

// Reads the body of POST /faults; an unknown key is an error.
Result<Faults, FaultError> parseFaults(std::string_view Json);
std::string toJson(const Faults &Set);

} // namespace mangocart

#endif
