// Metric names and help texts.
#include "Gateway/GatewayMetrics.h"

namespace mangocart {

GatewayMetrics::GatewayMetrics(MetricRegistry &Registry)
    : m_Requests(Registry.counter("mangocart_gateway_requests_total",
                                  "Requests received from callers.")),
      m_Attempts(Registry.counter("mangocart_gateway_attempts_total",
                                  "Requests sent to backend servers.")),
      m_Retries(Registry.counter("mangocart_gateway_repeats_total",
                                 "Attempts after the first one of a request.")),
      m_Rejected(Registry.counter("mangocart_gateway_turned_away_total",
                                  "Requests rejected before any attempt.")),
      m_RejectedNotRun(
          Registry.counter("mangocart_gateway_refused_not_run_total",
                           "Requests that failed without having run.")),
      m_FailedUnknown(
          Registry.counter("mangocart_gateway_failed_unknown_total",
                           "Requests that failed and may have run.")),
      m_FailedTimeout(Registry.counter(
          "mangocart_gateway_failed_timeout_total",
          "Requests that may have run when their deadline passed.")),
      m_Truncated(
          Registry.counter("mangocart_gateway_cut_total",
                           "Responses that ended before they were complete.")),
      m_CallerDisconnects(
          Registry.counter("mangocart_gateway_hung_up_total",
                           "Requests whose caller disconnected.")),
      m_Resumed(Registry.counter(
          "mangocart_gateway_resumed_total",
          "Streams that were resumed at another backend server.")),
      m_FirstByte(Registry.histogram("mangocart_gateway_first_byte_seconds",
                                     "Time from the arrival of a request to "
                                     "the first byte of its response.")),
      m_TotalTime(Registry.histogram(
          "mangocart_gateway_whole_seconds",
          "Time from the arrival of a request to its end.")) {}

} // namespace mangocart
