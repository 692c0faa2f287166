// Fault injection settings of the simulated backend server, which are set over
// HTTP. docs/STANDIN.md lists them.
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
  // Requests are accepted but make no progress until the faults are reset.
  bool m_Stall = false;
  // The connection of a health check is closed without a response.
  bool m_StallHealth = false;
  // Factor for all simulated times.
  double m_SlowFactor = 1.0;
  // Requests are rejected with status 503 before they are processed.
  bool m_Refuse = false;
  // The process exits as soon as this fault is set.
  bool m_Die = false;
  // The process exits after the next booking was recorded, before the response
  // is sent.
  bool m_DieAfterRun = false;
  // Connections are closed after this many bytes of a response body.
  std::optional<std::uint64_t> m_CutAfterBytes;
  // Requests are processed, but the connection is closed instead of sending the
  // response.
  bool m_DropAnswer = false;
  // Delay between processing and the response.
  Duration m_Delay{0};
  // Delay before a cache event is published.
  Duration m_CacheEventLag{0};
  // Fraction of cache events that are never published, from 0 to 1.
  double m_CacheEventGaps = 0.0;
  // Number of requests after which all faults are reset automatically; 0 means
  // never.
  std::uint64_t m_Requests = 0;

  bool operator==(const Faults &) const = default;
};

struct InvalidBodyError {
  std::string m_Detail;

  bool operator==(const InvalidBodyError &) const = default;
};

// Parses the body of POST /faults; an unknown key is an error.
Result<Faults, InvalidBodyError> parseFaults(std::string_view Json);
std::string toJson(const Faults &Settings);

} // namespace mangocart

#endif
