// Reports of engines that switch expert maps by themselves, and the orders that
// they accept.
#ifndef MANGOCART_EXPERTS_RANKORDER_H
#define MANGOCART_EXPERTS_RANKORDER_H

#include "Experts/ExpertMap.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace mangocart {

// State of a rank's engine, read after all orders of the previous step.
struct RankReport {
  // Changes whenever the group is formed; all other state is reset then.
  std::uint64_t m_Epoch = 0;
  bool m_IsOpen = false;
  // Number of orders that had an effect; an order that expects another number
  // is refused.
  std::uint64_t m_Sequence = 0;
  // An order is still being executed.
  bool m_IsBusy = false;
  // Latest pass that has begun.
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
  // Set only for Prepare.
  std::shared_ptr<const ExpertMap> m_Map;

  bool operator==(const RankOrder &) const = default;
};

// Whether an order without an answer can be resent safely: the report shows no
// effect of it, and nothing else has begun at the rank since the decision. The
// engine then executes at most one of the two copies.
bool isSafeToResend(const RankOrder &Order, const RankReport &Report);

} // namespace mangocart

#endif
