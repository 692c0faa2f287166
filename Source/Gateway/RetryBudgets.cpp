// Locked access to the budget shares.
#include "Gateway/GatewayContext.h"

namespace mangocart {

void RetryBudgets::setGateways(std::uint32_t Count) {
  const std::lock_guard Lock(m_Mutex);
  recordListed(m_Gateways, Count, RuntimeClock::now());
}

void RetryBudgets::recordRequest(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::recordRequest(m_Shares[Service], m_Options, RuntimeClock::now());
}

RetryShareDecision RetryBudgets::takeRetry(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::takeRetry(m_Shares[Service], m_Options, m_Gateways.m_Number,
                              RuntimeClock::now());
}

} // namespace mangocart
