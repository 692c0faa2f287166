// Interface through which a request selects a backend server and reports the
// progress and result of its call.
#ifndef MANGOCART_ENTRY_BACKENDDIRECTORY_H
#define MANGOCART_ENTRY_BACKENDDIRECTORY_H

#include "Core/RuntimeClock.h"
#include "Net/PeerStream.h"
#include "Routing/PassTime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct BackendTarget {
  std::string m_Name;
  std::string m_Service;
  std::string m_AvailabilityZone;
  PeerEndpoint m_Agent;
  std::uint64_t m_Incarnation = 0;

  bool operator==(const BackendTarget &) const = default;
};

// Estimated size of a request before it runs.
struct CallSize {
  // Hash of the beginning of the prompt; 0 for none.
  std::uint64_t m_PrefixHash = 0;
  std::uint64_t m_PromptTokens = 0;
  // Total tokens of work, at least 1.
  std::uint64_t m_Tokens = 1;
  // The answer is streamed, so a long silence means that the server has
  // stalled.
  bool m_ReportsProgress = false;

  bool operator==(const CallSize &) const = default;
};

struct ChoiceRequest {
  std::string_view m_Service;
  std::string_view m_Policy;
  // Maximum number of in-flight calls of all entries per server.
  std::uint32_t m_MaxOutstanding = 0;
  // Number of other requests of the service queued at this entry.
  std::size_t m_OtherQueuedRequests = 0;
  CallSize m_Size;
  // Names of the servers that this request has tried already.
  const std::vector<std::string> *m_Tried = nullptr;
  // Availability zone of the last failed attempt; empty for none.
  std::string_view m_FailedZone;
  // Prompt tokens that a server of the service prefills in a pass; 0 if the
  // service has no engine with prompts, or its passes are unknown.
  std::uint64_t m_PrefillTokensPerPass = 0;
  // Rules for the passes of rank groups; null if only slots limit the requests.
  const PassRules *m_PassRules = nullptr;
};

enum class CallResult {
  Answered,
  Refused,
  // A complete answer in which the backend server reports a failure. It counts
  // against the server only in comparison with its peers, as the caller may
  // have provoked the failure.
  Failed,
  Broken,
  Cancelled
};

struct CallReport {
  CallResult m_Result = CallResult::Cancelled;
  // Time from sending the call to the end of the answer.
  Duration m_Time{0};
  // The beginning of the answer was reported before.
  bool m_HasBegun = false;

  bool operator==(const CallReport &) const = default;
};

// All functions are thread-safe.
class BackendDirectory {
public:
  virtual ~BackendDirectory() = default;

  virtual std::optional<BackendTarget> choose(const ChoiceRequest &Request) = 0;
  virtual void callStarted(const BackendTarget &Target,
                           const CallSize &Size) = 0;
  // Part of the answer has arrived.
  virtual void callProgressed(const BackendTarget &Target) = 0;
  virtual void callEnded(const BackendTarget &Target, const CallSize &Size,
                         const CallReport &Report) = 0;
};

} // namespace mangocart

#endif
