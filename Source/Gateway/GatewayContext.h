// What the requests of a gateway share. Outlives every request.
#ifndef MANGOCART_GATEWAY_GATEWAYCONTEXT_H
#define MANGOCART_GATEWAY_GATEWAYCONTEXT_H

#include "Core/Random.h"
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
class AttemptWatch;
class CallerProtocol;
class EventLog;
class HttpClients;
class MembershipDirectory;
class PlanHolder;
class ServiceGates;
struct GatewayMetrics;

// The shares of all services. Safe to use from any thread; its mutex is a leaf
// of the lock order.
class RepeatBudgets {
public:
  explicit RepeatBudgets(const RepeatOptions &Options) : m_Options(Options) {}

  void setGateways(std::uint32_t Count) { m_Gateways = Count; }
  void noteRequest(const std::string &Service);
  bool takeRepeat(const std::string &Service);

private:
  const RepeatOptions m_Options;
  std::atomic<std::uint32_t> m_Gateways{1};
  std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::map<std::string, RepeatShare> m_Shares;
};

struct GatewayContext {
  const schema::GatewaySettings &m_Settings;
  EventLog &m_Events;
  const CallerProtocol &m_Protocol;
  PlanHolder &m_Plans;
  MembershipDirectory &m_Directory;
  HttpClients &m_Clients;
  ServiceGates &m_Gates;
  RepeatBudgets &m_Repeats;
  AttemptWatch &m_Watch;
  GatewayMetrics &m_Metrics;
  // Callers are asked to close their connections.
  std::atomic<bool> &m_Leaving;
};

} // namespace mangocart

#endif
