// Accepts newer plans only.
#include "Gateway/PlanHolder.h"

#include "Events/EventLog.h"
#include "Gateway/CallerProtocol.h"

namespace mangocart {

RoutingPlanPtr PlanHolder::current() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Current;
}

std::uint64_t PlanHolder::version() const {
  const RoutingPlanPtr Current = current();
  return Current ? Current->plan().m_Version : 0;
}

void PlanHolder::offer(std::uint64_t Version, std::string_view Document) {
  if (current() && Version <= version())
    return;
  auto Plan = m_Protocol.readPlan(Document);
  if (Plan.has_error()) {
    m_Events.write(Event::ConfigurationUnusable,
                   {{"version", Version}, {"detail", Plan.error().m_Detail}});
    return;
  }
  const auto Index =
      std::make_shared<const RoutingPlanIndex>(std::move(Plan).value());
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_Current && Index->plan().m_Version <= m_Current->plan().m_Version)
      return;
    m_Current = Index;
  }
  m_Events.write(Event::ConfigurationInForce,
                 {{"version", Index->plan().m_Version}});
  if (m_OnChange)
    m_OnChange(Index->plan());
}

} // namespace mangocart
