// Metric names and help texts.
#include "Gateway/PriorityMetrics.h"

#include <algorithm>
#include <string>

namespace mangocart {

PriorityMetrics::Series &PriorityMetrics::seriesOf(std::uint32_t Priority) {
  const std::size_t Index = std::min<std::size_t>(Priority, Priorities - 1);
  Series &Found = m_Series.at(Index);
  std::call_once(Found.m_Created, [&] {
    const Labels Label = {{"priority", std::to_string(Index)}};
    Found.m_Dispatched =
        &m_Registry.counter("mangocart_gateway_priority_dispatched_total",
                            "Requests that got a backend server.", Label);
    Found.m_Rejected = &m_Registry.counter(
        "mangocart_gateway_priority_rejected_total",
        "Requests rejected because of missing capacity.", Label);
    Found.m_Returned = &m_Registry.counter(
        "mangocart_gateway_priority_returned_total",
        "Requests of callers that came back after a rejection.", Label);
    Found.m_RejectedAgain = &m_Registry.counter(
        "mangocart_gateway_priority_rejected_again_total",
        "Requests rejected although their callers had come back.", Label);
    Found.m_Waited = &m_Registry.histogram(
        "mangocart_gateway_priority_waited_seconds",
        "Time from a request's arrival until it got a backend server.", Label);
  });
  return Found;
}

void PriorityMetrics::recordReturned(std::uint32_t Priority) {
  seriesOf(Priority).m_Returned->add();
}

void PriorityMetrics::recordDispatched(std::uint32_t Priority,
                                       Duration Waited) {
  Series &Of = seriesOf(Priority);
  Of.m_Dispatched->add();
  Of.m_Waited->observe(std::chrono::duration<double>(Waited).count());
}

void PriorityMetrics::recordRejected(std::uint32_t Priority, bool Returned) {
  Series &Of = seriesOf(Priority);
  Of.m_Rejected->add();
  if (Returned)
    Of.m_RejectedAgain->add();
}

} // namespace mangocart
