// Sessions, announcements, crashes and the rank group of the engines.
#include "Gateways/EngineFleet.h"

#include "Gateways/GatewayDeployment.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fcntl.h>
#include <functional>
#include <optional>
#include <sstream>

namespace mangocart::test {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::uint16_t EnginePort = 9000;
constexpr milliseconds AnnounceInterval{1000};
constexpr const char *RequestIdHeader = "X-Mangocart-Request-Id";
// With the end of an event, as if it could be one.
constexpr const char *FailureText = "the engine failed\n\n";
constexpr const char *PartsHeader = "X-Mangocart-Prompt-Prefix";
constexpr const char *ExpectedHeader = "X-Mangocart-Expect-Instance";

std::vector<std::string> partsOf(const std::string &Header) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Header);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part.substr(0, Part.find(':')));
  return Parts;
}

// Processes that are started meanwhile must not keep the socket open.
void closeOnExec(int Socket) { ::fcntl(Socket, F_SETFD, FD_CLOEXEC); }

std::string chunk(const std::string &Data) {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace

struct EngineFleet::Engine {
  explicit Engine(asio::io_context &Context)
      : m_Acceptor(Context), m_Restart(Context) {}

  std::string m_Id;
  std::string m_Ip;
  // Its start time; 0 if it names none.
  std::uint64_t m_Started = 0;
  std::string m_Headers;
  Clock::time_point m_ColdUntil;
  unsigned m_Rank = 0;
  bool m_Rejects = false;
  // Status of all answers; 0 while it works.
  unsigned m_FailureStatus = 0;
  // Bytes of each head after which it closes the connection.
  std::optional<std::size_t> m_HeadBytes;
  bool m_Frozen = false;
  bool m_Up = false;
  tcp::acceptor m_Acceptor;
  asio::steady_timer m_Restart;
  std::set<std::shared_ptr<Session>> m_Sessions;
};

// One connection; handles its requests one after the other.
class EngineFleet::Session : public std::enable_shared_from_this<Session> {
public:
  Session(EngineFleet &Fleet, Engine &Own, tcp::socket Socket)
      : m_Fleet(Fleet), m_Engine(Own), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor()) {
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
  }

  void read() {
    m_Request = {};
    m_State = State::Idle;
    http::async_read(
        m_Socket, m_Buffer, m_Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Self->m_Closed)
            return;
          if (Error)
            return Self->end();
          Self->handle();
        });
  }

  // Closes the connection, with a reset if Abortive.
  void close(bool Abortive) {
    if (m_Closed)
      return;
    m_Closed = true;
    m_Timer.cancel();
    error_code Ignored;
    if (Abortive)
      m_Socket.set_option(tcp::socket::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

  // Goes on with what stopped when the machine froze.
  void wake() {
    if (auto Next = std::exchange(m_Stopped, {}))
      Next();
  }

  // The rank group has broken: begun answers are cut off, others not run.
  void onGroupBroken() {
    if (m_State == State::Writing)
      return end(true);
    if (m_State == State::Waiting) {
      m_Timer.cancel();
      rejectBroken();
    }
  }

private:
  enum class State { Idle, Waiting, Writing };

  void end(bool Abortive = false) {
    close(Abortive);
    m_Engine.m_Sessions.erase(shared_from_this());
  }

  void handle() {
    if (m_Engine.m_Frozen) {
      m_Stopped = [this] { handle(); };
      return;
    }
    if (m_Request.method() == http::verb::get)
      return respond(200, {},
                     m_Fleet.m_Options.m_ReportsStart
                         ? fmt::format(R"({{"born":{}}})", m_Engine.m_Started)
                         : "{}");
    m_Parts = partsOf(std::string(m_Request[PartsHeader]));
    if (std::string(m_Request[ExpectedHeader]) != m_Engine.m_Id)
      return respond(421, {}, "");
    if (m_Fleet.m_Broken)
      return rejectBroken();
    m_Fleet.recordArrival(m_Engine, m_Parts, m_Request.body());
    if (m_Engine.m_Rejects)
      return respond(503, "X-Mangocart-Not-Run: 1\r\n", "");
    if (m_Engine.m_FailureStatus != 0)
      return respond(m_Engine.m_FailureStatus, "", FailureText);
    m_State = State::Waiting;
    after(m_Fleet.m_Options.m_FirstToken, [this] { begin(); });
  }

  void rejectBroken() {
    respond(503,
            fmt::format("X-Mangocart-Not-Run: 1\r\nAt-Server: {}\r\n",
                        m_Fleet.m_FaultyAddress),
            "");
  }

  void begin() {
    if (m_Fleet.m_Stalled)
      return after(m_Fleet.m_Options.m_EventInterval, [this] { begin(); });
    const std::string Last(m_Request["Last-Event-Id"]);
    m_NextEvent = Last.empty() ? 1 : std::stoul(Last) + 1;
    m_State = State::Writing;
    const std::optional<std::string> Cause = causeOfCrash();
    const bool IsStream = m_Request.target().starts_with("/stream/");
    const std::string Head = makeHead(IsStream);
    if (m_Engine.m_HeadBytes && *m_Engine.m_HeadBytes < Head.size())
      return write(Head.substr(0, *m_Engine.m_HeadBytes), [this] { end(); });
    if (Cause) {
      // Without a length, a whole event or half of a body looks like an end.
      const std::string Begun = m_Fleet.m_Options.m_Unframed
                                    ? (IsStream ? event(m_NextEvent) : "half")
                                    : "";
      return write(Head + Begun,
                   [this, Cause] { m_Fleet.crash(m_Engine, *Cause); });
    }
    if (!IsStream) {
      return write(Head + "whole answer", [this] { finish(); });
    }
    write(Head, [this] { writeEvent(); });
  }

  // What in the request ends the engine.
  std::optional<std::string> causeOfCrash() const {
    const FleetOptions &Options = m_Fleet.m_Options;
    if (Options.m_CrashingBodies.contains(m_Request.body()))
      return m_Request.body();
    const auto Part =
        std::find_if(m_Parts.begin(), m_Parts.end(), [&](const auto &Each) {
          return Options.m_CrashingParts.contains(Each);
        });
    return Part == m_Parts.end() ? std::nullopt : std::optional(*Part);
  }

  std::string makeHead(bool IsStream) const {
    std::string Head = fmt::format(
        "HTTP/1.1 200 OK\r\n{}: {}\r\nX-Mangocart-Server-Stamp: s\r\n{}",
        RequestIdHeader, std::string(m_Request[RequestIdHeader]),
        m_Engine.m_Headers);
    if (IsStream)
      Head += "Content-Type: text/event-stream\r\n";
    if (m_Fleet.m_Options.m_Unframed)
      Head += "Connection: close\r\n";
    else
      Head += IsStream ? "Transfer-Encoding: chunked\r\n"
                       : "Content-Length: 12\r\n";
    return Head + "\r\n";
  }

  std::string event(std::size_t Number) const {
    return fmt::format("id: {}\ndata: {}\n\n", Number,
                       Number == m_Fleet.m_Options.m_Events ? "last" : "token");
  }

  void writeEvent() {
    if (m_Fleet.m_Stalled)
      return after(m_Fleet.m_Options.m_EventInterval, [this] { writeEvent(); });
    if (m_NextEvent > m_Fleet.m_Options.m_Events)
      return write(m_Fleet.m_Options.m_Unframed ? "" : "0\r\n\r\n",
                   [this] { finish(); });
    const std::string Data = event(m_NextEvent++);
    write(m_Fleet.m_Options.m_Unframed ? Data : chunk(Data), [this] {
      after(m_Fleet.m_Options.m_EventInterval, [this] { writeEvent(); });
    });
  }

  void finish() {
    if (m_Fleet.m_Options.m_Unframed)
      return end();
    read();
  }

  void respond(unsigned Status, const std::string &Headers,
               const std::string &Body) {
    m_State = State::Idle;
    write(fmt::format("HTTP/1.1 {} -\r\n{}: {}\r\n{}{}Content-Length: "
                      "{}\r\n\r\n{}",
                      Status, RequestIdHeader,
                      std::string(m_Request[RequestIdHeader]),
                      m_Engine.m_Headers, Headers, Body.size(), Body),
          [this] { read(); });
  }

  template <class Task> void after(milliseconds Delay, Task Next) {
    m_Timer.expires_after(Delay);
    m_Timer.async_wait([Self = shared_from_this(), Next](error_code Error) {
      if (Error || Self->m_Closed)
        return;
      if (Self->m_Engine.m_Frozen)
        Self->m_Stopped = Next;
      else
        Next();
    });
  }

  template <class Task> void write(std::string Bytes, Task Next) {
    m_Output = std::move(Bytes);
    asio::async_write(
        m_Socket, asio::buffer(m_Output),
        [Self = shared_from_this(), Next](error_code Error, std::size_t) {
          if (Self->m_Closed)
            return;
          if (Error)
            return Self->end();
          Next();
        });
  }

  EngineFleet &m_Fleet;
  Engine &m_Engine;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  http::request<http::string_body> m_Request;
  std::vector<std::string> m_Parts;
  std::function<void()> m_Stopped;
  std::string m_Output;
  std::size_t m_NextEvent = 1;
  State m_State = State::Idle;
  bool m_Closed = false;
};

FleetOptions fleetOptionsFor(const GatewayDeployment &Deployment) {
  FleetOptions Options;
  Options.m_Network = Deployment.engineNetwork();
  Options.m_Voter = Deployment.voter();
  return Options;
}

EngineFleet::EngineFleet(FleetOptions Options)
    : m_Options(std::move(Options)), m_Client(m_Context),
      m_AnnounceTimer(m_Context) {
  for (unsigned I = 0; I < m_Options.m_Engines; ++I) {
    m_Engines.push_back(std::make_unique<Engine>(m_Context));
    m_Engines.back()->m_Rank = I;
    m_Engines.back()->m_Ip = fmt::format("{}.{}", m_Options.m_Network, I + 1);
  }
}

EngineFleet::~EngineFleet() {
  m_Context.stop();
  if (m_Thread.joinable())
    m_Thread.join();
  for (const auto &Each : m_Engines)
    for (const auto &Connection : Each->m_Sessions)
      Connection->close(false);
}

void EngineFleet::start() {
  for (const auto &Each : m_Engines)
    open(*Each);
  announceAll();
  m_Thread = std::thread([this] { m_Context.run(); });
}

void EngineFleet::open(Engine &Each) {
  ++m_Started;
  Each.m_Id = m_Options.m_KeepsNames
                  ? fmt::format("i-{}", Each.m_Rank)
                  : fmt::format("i-{}-{}", Each.m_Rank, m_Started);
  if (m_Options.m_KeepsNames)
    Each.m_Started = m_Started;
  Each.m_Up = true;
  Each.m_Acceptor = tcp::acceptor(
      m_Context, {asio::ip::make_address(Each.m_Ip), EnginePort}, true);
  closeOnExec(Each.m_Acceptor.native_handle());
  accept(Each);
}

void EngineFleet::accept(Engine &Each) {
  Each.m_Acceptor.async_accept([this, &Each](error_code Error,
                                             tcp::socket Socket) {
    // A connection may have been accepted just before the engine ended.
    if (Error || !Each.m_Up)
      return;
    closeOnExec(Socket.native_handle());
    ++m_Connections;
    auto Connection = std::make_shared<Session>(*this, Each, std::move(Socket));
    Each.m_Sessions.insert(Connection);
    Connection->read();
    accept(Each);
  });
}

void EngineFleet::announceAll() {
  for (const auto &Each : m_Engines)
    if (Each->m_Up && !Each->m_Frozen)
      announce(*Each);
  m_AnnounceTimer.expires_after(AnnounceInterval);
  m_AnnounceTimer.async_wait([this](error_code Error) {
    if (!Error)
      announceAll();
  });
}

void EngineFleet::announce(const Engine &Each) {
  std::string Body = fmt::format(
      R"({{"service":"engines","address":"{}:{}","zone":"z{}","version":"v1",)"
      R"("slots":8,"state":"ready","cold_remaining_ms":{},"sequence":{})",
      Each.m_Ip, EnginePort, Each.m_Rank % 3,
      std::max<std::int64_t>(
          0, std::chrono::ceil<milliseconds>(Each.m_ColdUntil - Clock::now())
                 .count()),
      ++m_Sequence);
  if (Each.m_Started > 0)
    Body += fmt::format(R"(,"born":{})", Each.m_Started);
  if (m_Options.m_Grouped)
    Body += fmt::format(
        R"(,"group":{{"name":"g","epoch":{},"rank":{},"state":"{}"}},"size":{})",
        m_Epoch, Each.m_Rank, m_Broken ? "broken" : "open",
        m_Options.m_Engines);
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [](const HttpHead &) {};
  Handlers.m_OnBody = [](std::string_view) {};
  Handlers.m_OnEnd = [] {};
  Handlers.m_OnError = [](const HttpError &) {};
  m_Client.send(m_Options.m_Voter,
                {"PUT",
                 "/instances/" + Each.m_Id,
                 {{"Host", "voter"}, {"Content-Type", "application/json"}},
                 Body + "}",
                 {}},
                std::chrono::seconds(1), std::move(Handlers));
}

void EngineFleet::crash(Engine &Each, const std::string &Cause) {
  if (!Each.m_Up)
    return;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Crashes.push_back({Clock::now(), Cause});
  }
  Each.m_Up = false;
  ++m_Down;
  error_code Ignored;
  Each.m_Acceptor.close(Ignored);
  for (const auto &Connection : std::exchange(Each.m_Sessions, {}))
    Connection->close(false);
  Each.m_Restart.expires_after(m_Options.m_Restart);
  Each.m_Restart.async_wait([this, &Each](error_code Error) {
    if (Error)
      return;
    --m_Down;
    open(Each);
    announce(Each);
    formGroup();
  });
  if (!m_Options.m_Grouped || std::exchange(m_Stalled, true))
    return;
  auto Stall = std::make_shared<asio::steady_timer>(m_Context);
  Stall->expires_after(m_Options.m_Stall);
  Stall->async_wait(
      [this, Stall, Address = fmt::format("{}:{}", Each.m_Ip, EnginePort)](
          error_code) { breakGroup(Address); });
}

