// What a request sees of the backend servers: choose one, and say how the call
// to it went.
#ifndef MANGOCART_ENTRY_BACKENDDIRECTORY_H
#define MANGOCART_ENTRY_BACKENDDIRECTORY_H

#include "Core/RuntimeClock.h"
#include "Net/PeerStream.h"

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

// How large a request is, as far as can be told before it runs.
struct CallSize {
  // Hash of the prompt's beginning, 0 for none.
  std::uint64_t m_PrefixHash = 0;
  std::uint64_t m_PromptTokens = 0;
  // Tokens of work in all, at least 1.
  std::uint64_t m_Tokens = 1;
  // Streamed: silence for long says that the server has stalled.
  bool m_ShowsProgress = false;

  bool operator==(const CallSize &) const = default;
};

struct ChoiceRequest {
  std::string_view m_Service;
  std::string_view m_Policy;
  // Calls of all entries in flight that one server may have.
  std::uint32_t m_MaxOutstanding = 0;
  // Other requests of the service that wait at this entry.
  std::size_t m_OthersWaiting = 0;
  CallSize m_Size;
  // Names of servers that this request has tried.
  const std::vector<std::string> *m_Tried = nullptr;
  // Availability zone of the last failed try, empty for none.
  std::string_view m_FailedZone;
};

enum class CallResult {
  Answered,
  Refused,
  // A whole answer that says the backend server failed: counts against it in
  // comparison with its peers only, as a caller may have asked for a failure.
  Failed,
  Broken,
  Cancelled
};

struct CallReport {
  CallResult m_Result = CallResult::Cancelled;
  // From the sending to the end of the answer.
  Duration m_Time{0};

  bool operator==(const CallReport &) const = default;
};

// Safe to use from any thread.
class BackendDirectory {
public:
  virtual ~BackendDirectory() = default;

  virtual std::optional<BackendTarget> choose(const ChoiceRequest &Request) = 0;
  virtual void callStarted(const BackendTarget &Target,
                           const CallSize &Size) = 0;
  // Some of the answer has arrived.
  virtual void callProgressed(const BackendTarget &Target) = 0;
  virtual void callEnded(const BackendTarget &Target, const CallSize &Size,
                         const CallReport &Report) = 0;
};

} // namespace mangocart

#endif
