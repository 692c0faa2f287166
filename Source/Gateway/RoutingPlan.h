// The configuration of a gateway as plain values: routes by host and path,
// services, customers' keys, limits of callers.
#ifndef MANGOCART_GATEWAY_ROUTINGPLAN_H
#define MANGOCART_GATEWAY_ROUTINGPLAN_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

enum class CallKind { Idempotent, NonIdempotent, Stream };

std::string_view toString(CallKind Kind);

struct WeightedService {
  std::string m_Service;
  std::uint32_t m_Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct PlannedRoute {
  std::string m_Name;
  std::string m_Host;
  // Begins and ends with a slash.
  std::string m_PathPrefix;
  CallKind m_Kind = CallKind::NonIdempotent;
  // Longest time that a caller is kept waiting.
  Duration m_Timeout = Duration::zero();
  // Within this time an answer, or the first event of a stream, is on time.
  Duration m_TargetLatency = Duration::zero();
  // 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  // Not empty; the weights add up to more than 0.
  std::vector<WeightedService> m_Services;
  // Backend servers that one request may be sent to.
  std::uint32_t m_MaxAttempts = 1;
  // Open to callers without a key.
  bool m_Public = false;
  // A stream may go on at another backend server after the last whole event.
  bool m_Resumable = false;
  // Longest pause between events that is still on time; zero: not given.
  Duration m_PauseTarget = Duration::zero();
  // Callers leave when nothing has come for so long; zero: they don't.
  Duration m_Patience = Duration::zero();

  // Whether a request may run more than once.
  bool isRepeatable() const {
    return m_Kind == CallKind::Idempotent ||
           (m_Kind == CallKind::Stream && m_Resumable);
  }
  bool operator==(const PlannedRoute &) const = default;
};

// Sum of the weights of the route's services.
std::uint64_t totalWeight(const PlannedRoute &Route);

// How the experts of a service's rank groups may be placed.
struct ExpertLayout {
  // Requests that a rank works on at once.
  std::uint32_t m_RequestSlots = 0;
  std::uint32_t m_Layers = 0;
  std::uint32_t m_Experts = 0;
  std::uint32_t m_SlotsPerRank = 0;
  // Experts of a layer that may be new to a rank in one map.
  std::uint32_t m_MaxNewPerLayer = 0;
  // Time in which a rank copies one expert's weights of one layer.
  Duration m_CopyTime = Duration::zero();
  // Part of a pass's work on tokens that is done by experts.
  double m_WorkShare = 0.0;

  bool operator==(const ExpertLayout &) const = default;
};

// A service whose replicas are model engines.
struct EngineModel {
  std::uint32_t m_Slots = 0;
  std::uint64_t m_CacheTokens = 0;
  // Mean tokens of a prompt and of an answer.
  double m_UsualPrompt = 0.0;
  double m_UsualAnswer = 0.0;
  // Prompt tokens read in a second.
  double m_ReadPerSecond = 0.0;
  // Duration of a token step, and what each running request adds, milliseconds.
  double m_StepMs = 0.0;
  double m_PerRequestMs = 0.0;
  // Replicas are ranks of groups.
  std::optional<ExpertLayout> m_Experts;

  bool operator==(const EngineModel &) const = default;
};

struct PlannedService {
  std::string m_Name;
  std::string m_HealthPath;
  // Connections that one backend server takes from all callers.
  std::uint32_t m_MaxConnections = 0;
  std::optional<EngineModel> m_Engine;

  bool operator==(const PlannedService &) const = default;
};

struct PlannedCustomer {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  // Goes before the route's.
  std::optional<std::uint32_t> m_Priority;

  bool operator==(const PlannedCustomer &) const = default;
};

struct CallerLimits {
  std::size_t m_MaxHeaderBytes = std::size_t{16} * 1024;
  std::size_t m_MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);

  bool operator==(const CallerLimits &) const = default;
};

struct RoutingPlan {
  std::uint64_t m_Version = 0;
  std::vector<PlannedRoute> m_Routes;
  std::vector<PlannedService> m_Services;
  std::vector<PlannedCustomer> m_Customers;
  CallerLimits m_Limits;

  bool operator==(const RoutingPlan &) const = default;
};

// Why a plan can't be taken; nothing if it can.
std::optional<std::string> findFault(const RoutingPlan &Plan);

// A plan with its look-ups.
class RoutingPlanIndex {
public:
  explicit RoutingPlanIndex(RoutingPlan Plan);
  RoutingPlanIndex(const RoutingPlanIndex &) = delete;
  RoutingPlanIndex &operator=(const RoutingPlanIndex &) = delete;

  const RoutingPlan &plan() const { return m_Plan; }
  // The route of the host with the longest prefix that begins the path; null
  // when there is none.
  const PlannedRoute *findRoute(std::string_view Host,
                                std::string_view Path) const;
  const PlannedCustomer *findCustomer(std::string_view Key) const;
  const PlannedService *findService(std::string_view Name) const;

private:
  RoutingPlan m_Plan;
  // All point into m_Plan. Routes of a host by prefix.
  std::map<std::string,
           std::map<std::string, const PlannedRoute *, std::less<>>,
           std::less<>>
      m_Routes;
  std::map<std::string, const PlannedCustomer *, std::less<>> m_Customers;
  std::map<std::string, const PlannedService *, std::less<>> m_Services;
};

using RoutingPlanPtr = std::shared_ptr<const RoutingPlanIndex>;

} // namespace mangocart

#endif
