// Answers that the system gives itself, in place of a backend server's: each
// carries its outcome, and each refusal the time to come back.
#ifndef MANGOCART_ENTRY_LOCALREPLY_H
#define MANGOCART_ENTRY_LOCALREPLY_H

#include "Core/RuntimeClock.h"
#include "Http/HttpMessage.h"
#include "Peer.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

inline constexpr std::string_view CustomerHeader = "Mangocart-Customer";
inline constexpr std::string_view RequestHeader = "Mangocart-Request";
inline constexpr std::string_view OutcomeHeader = "Mangocart-Outcome";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view RetryAfterHeader = "Retry-After";

std::string_view toText(schema::Outcome Outcome);

struct OwnAnswer {
  unsigned m_Status = 500;
  // Short and stable, for programs: "unknown-customer".
  std::string m_Code;
  // For people: what was wrong and what to do.
  std::string m_Message;
  schema::Outcome m_Outcome = schema::NOT_RUN;
  // Rounded up to whole seconds in the header.
  std::optional<Duration> m_RetryAfter;
};

struct EntryContext;

// Counts and logs a refusal.
void noteRefusal(EntryContext &Context, const OwnAnswer &Answer,
                 std::string_view RequestId);

HttpResponse toResponse(const OwnAnswer &Answer, std::string_view RequestId);

} // namespace mangocart

#endif
