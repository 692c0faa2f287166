// Messages between the coordinator of a rank group and the participants at its
// ranks. They may be lost, duplicated, delayed and reordered.
#ifndef MANGOCART_EXPERTS_MAPORDER_H
#define MANGOCART_EXPERTS_MAPORDER_H

#include "Experts/GroupRecord.h"

#include <cstdint>

namespace mangocart {

enum class OrderKind : std::uint8_t {
  // Carries only the record from the log.
  Learn,
  // Load the map next to the active one.
  Prepare,
  // Promise to start no step at or after m_Step until the log's decision on the
  // map is known.
  Hold,
  // The map to prepare isn't needed. Doesn't end a promise.
  Cancel
};

struct MapOrder {
  OrderKind m_Kind = OrderKind::Learn;
  // Fencing number of the coordinator.
  std::uint64_t m_FencingNumber = 0;
  // Incarnation of the rank to which the order is addressed.
  std::uint64_t m_Incarnation = 0;
  // Record of the log on which the order is based.
  GroupRecordPtr m_Record;
  // Used by all orders except Learn.
  PlacedMap m_Map;
  // Used by Hold.
  std::uint64_t m_Step = 0;

  bool operator==(const MapOrder &) const = default;
};

enum class ReportKind : std::uint8_t {
  // A new incarnation wants to join.
  Join,
  Loaded,
  Promised,
  // The order for m_Map can't be executed.
  Refused,
  // Asks for the decision on m_Map, for which the rank waits.
  QueryDecision
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
