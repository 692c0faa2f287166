#include "Entry/RequestMetrics.h"

#include "Metrics/MetricRegistry.h"
#include "Metrics/QuantileSummary.h"

namespace mangocart {

namespace {

void observe(MetricRegistry &Metrics, const char *Name, const char *Help,
             const std::string &Service, Duration Elapsed) {
  Metrics.summary(Name, Help, {{"service", Service}})
      .observe(std::chrono::duration<double>(Elapsed).count(),
               RuntimeClock::now());
}

} // namespace

void observeFirstByte(MetricRegistry &Metrics, const std::string &Service,
                      Duration Elapsed) {
  observe(Metrics, "mangocart_first_byte_seconds",
          "Time from the start of work on a request to the head of its answer.",
          Service, Elapsed);
}

void observeCompletion(MetricRegistry &Metrics, const std::string &Service,
                       Duration Elapsed) {
  observe(Metrics, "mangocart_whole_answer_seconds",
          "Time from the start of work on a request to the end of its answer.",
          Service, Elapsed);
}

} // namespace mangocart
