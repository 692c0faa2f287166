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
  std::string m_AvailabilityZone;
  PeerEndpoint m_Agent;
  std::uint64_t m_Incarnation = 0;

  bool operator==(const BackendTarget &) const = default;
};

struct ChoiceRequest {
  std::string_view m_Service;
  std::string_view m_Policy;
  // Own calls in flight that one server may have; 0 for no bound.
  std::uint32_t m_MaxOutstanding = 0;
  // Hash of the prompt's beginning, 0 for none.
  std::uint64_t m_PrefixHash = 0;
  // Names of servers that this request has tried.
  const std::vector<std::string> *m_Tried = nullptr;
  // Availability zone of the last failed try, empty for none.
  std::string_view m_FailedZone;
};

enum class CallResult { Answered, Refused, Broken, Cancelled };

// Safe to use from any thread.
class BackendDirectory {
public:
  virtual ~BackendDirectory() = default;

  virtual std::optional<BackendTarget> choose(const ChoiceRequest &Request) = 0;
  virtual void callStarted(const BackendTarget &Target,
                           std::uint64_t PrefixHash) = 0;
  // FirstByte is the time to the head of the answer, zero when none came.
  virtual void callEnded(const BackendTarget &Target, CallResult Result,
                         Duration FirstByte) = 0;
};

} // namespace mangocart

#endif
