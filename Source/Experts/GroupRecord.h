// What the replicated log says of a rank group: the map in force, from which
// step, the one before, and which incarnation of each rank takes part.
#ifndef MANGOCART_EXPERTS_GROUPRECORD_H
#define MANGOCART_EXPERTS_GROUPRECORD_H

#include "Experts/ExpertMap.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangocart {

namespace schema {
class ActivateExpertMap;
class ExpertMapRecord;
} // namespace schema

// Names a map for good: no coordinator uses a version for two maps, and no two
// coordinators have the same fencing number.
struct MapId {
  std::uint64_t m_Version = 0;
  std::uint64_t m_Number = 0;

  auto operator<=>(const MapId &) const = default;
};

struct PlacedMap {
  MapId m_Id;
  // Shared, because orders to all ranks carry it; never changed.
  std::shared_ptr<const ExpertMap> m_Map;

  bool operator==(const PlacedMap &Other) const { return m_Id == Other.m_Id; }
};

struct GroupRecord {
  // Grows with each activation, also with those that keep the map.
  std::uint64_t m_Version = 0;
  // First step of the current map; the previous one holds before.
  std::uint64_t m_FromStep = 0;
  PlacedMap m_Current;
  PlacedMap m_Previous;
  // By rank; 0: no rank has joined yet.
  std::vector<std::uint64_t> m_Incarnations;

  const PlacedMap &mapAt(std::uint64_t Step) const {
    return Step >= m_FromStep ? m_Current : m_Previous;
  }
  bool operator==(const GroupRecord &) const = default;
};

using SharedRecord = std::shared_ptr<const GroupRecord>;

// The log's command that puts the record in place of the version it replaces.
schema::ActivateExpertMap toCommand(const std::string &Group,
                                    const GroupRecord &Record,
                                    std::uint64_t Replaces);

// Absent when the bytes aren't a record of a usable group.
std::optional<GroupRecord> fromLog(const schema::ExpertMapRecord &Logged);

} // namespace mangocart

#endif
