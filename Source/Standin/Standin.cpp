// Routes of the stand-in and its load report.
#include "Standin/Standin.h"

#include "Core/WorkerPool.h"
#include "Standin/BookingRun.h"
#include "Standin/DraftStream.h"
#include "Standin/StandinOrders.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace mangocart {

namespace json = boost::json;

namespace {

// Load as it was some time ago.
struct LoadSample {
  std::size_t m_Running = 0;
  std::size_t m_Waiting = 0;
  TimePoint m_Taken;
};

std::string_view pathOf(const HttpRequest &Request) {
  const std::string_view Target = Request.m_Target;
  return Target.substr(0, Target.find('?'));
}

// N of "?after=N"; 0 without one.
std::uint64_t numberAfter(std::string_view Target) {
  constexpr std::string_view Key("?after=");
  std::uint64_t Number = 0;
  const std::size_t At = Target.find(Key);
  if (At != std::string_view::npos)
    std::from_chars(Target.data() + At + Key.size(),
                    Target.data() + Target.size(), Number);
  return Number;
}

// Whether an event is never published. The same event is lost for each reader
// and at each reading.
bool isLost(const CacheEvent &Event, double GapShare, std::uint64_t Seed) {
  if (GapShare <= 0.0)
    return false;
  Random Generator(Seed ^ Event.m_Number);
  return uniformReal(Generator) < GapShare;
}

} // namespace

struct Standin::State {
  State(WorkerPool &Workers, StandinOptions Options, std::function<void()> Die)
      : m_Shared(std::make_shared<StandinShared>(std::move(Options))),
        m_Log(m_Shared->m_Options.m_RunLog),
        m_Orders(m_Shared->m_Options.m_OrderLog,
                 m_Shared->m_Options.m_CheckFencing),
        m_LoadTimer(Workers.worker(0)),
        m_Server(Workers, {},
                 [this](const std::shared_ptr<HttpExchange> &Exchange) {
                   route(Exchange);
                 }) {
    m_Shared->m_Die = std::move(Die);
    sampleLoad();
  }

  void route(const std::shared_ptr<HttpExchange> &Exchange);
  void draft(const std::shared_ptr<HttpExchange> &Exchange);
  void booking(const std::shared_ptr<HttpExchange> &Exchange);
  void order(HttpExchange &Exchange);
  void health(HttpExchange &Exchange);
  void load(HttpExchange &Exchange);
  void cacheEvents(HttpExchange &Exchange);
  void faults(HttpExchange &Exchange);
  void setFaults(const Faults &Set);
  void sampleLoad();

  std::shared_ptr<StandinShared> m_Shared;
  RunLog m_Log;
  StandinOrders m_Orders;
  LoadSample m_Load;
  Timer m_LoadTimer;
  HttpServer m_Server;
};

void Standin::State::route(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::string_view Path = pathOf(Request);
  if (Path == "/health")
    return health(*Exchange);
  if (Path == "/load")
    return load(*Exchange);
  if (Path == "/cache-events")
    return cacheEvents(*Exchange);
  if (Path == "/faults")
    return faults(*Exchange);
  if (Request.m_Method != "POST")
    return Exchange->respond(errorResponse(404, "no such page"));
  if (Path == "/orders")
    return order(*Exchange);
  if (m_Shared->m_Options.m_Kind == StandinKind::Engine)
    return draft(Exchange);
  if (Path.starts_with("/bookings"))
    return booking(Exchange);
  Exchange->respond(errorResponse(404, "no such page"));
}

void Standin::State::draft(const std::shared_ptr<HttpExchange> &Exchange) {
  auto Request = parseDraftRequest(Exchange->request().m_Body);
  if (!Request)
    return Exchange->respond(errorResponse(400, Request.error().m_Detail));
  std::make_shared<DraftStream>(m_Shared, Exchange, std::move(Request.value()))
      ->begin();
}

void Standin::State::booking(const std::shared_ptr<HttpExchange> &Exchange) {
  std::make_shared<BookingRun>(m_Shared, Exchange, m_Log)->begin();
}

