// Discrete-event queueing model for the routing decisions: four entries send
// requests of mixed lengths with shared prefixes to replicas with batch slots
// and prefix caches. Runs on the paused clock; the same seed gives the same
// results.
#ifndef MANGOCART_TESTS_ROUTING_QUEUEINGMODEL_H
#define MANGOCART_TESTS_ROUTING_QUEUEINGMODEL_H

#include "Routing/Admission.h"
#include "Routing/ConcurrencyLimit.h"
#include "Routing/FairQueue.h"
#include "Routing/OutlierDetector.h"
#include "Routing/ReplicaChoice.h"
#include "Routing/RetryBudget.h"

#include <cstdint>
#include <vector>

namespace mangocart {

struct ModelOptions {
  ReplicaChoiceOptions m_Choice;
  std::uint64_t m_Seed = 1;
  std::size_t m_Replicas = 12;
  // Arrival rate relative to the capacity of the replicas with cold caches.
  double m_Load = 0.9;
  Duration m_Time = std::chrono::seconds(300);
  // Time for which a caller waits for the first token.
  Duration m_Deadline = std::chrono::seconds(3);
  // Enables the fair queue and admission control; without them every request is
  // sent immediately.
  bool m_Queued = false;

  bool m_Ejection = false;
  RetryOptions m_Retry;
  // Number of replicas that fail every call within a few milliseconds.
  std::size_t m_Failing = 0;
  // Slows one replica down to a tenth of its speed.
  bool m_OneSlow = false;
  // Maximum concurrent calls at one replica; 0 for no limit.
  std::uint32_t m_MaxOutstanding = 0;
  ConcurrencyLimitOptions m_ConcurrencyLimit;

  // Delay of load reports to the entries.
  Duration m_ReportLag = std::chrono::milliseconds(300);
  // Fraction of the arrivals per customer; all have equal weights.
  std::vector<double> m_Customers = std::vector<double>(10, 0.1);
};

struct ModelCustomer {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_InTime = 0;
};

struct ModelResult {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Attempts = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Refused = 0;
  // Rejected after having been queued.
  std::uint64_t m_Dropped = 0;
  double m_FirstTokenP50 = 0.0;
  double m_FirstTokenP99 = 0.0;
  // Generated tokens per second of requests whose first token arrived within
  // the deadline.
  double m_UsefulTokens = 0.0;
  double m_CacheHits = 0.0;
  std::vector<ModelCustomer> m_Customers;
};

ModelResult runModel(const ModelOptions &Options);

} // namespace mangocart

#endif
