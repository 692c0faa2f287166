// Metric names and help texts.
#include "Gateway/GatewayMetrics.h"

#include "Entry/MembershipDirectory.h"

namespace mangocart {

std::size_t promptSizeClass(std::uint64_t Tokens) {
  std::size_t Class = 0;
  while (Class + 1 < PromptSizeClasses.size() &&
         Tokens > PromptSizeClasses[Class].m_MaxTokens)
    ++Class;
  return Class;
}

GatewayMetrics::GatewayMetrics(MetricRegistry &Registry)
    : m_Requests(Registry.counter("mangocart_gateway_requests_total",
                                  "Callers' requests.")),
      m_Attempts(Registry.counter("mangocart_gateway_attempts_total",
                                  "Requests sent to backend servers.")),
      m_Retries(Registry.counter("mangocart_gateway_repeats_total",
                                 "Attempts beyond a request's first.")),
      m_Rejected(Registry.counter("mangocart_gateway_turned_away_total",
                                  "Requests refused before any attempt.")),
      m_RejectedNotRun(
          Registry.counter("mangocart_gateway_refused_not_run_total",
                           "Requests refused as not run after attempts.")),
      m_FailedUnknown(
          Registry.counter("mangocart_gateway_failed_unknown_total",
                           "Requests that failed and may have run.")),
      m_FailedTimeout(Registry.counter("mangocart_gateway_failed_timeout_total",
                                       "Requests whose time was over.")),
      m_Truncated(Registry.counter("mangocart_gateway_cut_total",
                                   "Answers that were cut off.")),
      m_CallerDisconnects(Registry.counter("mangocart_gateway_hung_up_total",
                                           "Requests whose caller left.")),
      m_Resumed(
          Registry.counter("mangocart_gateway_resumed_total",
                           "Streams that went on at another backend server.")),
      m_ServerCrashes(
          Registry.counter("mangocart_gateway_servers_ended_total",
                           "Backend servers that ended with requests.")),
      m_SuspectRejections(Registry.counter(
          "mangocart_gateway_suspects_held_total",
          "Attempts that weren't made because of a part of the prompt.")),
      m_FirstByte(Registry.histogram(
          "mangocart_gateway_first_byte_seconds",
          "Time from a request's arrival to the first byte of its answer.")),
      m_TotalTime(
          Registry.histogram("mangocart_gateway_whole_seconds",
                             "Time from a request's arrival to its end.")),
      m_Priorities(Registry) {
  for (std::size_t I = 0; I < PromptSizeClasses.size(); ++I)
    m_FirstEvent[I] = &Registry.histogram(
        "mangocart_gateway_first_event_seconds",
        "Time from the arrival of a request for a stream to its first event.",
        {{"prompt_tokens", PromptSizeClasses[I].m_Name}});
}

void addColdMetrics(MetricRegistry &Registry,
                    const MembershipDirectory &Directory) {
  Registry.gaugeFrom(
      "mangocart_gateway_cold_servers",
      "Backend servers that are cold, of services with a cold rate.",
      [&Directory] {
        return static_cast<double>(Directory.coldCounts().m_ColdServers);
      });
  Registry.counterFrom(
      "mangocart_gateway_allowance_holds_total",
      "Choices without a server while an allowance held one back.",
      [&Directory] { return Directory.coldCounts().m_HeldByAllowance; });
}

void addEvacuationMetrics(MetricRegistry &Registry,
                          const MembershipDirectory &Directory) {
  Registry.gaugeFrom("mangocart_evacuated_zones",
                     "Availability zones that are evacuated.", [&Directory] {
                       return static_cast<double>(
                           Directory.evacuations().m_Zones.size());
                     });
  Registry.gaugeFrom(
      "mangocart_evacuations_change",
      "Number of the last change of the evacuated zones.", [&Directory] {
        return static_cast<double>(Directory.evacuations().m_Change);
      });
}

} // namespace mangocart
