// Differences between two expert maps of one shape. A change moves a small part
// of the experts, so the difference is much shorter than the map.
#ifndef MANGOCART_EXPERTS_MAPDELTA_H
#define MANGOCART_EXPERTS_MAPDELTA_H

#include "Experts/ExpertMap.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangocart {

struct MapDelta {
  // Positions in ExpertMap::m_Slots, ascending, and the experts to put there.
  std::vector<std::uint32_t> m_Positions;
  std::vector<ExpertId> m_Experts;

  bool operator==(const MapDelta &) const = default;
};

// Both maps must have the same shape.
MapDelta mapDelta(const ExpertMap &Base, const ExpertMap &Next);

// Returns nothing if a position is outside the map or the lists differ in
// length.
std::optional<ExpertMap> applyMapDelta(const ExpertMap &Base,
                                       const MapDelta &Delta);

} // namespace mangocart

#endif