void Standin::State::order(HttpExchange &Exchange) {
  const RequestFaults Faults(*m_Shared);
  if (Faults.now().m_Refuse)
    return Exchange.respond(errorResponse(503, "refused by a fault"));
  HttpResponse Answer = m_Orders.take(Exchange.request());
  if (Faults.now().m_DropAnswer)
    return Exchange.abort();
  Exchange.respond(std::move(Answer));
}

void Standin::State::health(HttpExchange &Exchange) {
  // Without an answer the client's own deadline decides.
  if (m_Shared->m_Faults.m_StallHealth)
    return Exchange.abort();
  Exchange.respond(jsonResponse(200, R"({"status":"ok"})"));
}

void Standin::State::load(HttpExchange &Exchange) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const StandinCounts &Counts = m_Shared->m_Counts;
  const json::object Body{{"name", m_Shared->m_Options.m_Name},
                          {"outstanding", m_Load.m_Running + m_Load.m_Waiting},
                          {"running", m_Load.m_Running},
                          {"waiting", m_Load.m_Waiting},
                          {"slots", m_Shared->m_Options.m_Slots},
                          {"age_ms", duration_cast<milliseconds>(
                                         RuntimeClock::now() - m_Load.m_Taken)
                                         .count()},
                          {"completed", Counts.m_Completed},
                          {"cancelled", Counts.m_Cancelled},
                          {"tokens", Counts.m_TokensGenerated}};
  Exchange.respond(jsonResponse(200, json::serialize(Body)));
}

void Standin::State::cacheEvents(HttpExchange &Exchange) {
  const Faults &Set = m_Shared->m_Faults;
  const auto Events =
      m_Shared->m_Cache.eventsAfter(numberAfter(Exchange.request().m_Target),
                                    RuntimeClock::now() - Set.m_CacheEventLag);
  json::array Shown;
  for (const CacheEvent &Event : Events) {
    if (isLost(Event, Set.m_CacheEventGaps, m_Shared->m_Options.m_Seed))
      continue;
    Shown.push_back(json::object{
        {"number", Event.m_Number},
        {"kind", Event.m_Kind == CacheEventKind::Stored ? "stored" : "evicted"},
        {"block", fmt::format("{:016x}", Event.m_Block)}});
  }
  const json::object Body{{"engine", m_Shared->m_Options.m_Name},
                          {"block_bytes", PrefixCache::BlockBytes},
                          {"events", std::move(Shown)}};
  Exchange.respond(jsonResponse(200, json::serialize(Body)));
}

void Standin::State::faults(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.m_Method == "POST") {
    const auto Set = parseFaults(Request.m_Body);
    if (!Set)
      return Exchange.respond(errorResponse(400, Set.error().m_Detail));
    if (Set.value().m_Die)
      return m_Shared->m_Die();
    setFaults(Set.value());
  } else if (Request.m_Method == "DELETE") {
    setFaults({});
  } else if (Request.m_Method != "GET") {
    return Exchange.respond(errorResponse(405, "expected GET, POST or DELETE"));
  }
  Exchange.respond(jsonResponse(200, toJson(m_Shared->m_Faults)));
}

void Standin::State::setFaults(const Faults &Set) {
  m_Shared->m_Faults = Set;
  ++m_Shared->m_FaultGeneration;
}

void Standin::State::sampleLoad() {
  m_Load = {m_Shared->m_Slots.running(), m_Shared->m_Slots.waiting(),
            RuntimeClock::now()};
  m_LoadTimer.expires_after(m_Shared->m_Options.m_LoadLag);
  m_LoadTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      sampleLoad();
  });
}

Standin::Standin(WorkerPool &Workers, StandinOptions Options,
                 std::function<void()> Die)
    : m_State(std::make_shared<State>(Workers, std::move(Options),
                                      std::move(Die))) {}

Standin::~Standin() = default;

Result<void, HttpError> Standin::listen() {
  const StandinOptions &Options = m_State->m_Shared->m_Options;
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
