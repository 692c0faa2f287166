// The requests of a run. Each depends only on the seed and its index, so that
// the same seed produces the same requests whatever the responses are.
#ifndef MANGOCART_LOAD_WORKLOAD_H
#define MANGOCART_LOAD_WORKLOAD_H

#include "Load/LoadOptions.h"

#include <cstdint>

namespace mangocart {

enum class RequestKind { Draft, Booking };

struct PlannedRequest {
  std::uint64_t m_Index = 0;
  RequestKind m_Kind = RequestKind::Draft;
  // Also the idempotency key of a booking.
  std::string m_Id;
  std::string m_Customer;
  std::string m_Prompt;
  std::uint64_t m_MaxTokens = 0;
  // Contains the id, so that no two requests have the same checksum.
  std::string m_Body;
  bool m_Resend = false;
  bool m_Race = false;

  bool operator==(const PlannedRequest &) const = default;
};

PlannedRequest planRequest(const LoadOptions &Options, std::uint64_t Index);

HttpRequest toHttpRequest(const PlannedRequest &Planned,
                          const LoadOptions &Options);

// Target of an attempt; each attempt of a request uses the next target.
const HttpTarget &chooseTarget(const PlannedRequest &Planned,
                               const LoadOptions &Options, unsigned Attempt);

} // namespace mangocart

#endif
