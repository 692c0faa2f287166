// Interface to the protocol of a replica's engine. Names on the wire appear
// only in its implementations.
#ifndef MANGOCART_BALANCER_ENGINEPROTOCOL_H
#define MANGOCART_BALANCER_ENGINEPROTOCOL_H

#include "Experts/GroupSwitch.h"
#include "Http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// Position of a replica in its rank group, and its state.
struct RankState {
  std::string m_Group;
  std::uint32_t m_Rank = 0;
  // Number of ranks of the group.
  std::uint32_t m_Size = 0;
  // Requests that it processes, and requests in its queue.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  // Factor by which its work takes longer than usual.
  double m_Slowness = 1.0;
  RankReport m_Report;

  bool operator==(const RankState &) const = default;
};

// The experts that a rank holds.
struct RankExperts {
  std::uint64_t m_MapVersion = 0;
  // Indexed by layer.
  std::vector<std::vector<ExpertId>> m_ByLayer;

  bool operator==(const RankExperts &) const = default;
};

// Builds requests to the engine and parses the bodies of its answers; returns
// nothing for a body that can't be parsed.
class EngineProtocol {
public:
  virtual ~EngineProtocol() = default;

  virtual HttpRequest stateRequest() const = 0;
  virtual std::optional<RankState> parseState(std::string_view Body) const = 0;
  // Number of times that this rank's requests chose each expert since the
  // replica's start, by layer and expert.
  virtual HttpRequest countsRequest() const = 0;
  virtual std::optional<std::vector<std::uint64_t>>
  parseCounts(std::string_view Body) const = 0;
  virtual HttpRequest expertsRequest() const = 0;
  virtual std::optional<RankExperts>
  parseExperts(std::string_view Body) const = 0;
  virtual HttpRequest orderRequest(const RankOrder &Order) const = 0;
};

} // namespace mangocart

#endif
