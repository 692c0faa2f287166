// What an engine that switches expert maps by itself reports, and the orders
// that it takes.
#ifndef MANGOCART_EXPERTS_RANKORDER_H
#define MANGOCART_EXPERTS_RANKORDER_H

#include "Experts/ExpertMap.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace mangocart {

// What a rank's engine says of itself, read after every order of the step
// before.
struct RankReport {
  // Changes each time that the group forms; everything else starts anew then.
  std::uint64_t m_Epoch = 0;
  bool m_IsOpen = false;
  // Orders that have begun something; an order that expects another number is
  // refused.
  std::uint64_t m_Sequence = 0;
  // An order is still being carried out.
  bool m_IsBusy = false;
  // The last pass that was begun.
  std::uint64_t m_Pass = 0;
  std::uint64_t m_MapVersion = 0;
  // 0: none.
  std::uint64_t m_Prepared = 0;
  std::uint64_t m_Armed = 0;
  std::uint64_t m_HeldPass = 0;

  bool operator==(const RankReport &) const = default;
};

enum class RankOrderKind { Prepare, Arm, Disarm, Hold, Release };

std::string_view toString(RankOrderKind Kind);

struct RankOrder {
  std::uint32_t m_Rank = 0;
  RankOrderKind m_Kind = RankOrderKind::Prepare;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Pass = 0;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_ExpectedSequence = 0;
  // Only with Prepare.
  std::shared_ptr<const ExpertMap> m_Map;

  bool operator==(const RankOrder &) const = default;
};

// Whether an order that got no answer has had no effect by the report, and
// nothing else has begun at the rank since it was decided on: sending it once
// more is the same act then, as the engine carries out one of the two at most.
bool canRepeat(const RankOrder &Order, const RankReport &Report);

} // namespace mangocart

#endif
