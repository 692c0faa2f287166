// Request routing and load report of the simulated backend server.
#include "Standin/Standin.h"

#include "Core/WorkerPool.h"
#include "Standin/BookingHandler.h"
#include "Standin/DraftHandler.h"
#include "Standin/StandinOrderHandler.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace mangocart {

namespace json = boost::json;

namespace {

// Load at the time of the last sample.
struct LoadSample {
  std::size_t m_Running = 0;
  std::size_t m_Waiting = 0;
  TimePoint m_SampledAt;
};

std::string_view requestPath(const HttpRequest &Request) {
  const std::string_view Target = Request.m_Target;
  return Target.substr(0, Target.find('?'));
}

// Returns N of "?after=N", or 0 without this parameter.
std::uint64_t afterParameter(std::string_view Target) {
  constexpr std::string_view Key("?after=");
  std::uint64_t Number = 0;
  const std::size_t At = Target.find(Key);
  if (At != std::string_view::npos)
    std::from_chars(Target.data() + At + Key.size(),
                    Target.data() + Target.size(), Number);
  return Number;
}

void respond(HttpExchange &Exchange, HttpResponse Response) {
  echoRequestId(Response.m_Head, Exchange.request());
  Exchange.respond(std::move(Response));
}

// Returns whether an event is never published. The decision is the same for
// every reader and every read.
bool isLost(const CacheEvent &Event, double LossRate, std::uint64_t Seed) {
  if (LossRate <= 0.0)
    return false;
  Random Generator(Seed ^ Event.m_Number);
  return uniformReal(Generator) < LossRate;
}

} // namespace

struct Standin::State {
  State(WorkerPool &Workers, StandinOptions Options,
        std::function<void()> Terminate)
      : m_Context(std::make_shared<StandinContext>(std::move(Options))),
        m_Log(m_Context->m_Options.m_RunLog),
        m_Orders(m_Context->m_Options.m_OrderLog,
                 m_Context->m_Options.m_CheckFencing),
        m_LoadTimer(Workers.worker(0)),
        m_Server(Workers, {},
                 [this](const std::shared_ptr<HttpExchange> &Exchange) {
                   route(Exchange);
                 }) {
    m_Context->m_Terminate = std::move(Terminate);
    sampleLoad();
  }

  void route(const std::shared_ptr<HttpExchange> &Exchange);
  void handleDraft(const std::shared_ptr<HttpExchange> &Exchange);
  void handleBooking(const std::shared_ptr<HttpExchange> &Exchange);
  void handleOrder(HttpExchange &Exchange);
  void handleHealth(HttpExchange &Exchange);
  void handleLoad(HttpExchange &Exchange);
  void handleCacheEvents(HttpExchange &Exchange);
  void handleFaults(HttpExchange &Exchange);
  void setFaults(const Faults &Settings);
  void sampleLoad();

  std::shared_ptr<StandinContext> m_Context;
  RunLog m_Log;
  StandinOrderHandler m_Orders;
  LoadSample m_Load;
  Timer m_LoadTimer;
  HttpServer m_Server;
};

void Standin::State::route(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::string_view Path = requestPath(Request);
  if (Path == "/health")
    return handleHealth(*Exchange);
  if (Path == "/load")
    return handleLoad(*Exchange);
  if (Path == "/cache-events")
    return handleCacheEvents(*Exchange);
  if (Path == "/faults")
    return handleFaults(*Exchange);
  if (Request.m_Method != "POST")
    return Exchange->respond(errorResponse(404, "no such page"));
  if (Path == "/orders")
    return handleOrder(*Exchange);
  if (m_Context->m_Options.m_Kind == StandinKind::Engine)
    return handleDraft(Exchange);
  if (Path.starts_with("/bookings"))
    return handleBooking(Exchange);
  Exchange->respond(errorResponse(404, "no such page"));
}

void Standin::State::handleDraft(
    const std::shared_ptr<HttpExchange> &Exchange) {
  auto Request = parseDraftRequest(Exchange->request().m_Body);
  if (!Request)
    return Exchange->respond(errorResponse(400, Request.error().m_Detail));
  std::make_shared<DraftHandler>(m_Context, Exchange,
                                 std::move(Request.value()))
      ->begin();
}

void Standin::State::handleBooking(
    const std::shared_ptr<HttpExchange> &Exchange) {
  std::make_shared<BookingHandler>(m_Context, Exchange, m_Log)->begin();
}

