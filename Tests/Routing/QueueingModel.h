// Queueing model for the routing decisions: four entries send requests of mixed
// lengths with shared prefixes to replicas with batch slots and prefix caches.
// Runs on the paused clock; the same seed gives the same figures.
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
  // Arrivals over what the replicas could do with cold caches.
  double m_Load = 0.9;
  Duration m_Time = std::chrono::seconds(300);
  // Time to first token that a caller waits for.
  Duration m_Deadline = std::chrono::seconds(3);
  // Fair queue and admission; without them every request is sent on at once.
  bool m_Queued = false;

  bool m_Ejection = false;
  RetryOptions m_Retry;
  // Replicas that fail every call within a few milliseconds.
  std::size_t m_Failing = 0;
  // One replica at a tenth of its speed.
  bool m_OneSlow = false;
  // Calls at one replica at once; 0: no bound.
  std::uint32_t m_MaxOutstanding = 0;
  PlaceBoundOptions m_Places;

  // Load reports reach the entries this late.
  Duration m_ReportLag = std::chrono::milliseconds(300);
  // Part of the arrivals of each customer; all have equal shares.
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
  // Refused after having waited, and the longest such wait.
  std::uint64_t m_GivenUp = 0;
  double m_FirstTokenP50 = 0.0;
  double m_FirstTokenP99 = 0.0;
  // Generated tokens a second of requests whose first token came in time.
  double m_UsefulTokens = 0.0;
  double m_CacheHits = 0.0;
  std::vector<ModelCustomer> m_Customers;
};

ModelResult runModel(const ModelOptions &Options);

} // namespace mangocart

#endif
