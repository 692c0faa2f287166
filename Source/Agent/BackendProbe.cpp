// Health and load of the backend server beside the agent.
#include "Agent/BackendProbe.h"

#include "Agent/AgentContext.h"
#include "Core/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace mangocart {

namespace {

constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
constexpr Duration ProbeDeadline = std::chrono::milliseconds(1000);
// One lost probe says little; this many in a row count as down.
constexpr int FailuresUntilUnavailable = 2;
constexpr const char *LoadPath = "/load";

double readLoad(const std::string &Body) {
  boost::system::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Body, Error);
  if (Error || !Parsed.is_object())
    return 0;
  const boost::json::value *Load =
      Parsed.as_object().if_contains("outstanding");
  if (!Load || !Load->is_number())
    return 0;
  return Load->to_number<double>();
}

} // namespace

BackendProbe::BackendProbe(AgentContext &Context,
                           std::function<void()> OnChange)
    : m_Context(Context), m_OnChange(std::move(OnChange)),
      m_Timer(Context.m_Workers.worker(0)) {}

void BackendProbe::start() {
  boost::asio::post(m_Timer.get_executor(),
                    [Self = shared_from_this()] { Self->tick(); });
}

BackendReport BackendProbe::report() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Report;
}

void BackendProbe::tick() {
  ask();
  m_Timer.expires_after(ProbeInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->tick();
      });
}

void BackendProbe::ask() {
  struct Answer {
    unsigned m_Status = 0;
    std::string m_Body;
  };
  const auto Got = std::make_shared<Answer>();
  HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Target = LoadPath;
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Got](const HttpHead &Head) {
    Got->m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [Got](std::string_view Data) {
    Got->m_Body.append(Data);
  };
  Handlers.m_OnEnd = [Self = shared_from_this(), Got] {
    // A service without a load page still shows that it answers.
    constexpr unsigned FirstServerError = 500;
    Self->done(Got->m_Status < FirstServerError, Got->m_Body);
  };
  Handlers.m_OnError = [Self = shared_from_this()](const HttpError &) {
    Self->done(false, {});
  };
  m_Context.m_Clients.on(m_Timer.get_executor())
      .send(m_Context.backend(), std::move(Request), ProbeDeadline,
            std::move(Handlers));
}

void BackendProbe::done(bool Healthy, const std::string &Body) {
  m_FailuresInRow = Healthy ? 0 : m_FailuresInRow + 1;
  bool Changed = false;
  {
    const std::lock_guard Lock(m_Mutex);
    const bool Available =
        Healthy ||
        (m_Report.m_Available && m_FailuresInRow < FailuresUntilUnavailable);
    Changed = Available != m_Report.m_Available;
    m_Report.m_Available = Available;
    if (Healthy) {
      m_Report.m_Load = readLoad(Body);
      m_Report.m_MeasuredAt = RuntimeClock::now();
    }
  }
  if (Changed)
    m_OnChange();
}

} // namespace mangocart
