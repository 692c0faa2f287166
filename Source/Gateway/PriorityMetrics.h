// Metrics of the calls of a gateway by priority; docs/METRICS.md describes
// them.
#ifndef MANGOCART_GATEWAY_PRIORITYMETRICS_H
#define MANGOCART_GATEWAY_PRIORITYMETRICS_H

#include "Core/RuntimeClock.h"
#include "Metrics/MetricRegistry.h"

#include <array>
#include <cstdint>
#include <mutex>

namespace mangocart {

// Thread-safe. Priorities above 9 count as 9. Series appear with the first call
// of their priority.
class PriorityMetrics {
public:
  explicit PriorityMetrics(MetricRegistry &Registry) : m_Registry(Registry) {}

  // A call that came back after a rejection has arrived.
  void recordReturned(std::uint32_t Priority);
  // Waited: from the arrival to the choice of a backend server.
  void recordDispatched(std::uint32_t Priority, Duration Waited);
  void recordRejected(std::uint32_t Priority, bool Returned);

private:
  static constexpr std::size_t Priorities = 10;

  struct Series {
    std::once_flag m_Created;
    Counter *m_Dispatched = nullptr;
    Counter *m_Rejected = nullptr;
    Counter *m_Returned = nullptr;
    Counter *m_RejectedAgain = nullptr;
    Histogram *m_Waited = nullptr;
  };

  Series &seriesOf(std::uint32_t Priority);

  MetricRegistry &m_Registry;
  std::array<Series, Priorities> m_Series;
};

} // namespace mangocart

#endif
