// What a balancer needs to know of the calls to a replica's engine. The names
// on the wire stand behind this interface only.
#ifndef MANGOCART_BALANCER_ENGINEPROTOCOL_H
#define MANGOCART_BALANCER_ENGINEPROTOCOL_H

#include "Experts/GroupSwitch.h"
#include "Http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// A replica's place in its rank group, and its state.
struct RankState {
  std::string m_Group;
  std::uint32_t m_Rank = 0;
  // Ranks of the group.
  std::uint32_t m_Size = 0;
  // Requests that it works on, and that wait there.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  // How many times longer than usual its work takes.
  double m_Slowness = 1.0;
  RankReport m_Report;

  bool operator==(const RankState &) const = default;
};

// The experts that a rank holds.
struct RankExperts {
  std::uint64_t m_MapVersion = 0;
  // By layer.
  std::vector<std::vector<ExpertId>> m_ByLayer;

  bool operator==(const RankExperts &) const = default;
};

// Bodies of answers are read; nothing is returned for one that can't be.
class EngineProtocol {
public:
  virtual ~EngineProtocol() = default;

  virtual HttpRequest askState() const = 0;
  virtual std::optional<RankState> readState(std::string_view Body) const = 0;
  // How often this rank's requests chose each expert, by layer and expert,
  // since the replica's start.
  virtual HttpRequest askCounts() const = 0;
  virtual std::optional<std::vector<std::uint64_t>>
  readCounts(std::string_view Body) const = 0;
  virtual HttpRequest askExperts() const = 0;
  virtual std::optional<RankExperts>
  readExperts(std::string_view Body) const = 0;
  virtual HttpRequest order(const RankOrder &Order) const = 0;
};

} // namespace mangocart

#endif
