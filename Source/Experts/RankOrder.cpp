// Names of orders, and conditions for resending one.
#include "Experts/RankOrder.h"

namespace mangocart {

std::string_view toString(RankOrderKind Kind) {
  switch (Kind) {
  case RankOrderKind::Prepare:
    return "prepare";
  case RankOrderKind::Arm:
    return "arm";
  case RankOrderKind::Disarm:
    return "disarm";
  case RankOrderKind::Hold:
    return "hold";
  case RankOrderKind::Release:
    return "release";
  }
  return "unknown";
}

bool isSafeToResend(const RankOrder &Order, const RankReport &Report) {
  if (!Report.m_IsOpen || Report.m_IsBusy || Report.m_Epoch != Order.m_Epoch ||
      Report.m_Sequence != Order.m_ExpectedSequence)
    return false;
  switch (Order.m_Kind) {
  case RankOrderKind::Prepare:
    return Report.m_Prepared != Order.m_Version;
  case RankOrderKind::Arm:
    return Report.m_Armed != Order.m_Version && Report.m_Pass < Order.m_Pass;
  case RankOrderKind::Disarm:
    return Report.m_Armed == Order.m_Version;
  case RankOrderKind::Hold:
    return Report.m_HeldPass != Order.m_Pass && Report.m_Pass < Order.m_Pass;
  case RankOrderKind::Release:
    return Report.m_HeldPass == Order.m_Pass;
  }
  return false;
}

} // namespace mangocart
