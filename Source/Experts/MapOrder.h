// Messages between the coordinator of a rank group and the gates beside its
// ranks. Either side may lose, double, delay and reorder them.
#ifndef MANGOCART_EXPERTS_MAPORDER_H
#define MANGOCART_EXPERTS_MAPORDER_H

#include "Experts/GroupRecord.h"

#include <cstdint>

namespace mangocart {

enum class OrderKind : std::uint8_t {
  // Only the record, as the log has it.
  Learn,
  // Load the map beside the one in use.
  Prepare,
  // Promise to start no step at or after m_Step before the log's decision on
  // the map is known.
  Hold,
  // The map that was to be prepared isn't needed. Frees no rank of a promise.
  Cancel
};

struct MapOrder {
  OrderKind m_Kind = OrderKind::Learn;
  // Fencing number of the coordinator.
  std::uint64_t m_Number = 0;
  // The rank's incarnation that is meant.
  std::uint64_t m_Incarnation = 0;
  // The log's record that the order builds on.
  SharedRecord m_Record;
  // For all but Learn.
  PlacedMap m_Map;
  // For Hold.
  std::uint64_t m_Step = 0;

  bool operator==(const MapOrder &) const = default;
};

enum class ReportKind : std::uint8_t {
  // A new incarnation wants to take part.
  Join,
  Loaded,
  Promised,
  // The order m_Map can't be carried out.
  Refused,
  // What was decided of m_Map? The rank waits for it.
  Ask
};

struct MapReport {
  ReportKind m_Kind = ReportKind::Join;
  std::uint32_t m_Rank = 0;
  std::uint64_t m_Incarnation = 0;
  MapId m_Map;
  // First step that the rank hasn't started.
  std::uint64_t m_NextStep = 0;

  bool operator==(const MapReport &) const = default;
};

} // namespace mangocart

#endif
