// Holds the current routing plan. Only a plan with a higher version replaces
// it, whatever source it comes from.
#ifndef MANGOCART_GATEWAY_PLANHOLDER_H
#define MANGOCART_GATEWAY_PLANHOLDER_H

#include "Gateway/RoutingPlan.h"

#include <functional>
#include <mutex>
#include <string_view>

namespace mangocart {

class CallerProtocol;
class EventLog;

// Thread-safe. The change handler runs on the thread that calls offer(), after
// the lock has been released.
class PlanHolder {
public:
  using ChangeHandler = std::function<void(const RoutingPlan &)>;

  PlanHolder(const CallerProtocol &Protocol, EventLog &Events)
      : m_Protocol(Protocol), m_Events(Events) {}

  // Null before the first plan.
  RoutingPlanPtr current() const;
  std::uint64_t version() const;

  // Parses the configuration and applies it if it is newer.
  void offer(std::uint64_t Version, std::string_view Document);
  // Must be called before the process starts serving.
  void onChange(ChangeHandler Handler) { m_OnChange = std::move(Handler); }

private:
  const CallerProtocol &m_Protocol;
  EventLog &m_Events;
  ChangeHandler m_OnChange;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex; its version never decreases.
  RoutingPlanPtr m_Current;
};

} // namespace mangocart

#endif
