// Expert maps that a balancer keeps, so that a coordinator can send later ones
// as differences. Maps are identified by their content: a group that forms anew
// returns to its first map under another epoch.
#ifndef MANGOCART_BALANCER_KNOWNMAPS_H
#define MANGOCART_BALANCER_KNOWNMAPS_H

#include "Experts/RankOrder.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace mangocart {

namespace schema {
class RankOrder;
} // namespace schema

// Never 0.
std::uint64_t hashOf(const ExpertMap &Map);

class KnownMaps {
public:
  // Number of maps of orders that are kept.
  static constexpr std::size_t MaxMaps = 4;

  // Decodes an order and keeps its map. Returns nothing if the order names a
  // base that isn't known.
  std::optional<RankOrder> decode(const schema::RankOrder &Order);
  // Keeps the order's map until another one is kept this way.
  void keepBase(const schema::RankOrder &Order);
  std::vector<std::uint64_t> hashes() const;

private:
  struct Entry {
    std::uint64_t m_Hash = 0;
    std::shared_ptr<const ExpertMap> m_Map;
  };

  std::shared_ptr<const ExpertMap> find(std::uint64_t Hash) const;
  void keep(Entry Map);

  // Newest last.
  std::deque<Entry> m_Maps;
  // The map is null until keepBase() is called.
  Entry m_Base;
};

} // namespace mangocart

#endif
