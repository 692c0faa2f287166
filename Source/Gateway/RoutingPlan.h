// The configuration of a gateway: routes by host and path, services, customers'
// keys and limits for callers.
#ifndef MANGOCART_GATEWAY_ROUTINGPLAN_H
#define MANGOCART_GATEWAY_ROUTINGPLAN_H

#include "Core/RuntimeClock.h"
#include "Routing/PassTime.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

enum class RouteKind { Idempotent, NonIdempotent, Stream };

std::string_view toString(RouteKind Kind);

struct WeightedService {
  std::string m_Service;
  std::uint32_t m_Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

struct RouteConfig {
  std::string m_Name;
  std::string m_Host;
  // Begins and ends with a slash.
  std::string m_PathPrefix;
  RouteKind m_Kind = RouteKind::NonIdempotent;
  // Maximum duration of a request.
  Duration m_Timeout = Duration::zero();
  // Target time to the response, or to the first event of a stream.
  Duration m_TargetLatency = Duration::zero();
  // 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  // Not empty; the sum of the weights is greater than 0.
  std::vector<WeightedService> m_Services;
  // Maximum number of backend servers that one request is sent to.
  std::uint32_t m_MaxAttempts = 1;
  // Callers need no key.
  bool m_Public = false;
  // Another backend server can continue a stream after the last complete event.
  bool m_Resumable = false;
  // Target for the longest gap between events of a stream; 0 if none.
  Duration m_EventGapTarget = Duration::zero();
  // Callers disconnect when they have received no data for this time; 0 if they
  // do not.
  Duration m_CallerIdleTimeout = Duration::zero();

  // Whether a request may run more than once.
  bool isRetryable() const {
    return m_Kind == RouteKind::Idempotent ||
           (m_Kind == RouteKind::Stream && m_Resumable);
  }
  bool operator==(const RouteConfig &) const = default;
};

// Sum of the weights of the route's services.
std::uint64_t totalWeight(const RouteConfig &Route);

// Constraints for the placement of experts in a service's rank groups.
struct ExpertLayout {
  // Requests that a rank processes concurrently.
  std::uint32_t m_RequestSlots = 0;
  std::uint32_t m_Layers = 0;
  std::uint32_t m_Experts = 0;
  std::uint32_t m_SlotsPerRank = 0;
  // Maximum number of experts per layer that one map may add to a rank.
  std::uint32_t m_MaxNewPerLayer = 0;
  // Time that a rank takes to copy the weights of one expert of one layer.
  Duration m_CopyTime = Duration::zero();
  // Share of the token processing work of a pass that experts do.
  double m_ExpertWorkShare = 0.0;

  bool operator==(const ExpertLayout &) const = default;
};

// Parameters of a service whose replicas are inference engines.
struct EngineConfig {
  std::uint32_t m_Slots = 0;
  std::uint64_t m_KvCacheTokens = 0;
  // Mean number of prompt tokens and of output tokens per request.
  double m_MeanPromptTokens = 0.0;
  double m_MeanOutputTokens = 0.0;
  // Prefill speed in prompt tokens per second, and the additional time per
  // million pairs of a prompt token and an earlier token, in milliseconds.
  double m_PrefillTokensPerSecond = 0.0;
  double m_PrefillMsPerMillionPairs = 0.0;
  // Maximum number of prompt tokens that a replica prefills per step; 0 if
  // unknown.
  std::uint32_t m_MaxPrefillTokensPerStep = 0;
  // Base duration of a decode step, and the time that each running request adds
  // to it, in milliseconds.
  double m_DecodeStepMs = 0.0;
  double m_DecodeStepMsPerRequest = 0.0;
  // Time that 1,000 context tokens of a running request add to a decode step,
  // in milliseconds.
  double m_DecodeStepMsPer1000ContextTokens = 0.0;
  // Decode steps of a pass; an event of a stream holds as many tokens. 0 if
  // unknown.
  std::uint32_t m_StepsPerPass = 0;
  // Set if the replicas are ranks of rank groups.
  std::optional<ExpertLayout> m_Experts;

  bool operator==(const EngineConfig &) const = default;
};

// Prompt tokens that a replica prefills in a pass; 0 if the engine has no
// prompts, or its passes are unknown.
std::uint64_t prefillTokensPerPass(const EngineConfig &Engine);

struct ServiceConfig {
  std::string m_Name;
  std::string m_HealthPath;
  // Maximum number of connections to one backend server, over all callers.
  std::uint32_t m_MaxConnections = 0;
  std::optional<EngineConfig> m_Engine;
  // How long a backend server is cold after its start, and the requests per
  // second that it accepts from all gateways together meanwhile; 0 if there is
  // no limit.
  Duration m_ColdDuration = Duration::zero();
  double m_ColdRequestsPerSecond = 0.0;

  bool operator==(const ServiceConfig &) const = default;
};

struct CustomerConfig {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  // Overrides the route's priority.
  std::optional<std::uint32_t> m_Priority;

  bool operator==(const CustomerConfig &) const = default;
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
  std::vector<RouteConfig> m_Routes;
  std::vector<ServiceConfig> m_Services;
  std::vector<CustomerConfig> m_Customers;
  CallerLimits m_Limits;

  bool operator==(const RoutingPlan &) const = default;
};

// The cold rate of each service that has one.
std::map<std::string, double, std::less<>> coldRates(const RoutingPlan &Plan);

// Returns why the plan is invalid, or nullopt if it is valid.
std::optional<std::string> findError(const RoutingPlan &Plan);

// A plan with indexes for lookups.
class RoutingPlanIndex {
public:
  explicit RoutingPlanIndex(RoutingPlan Plan);
  RoutingPlanIndex(const RoutingPlanIndex &) = delete;
  RoutingPlanIndex &operator=(const RoutingPlanIndex &) = delete;

  const RoutingPlan &plan() const { return m_Plan; }
  // Returns the host's route with the longest prefix that matches the path, or
  // null.
  const RouteConfig *findRoute(std::string_view Host,
                               std::string_view Path) const;
  const CustomerConfig *findCustomer(std::string_view Key) const;
  const ServiceConfig *findService(std::string_view Name) const;
  // Whether the service gets requests of more than one priority.
  bool hasPriorities(std::string_view Service) const;
  // Rules for the passes of the service's rank groups; empty if there are none.
  std::optional<PassRules> passRules(std::string_view Service) const;

private:
  RoutingPlan m_Plan;
  // The indexes point into m_Plan. Routes by host and path prefix.
  std::map<std::string, std::map<std::string, const RouteConfig *, std::less<>>,
           std::less<>>
      m_Routes;
  std::map<std::string, const CustomerConfig *, std::less<>> m_Customers;
  std::map<std::string, const ServiceConfig *, std::less<>> m_Services;
  std::set<std::string, std::less<>> m_WithPriorities;
  // Computed once, because there may be thousands of routes. By service.
  std::map<std::string, PassRules, std::less<>> m_PassRules;
};

using RoutingPlanPtr = std::shared_ptr<const RoutingPlanIndex>;

} // namespace mangocart

#endif
