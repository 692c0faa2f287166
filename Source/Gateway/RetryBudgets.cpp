// Locked access to the budget shares.
#include "Gateway/GatewayContext.h"

namespace mangocart {

void RetryBudgets::recordRequest(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::recordRequest(m_Shares[Service], m_Options, RuntimeClock::now());
}

RetryShareDecision RetryBudgets::takeRetry(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::takeRetry(m_Shares[Service], m_Options, m_Gateways,
                              RuntimeClock::now());
}

} // namespace mangocart
