// The shares behind their lock.
#include "Gateway/GatewayContext.h"

namespace mangocart {

void RepeatBudgets::noteRequest(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::noteRequest(m_Shares[Service], m_Options, RuntimeClock::now());
}

bool RepeatBudgets::takeRepeat(const std::string &Service) {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::takeRepeat(m_Shares[Service], m_Options, m_Gateways,
                               RuntimeClock::now());
}

} // namespace mangocart