void EngineFleet::breakGroup(const std::string &FaultyAddress) {
  m_Broken = true;
  m_FaultyAddress = FaultyAddress;
  for (const auto &Each : m_Engines) {
    const auto Sessions = Each->m_Sessions;
    for (const auto &Connection : Sessions)
      Connection->onGroupBroken();
    if (Each->m_Up)
      announce(*Each);
  }
}

void EngineFleet::formGroup() {
  if (!m_Options.m_Grouped || m_Down > 0)
    return;
  auto Form = std::make_shared<asio::steady_timer>(m_Context);
  Form->expires_after(m_Options.m_Form);
  Form->async_wait([this, Form](error_code) {
    if (m_Down > 0)
      return;
    ++m_Epoch;
    m_Broken = m_Stalled = false;
    for (const auto &Each : m_Engines)
      announce(*Each);
  });
}

void EngineFleet::recordArrival(const Engine &Each,
                                std::vector<std::string> Parts,
                                std::string Body) {
  const std::lock_guard Lock(m_Mutex);
  m_Arrivals.push_back({Clock::now(), Each.m_Rank, Each.m_Id, std::move(Parts),
                        std::move(Body), Each.m_Rejects});
}

std::vector<Arrival> EngineFleet::arrivals() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Arrivals;
}

