// End of a daemon, and its metrics page.
#include "Daemon/DaemonParts.h"

namespace mangocart {

ExitCode serveUntilExit(ExitGate &Gate, EventLog &Events, WorkerPool &Workers) {
  const ExitCode Code = Gate.wait();
  Events.write(Event::ProcessStopped, {{"exit_code", static_cast<int>(Code)}});
  Workers.stop();
  return Code;
}

void answerMetrics(HttpExchange &Exchange, const MetricRegistry &Metrics) {
  constexpr unsigned StatusOk = 200;
  Exchange.respond({{StatusOk, {{"Content-Type", "text/plain"}}},
                    Metrics.expose(RuntimeClock::now())});
}

} // namespace mangocart
