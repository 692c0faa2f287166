// Tests when an order without an answer may be resent.
#include "Experts/RankOrder.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("an order without an answer is resent while nothing has begun") {
  const RankReport Fresh{1, true, 7, false, 20};
  const auto With = [&](auto Change) {
    RankReport R = Fresh;
    Change(R);
    return R;
  };
  const auto Order = [](RankOrderKind Kind) {
    return RankOrder{0, Kind, 5, 30, 1, 7, nullptr};
  };
  struct Case {
    const char *m_Name;
    RankOrder m_Order;
    RankReport m_Report;
    bool m_IsSafe;
  };
  using Kind = RankOrderKind;
  const Case Cases[] = {
      {"lost", Order(Kind::Arm), Fresh, true},
      {"it or another order has begun", Order(Kind::Arm),
       With([](RankReport &R) { R.m_Sequence = 8; }), false},
      {"the group was re-formed", Order(Kind::Arm),
       With([](RankReport &R) { R.m_Epoch = 2; }), false},
      {"the group is broken", Order(Kind::Arm),
       With([](RankReport &R) { R.m_IsOpen = false; }), false},
      {"the rank is busy copying", Order(Kind::Prepare),
       With([](RankReport &R) { R.m_IsBusy = true; }), false},
      {"already armed", Order(Kind::Arm),
       With([](RankReport &R) { R.m_Armed = 5; }), false},
      {"the pass has begun", Order(Kind::Arm),
       With([](RankReport &R) { R.m_Pass = 30; }), false},
      {"lost hold", Order(Kind::Hold), Fresh, true},
      {"hold is active", Order(Kind::Hold),
       With([](RankReport &R) { R.m_HeldPass = 30; }), false},
      {"lost release", Order(Kind::Release),
       With([](RankReport &R) { R.m_HeldPass = 30; }), true},
      {"released", Order(Kind::Release), Fresh, false},
      {"lost disarm", Order(Kind::Disarm),
       With([](RankReport &R) { R.m_Armed = 5; }), true},
      {"disarmed", Order(Kind::Disarm), Fresh, false},
      {"lost preparation", Order(Kind::Prepare), Fresh, true},
      {"prepared", Order(Kind::Prepare),
       With([](RankReport &R) { R.m_Prepared = 5; }), false},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(isSafeToResend(Each.m_Order, Each.m_Report) == Each.m_IsSafe);
  }
}