std::vector<Crash> EngineFleet::crashes() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Crashes;
}

void EngineFleet::endEngine(unsigned Index) {
  asio::post(m_Context, [this, Index] {
    if (m_Engines[Index]->m_Up)
      crash(*m_Engines[Index], "");
  });
}

void EngineFleet::setHeaders(unsigned Index, std::string Lines) {
  asio::post(m_Context, [this, Index, Lines = std::move(Lines)] {
    m_Engines[Index]->m_Headers = Lines;
  });
}

void EngineFleet::setCold(unsigned Index, milliseconds For) {
  asio::post(m_Context, [this, Index, For] {
    Engine &Each = *m_Engines[Index];
    Each.m_ColdUntil = Clock::now() + For;
    Each.m_Headers = fmt::format("X-Mangocart-Cold-Ms: {}\r\n", For.count());
    announce(Each);
  });
}

void EngineFleet::setFailing(unsigned Index, unsigned Status) {
  asio::post(m_Context, [this, Index, Status] {
    m_Engines[Index]->m_FailureStatus = Status;
  });
}

void EngineFleet::setHeadBytes(unsigned Index, std::size_t Bytes) {
  asio::post(m_Context,
             [this, Index, Bytes] { m_Engines[Index]->m_HeadBytes = Bytes; });
}

void EngineFleet::setRejecting(unsigned Index, bool Rejects) {
  asio::post(m_Context,
             [this, Index, Rejects] { m_Engines[Index]->m_Rejects = Rejects; });
}

void EngineFleet::setFrozen(unsigned Index, bool Frozen) {
  asio::post(m_Context, [this, Index, Frozen] {
    Engine &Each = *m_Engines[Index];
    Each.m_Frozen = Frozen;
    if (!Frozen)
      wake(Each);
  });
}

void EngineFleet::wake(Engine &Each) {
  const auto Sessions = Each.m_Sessions;
  for (const auto &Connection : Sessions)
    Connection->wake();
}

} // namespace mangocart::test
