// State of a rank group in the replicated log: the current map, the step from
// which it applies, the previous map, and the participating incarnation of each
// rank.
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

// Globally unique map identifier: a coordinator uses each version for one map
// only, and no two coordinators have the same fencing number.
struct MapId {
  std::uint64_t m_Version = 0;
  std::uint64_t m_FencingNumber = 0;

  auto operator<=>(const MapId &) const = default;
};

struct PlacedMap {
  MapId m_Id;
  // Shared because orders to all ranks carry it; immutable.
  std::shared_ptr<const ExpertMap> m_Map;

  bool operator==(const PlacedMap &Other) const { return m_Id == Other.m_Id; }
};

struct GroupRecord {
  // Increases with every activation, including those that keep the map.
  std::uint64_t m_Version = 0;
  // First step that uses the current map; earlier steps use the previous one.
  std::uint64_t m_FromStep = 0;
  PlacedMap m_Current;
  PlacedMap m_Previous;
  // Indexed by rank; 0: no incarnation of the rank has joined yet.
  std::vector<std::uint64_t> m_Incarnations;

  const PlacedMap &mapAt(std::uint64_t Step) const {
    return Step >= m_FromStep ? m_Current : m_Previous;
  }
  bool operator==(const GroupRecord &) const = default;
};

using GroupRecordPtr = std::shared_ptr<const GroupRecord>;

// Log command that replaces the record of the given version by this one.
schema::ActivateExpertMap toCommand(const std::string &Group,
                                    const GroupRecord &Record,
                                    std::uint64_t Replaces);

// Returns nothing if the bytes aren't a record of a valid group.
std::optional<GroupRecord> fromLog(const schema::ExpertMapRecord &Logged);

} // namespace mangocart

#endif
