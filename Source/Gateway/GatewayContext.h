// Objects that all requests of a gateway share. Outlives every request.
#ifndef MANGOCART_GATEWAY_GATEWAYCONTEXT_H
#define MANGOCART_GATEWAY_GATEWAYCONTEXT_H

#include "Core/Random.h"
#include "Gateway/GatewayCount.h"
#include "Gateway/RetryBudgetShare.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace mangocart {

namespace schema {
class GatewaySettings;
} // namespace schema
class AttemptMonitor;
class CallerProtocol;
class CrashGuard;
class EventLog;
class HttpClients;
class MembershipDirectory;
class PlanHolder;
class ServiceDispatcher;
class SuspensionDetector;
struct GatewayMetrics;

// The gateway's shares of the retry budgets of all services. Thread-safe; its
// mutex is a leaf in the lock order.
class RetryBudgets {
public:
  explicit RetryBudgets(const RetryShareOptions &Options)
      : m_Options(Options), m_StartedAt(RuntimeClock::now()) {}

  // Count is the number of gateways that the voters list.
  void setGateways(std::uint32_t Count);
  void recordRequest(const std::string &Service);
  // As for RetryBudgetShare.
  RetryShareDecision takeRetry(const std::string &Service);
  void recordRetrySent(const std::string &Service);
  void dropRetry(const std::string &Service);

private:
  RetryBudgetShare &shareOf(const std::string &Service);

  const RetryShareOptions m_Options;
  const TimePoint m_StartedAt;
  std::mutex m_Mutex;
  // The members below are guarded by m_Mutex.
  GatewayCount m_Gateways;
  std::map<std::string, RetryBudgetShare> m_Shares;
};

struct GatewayContext {
  const schema::GatewaySettings &m_Settings;
  EventLog &m_Events;
  const CallerProtocol &m_Protocol;
  PlanHolder &m_Plans;
  MembershipDirectory &m_Directory;
  HttpClients &m_Clients;
  ServiceDispatcher &m_Dispatcher;
  RetryBudgets &m_RetryBudgets;
  AttemptMonitor &m_AttemptMonitor;
  CrashGuard &m_CrashGuard;
  SuspensionDetector &m_Suspensions;
  GatewayMetrics &m_Metrics;
  // When requests that aren't answered by then are ended; the latest time while
  // not draining.
  std::atomic<TimePoint> &m_DrainEnd;

  // While draining, callers are asked to close their connections.
  bool isDraining() const { return m_DrainEnd.load() != TimePoint::max(); }
};

} // namespace mangocart

#endif
