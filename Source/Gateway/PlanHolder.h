// The routing plan in force at a gateway. A lower or equal version never
// replaces the one held, whatever source it comes from.
#ifndef MANGOCART_GATEWAY_PLANHOLDER_H
#define MANGOCART_GATEWAY_PLANHOLDER_H

#include "Gateway/RoutingPlan.h"

#include <functional>
#include <mutex>
#include <string_view>

namespace mangocart {

class CallerProtocol;
class EventLog;

// Safe to use from any thread. The handler runs on the thread that offers,
// after the lock has been released.
class PlanHolder {
public:
  using ChangeHandler = std::function<void(const RoutingPlan &)>;

  PlanHolder(const CallerProtocol &Protocol, EventLog &Events)
      : m_Protocol(Protocol), m_Events(Events) {}

  // Null before the first plan.
  RoutingPlanPtr current() const;
  std::uint64_t version() const;

  // Reads and takes a newer configuration.
  void offer(std::uint64_t Version, std::string_view Document);
  // Before the process serves.
  void onChange(ChangeHandler Handler) { m_OnChange = std::move(Handler); }

private:
  const CallerProtocol &m_Protocol;
  EventLog &m_Events;
  ChangeHandler m_OnChange;
  mutable std::mutex m_Mutex;
  // Its version only grows; guarded by m_Mutex.
  RoutingPlanPtr m_Current;
};

} // namespace mangocart

#endif
