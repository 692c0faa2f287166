// Locked access to the budget shares.
#include "Gateway/GatewayContext.h"

namespace mangocart {

void RetryBudgets::setGateways(std::uint32_t Count) {
  const std::lock_guard Lock(m_Mutex);
  recordListed(m_Gateways, Count, RuntimeClock::now());
}

RetryBudgetShare &RetryBudgets::shareOf(const std::string &Service) {
  const auto [At, Inserted] = m_Shares.try_emplace(Service);
  if (Inserted)
    At->second.m_StartedAt = m_StartedAt;
  return At->second;
}

void RetryBudgets::recordRequest(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::recordRequest(shareOf(Service), m_Options, RuntimeClock::now());
}

RetryShareDecision RetryBudgets::takeRetry(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::takeRetry(shareOf(Service), m_Options, m_Gateways.m_Number,
                              RuntimeClock::now());
}

void RetryBudgets::recordRetrySent(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::recordRetrySent(shareOf(Service), m_Options, RuntimeClock::now());
}

void RetryBudgets::dropRetry(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::dropRetry(shareOf(Service));
}

} // namespace mangocart
