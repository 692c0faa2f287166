// The evacuated availability zones and the rules by which they change. Voters
// keep them in the replicated log; gateways send no requests to these zones.
#ifndef MANGOCART_MEMBERSHIP_EVACUATIONS_H
#define MANGOCART_MEMBERSHIP_EVACUATIONS_H

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>

namespace mangocart {

namespace schema {
class Evacuations;
} // namespace schema

struct Evacuations {
  // Incremented by each change; 0 before the first. Of two states the one with
  // the higher number is the newer one.
  std::uint64_t m_Change = 0;
  std::set<std::string, std::less<>> m_Zones;

  bool operator==(const Evacuations &) const = default;
};

struct EvacuationChange {
  // Is never the number of a change: a change that expects it has no effect,
  // and only its reply is of use.
  static constexpr std::uint64_t NeverExpected =
      std::numeric_limits<std::uint64_t>::max();

  std::string m_Zone;
  bool m_Withdraw = false;
  // The change has an effect only if this is the number of the last one.
  std::uint64_t m_Expected = 0;

  bool operator==(const EvacuationChange &) const = default;
};

bool isEvacuated(const Evacuations &State, std::string_view Zone);
// Whether the state is as the change demands.
bool isInEffect(const Evacuations &State, const EvacuationChange &Change);
// The state after the change; the same state if the change is in effect already
// or expects another number.
Evacuations applyChange(Evacuations State, const EvacuationChange &Change);

// The zones in alphabetical order, separated by commas.
std::string zoneList(const Evacuations &State);

Evacuations evacuationsFromSchema(const schema::Evacuations &Message);
void evacuationsToSchema(const Evacuations &State,
                         schema::Evacuations &Message);

} // namespace mangocart

#endif