void Standin::State::handleOrder(HttpExchange &Exchange) {
  const RequestFaults Faults(*m_Context);
  if (Faults.current().m_Refuse)
    return Exchange.respond(errorResponse(503, "refused by a fault"));
  HttpResponse Response = m_Orders.handle(Exchange.request());
  if (Faults.current().m_DropAnswer)
    return Exchange.abort();
  respond(Exchange, std::move(Response));
}

void Standin::State::handleHealth(HttpExchange &Exchange) {
  // The connection is closed without a response.
  if (m_Context->m_Faults.m_StallHealth)
    return Exchange.abort();
  respond(Exchange, jsonResponse(200, R"({"status":"ok"})"));
}

void Standin::State::handleLoad(HttpExchange &Exchange) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const StandinCounters &Counters = m_Context->m_Counters;
  const json::object Body{
      {"name", m_Context->m_Options.m_Name},
      {"outstanding", m_Load.m_Running + m_Load.m_Waiting},
      {"running", m_Load.m_Running},
      {"waiting", m_Load.m_Waiting},
      {"slots", m_Context->m_Options.m_Slots},
      {"age_ms",
       duration_cast<milliseconds>(RuntimeClock::now() - m_Load.m_SampledAt)
           .count()},
      {"completed", Counters.m_Completed},
      {"cancelled", Counters.m_Cancelled},
      {"tokens", Counters.m_TokensGenerated}};
  respond(Exchange, jsonResponse(200, json::serialize(Body)));
}

void Standin::State::handleCacheEvents(HttpExchange &Exchange) {
  const Faults &Settings = m_Context->m_Faults;
  const auto Events = m_Context->m_Cache.eventsAfter(
      afterParameter(Exchange.request().m_Target),
      RuntimeClock::now() - Settings.m_CacheEventLag);
  json::array Published;
  for (const CacheEvent &Event : Events) {
    if (isLost(Event, Settings.m_CacheEventGaps, m_Context->m_Options.m_Seed))
      continue;
    Published.push_back(json::object{
        {"number", Event.m_Number},
        {"kind", Event.m_Kind == CacheEventKind::Stored ? "stored" : "evicted"},
        {"block", fmt::format("{:016x}", Event.m_Block)}});
  }
  const json::object Body{{"engine", m_Context->m_Options.m_Name},
                          {"block_bytes", PrefixCache::BlockBytes},
                          {"events", std::move(Published)}};
  Exchange.respond(jsonResponse(200, json::serialize(Body)));
}

void Standin::State::handleFaults(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.m_Method == "POST") {
    const auto Settings = parseFaults(Request.m_Body);
    if (!Settings)
      return Exchange.respond(errorResponse(400, Settings.error().m_Detail));
    if (Settings.value().m_Die)
      return m_Context->m_Terminate();
    setFaults(Settings.value());
  } else if (Request.m_Method == "DELETE") {
    setFaults({});
  } else if (Request.m_Method != "GET") {
    return Exchange.respond(errorResponse(405, "expected GET, POST or DELETE"));
  }
  Exchange.respond(jsonResponse(200, toJson(m_Context->m_Faults)));
}

void Standin::State::setFaults(const Faults &Settings) {
  m_Context->m_Faults = Settings;
  ++m_Context->m_FaultGeneration;
}

void Standin::State::sampleLoad() {
  m_Load = {m_Context->m_Slots.running(), m_Context->m_Slots.waiting(),
            RuntimeClock::now()};
  m_LoadTimer.expires_after(m_Context->m_Options.m_LoadLag);
  m_LoadTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      sampleLoad();
  });
}

Standin::Standin(WorkerPool &Workers, StandinOptions Options,
                 std::function<void()> Terminate)
    : m_State(std::make_shared<State>(Workers, std::move(Options),
                                      std::move(Terminate))) {}

Standin::~Standin() = default;

Result<void, HttpError> Standin::listen() {
  const StandinOptions &Options = m_State->m_Context->m_Options;
  if (!m_State->m_Log.isOpen())
    return HttpError{HttpErrorCode::ListenFailed,
                     "cannot open the log file " + Options.m_RunLog, true};
  if (!m_State->m_Orders.isOpen())
    return HttpError{HttpErrorCode::ListenFailed,
                     "cannot open the log file " + Options.m_OrderLog, true};
  return m_State->m_Server.listen(Options.m_Address, Options.m_Port);
}

std::uint16_t Standin::port() const { return m_State->m_Server.port(); }

void Standin::closeListener() { m_State->m_Server.closeListener(); }

std::size_t Standin::exchangeCount() const {
  return m_State->m_Server.exchangeCount();
}

} // namespace mangocart
