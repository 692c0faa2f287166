// Probes health and load of the backend server periodically; the announcements
// carry the result.
#ifndef MANGOCART_AGENT_BACKENDPROBE_H
#define MANGOCART_AGENT_BACKENDPROBE_H

#include "Core/Timer.h"
#include "Http/HttpMessage.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace mangocart {

struct AgentContext;

struct BackendReport {
  bool m_Available = false;
  // Outstanding work that the backend server reports; 0 if it reports none.
  double m_Load = 0;
  TimePoint m_MeasuredAt;
};

class BackendProbe : public std::enable_shared_from_this<BackendProbe> {
public:
  // OnChange is called when the availability changes, on worker 0.
  BackendProbe(AgentContext &Context, std::function<void()> OnChange);
  void start();
  BackendReport report() const;

private:
  void probePeriodically();
  void sendProbe();
  void recordResult(bool Healthy, const std::string &Body);

  AgentContext &m_Context;
  const std::function<void()> m_OnChange;
  Timer m_Timer;
  int m_ConsecutiveFailures = 0;
  std::uint64_t m_ProbeCount = 0;
  // The last answer repeated the ID of its probe. If not, the next probe uses a
  // connection of its own, as its answer couldn't be told from others.
  bool m_IsNamed = false;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  BackendReport m_Report;
};

} // namespace mangocart

#endif
