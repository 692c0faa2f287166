// Probes health and load of the agent's backend server.
#include "Agent/BackendProbe.h"

#include "Agent/AgentContext.h"
#include "Core/WorkerPool.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace {

constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(1000);
// Consecutive failed probes after which the backend server is unavailable; a
// single lost probe is not sufficient evidence.
constexpr int UnavailableFailureThreshold = 2;
constexpr std::size_t MaxLoadPageBytes = std::size_t{64} * 1024;
constexpr const char *LoadPath = "/load";

double parseLoad(const std::string &Body) {
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
                    [Self = shared_from_this()] { Self->probePeriodically(); });
}

BackendReport BackendProbe::report() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Report;
}

void BackendProbe::probePeriodically() {
  sendProbe();
  m_Timer.expires_after(ProbeInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->probePeriodically();
      });
}

void BackendProbe::sendProbe() {
  struct ProbeResponse {
    unsigned m_Status = 0;
    std::string m_Body;
  };
  const auto Response = std::make_shared<ProbeResponse>();
  HttpRequest Request;
  Request.m_Method = "GET";
  Request.m_Target = LoadPath;
  const std::string Id = fmt::format("probe-{}", ++m_ProbeCount);
  Request.m_Headers.push_back({BackendRequestHeader, Id});
  HttpCallHandlers Handlers;
  if (m_IsNamed)
    Handlers.m_OwnerOf = [Id](const HttpHead &Head) {
      return ownerByHeader(Head, BackendRequestHeader, Id);
    };
  Handlers.m_OnHead = [Self = shared_from_this(), Response,
                       Id](const HttpHead &Head) {
    Response->m_Status = Head.m_Status;
    Self->m_IsNamed =
        ownerByHeader(Head, BackendRequestHeader, Id) == AnswerOwner::ThisCall;
  };
  Handlers.m_OnBody = [Response](std::string_view Data) {
    Response->m_Body.append(Data);
  };
  Handlers.m_OnEnd = [Self = shared_from_this(), Response] {
    // A client error, as from a service without a load page, still shows that
    // the backend server answers.
    constexpr unsigned FirstServerError = 500;
    Self->recordResult(Response->m_Status < FirstServerError, Response->m_Body);
  };
  Handlers.m_OnError = [Self = shared_from_this()](const HttpError &) {
    Self->m_IsNamed = false;
    Self->recordResult(false, {});
  };
  Handlers.m_MaxBodyBytes = MaxLoadPageBytes;
  m_Context.m_Clients.on(m_Timer.get_executor())
      .send(m_Context.backend(), std::move(Request), ProbeTimeout,
            std::move(Handlers));
}

void BackendProbe::recordResult(bool Healthy, const std::string &Body) {
  m_ConsecutiveFailures = Healthy ? 0 : m_ConsecutiveFailures + 1;
  bool Changed = false;
  {
    const std::lock_guard Lock(m_Mutex);
    const bool Available =
        Healthy || (m_Report.m_Available &&
                    m_ConsecutiveFailures < UnavailableFailureThreshold);
    Changed = Available != m_Report.m_Available;
    m_Report.m_Available = Available;
    if (Healthy) {
      m_Report.m_Load = parseLoad(Body);
      m_Report.m_MeasuredAt = RuntimeClock::now();
    }
  }
  if (Changed)
    m_OnChange();
}

} // namespace mangocart
