// Connections, answers and heartbeats of the replicas.
#include "Soak/ReplicaFleet.h"

#include "Gateways/GatewayProcess.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <future>
#include <set>

#include <fcntl.h>

namespace mangocart::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t ReplicaPort = 9000;
constexpr auto BeatInterval = 600ms;
// Shorter than that of a real replica, as one thread sends all heartbeats.
constexpr auto BeatTimeout = 200ms;
// The first two places are sound.
constexpr unsigned SoundPlaces = 2;
constexpr auto WorkTime = 20ms;
constexpr auto EventGap = 15ms;
constexpr auto LateCopyDelay = 60ms;

enum class Fault { None, ExtraCopy, LateCopy, Cut, Lost, Endless };
enum class Framing { Length, Chunks, UntilClose };

// Processes that are started meanwhile must not keep the socket open.
void closeOnExec(int Socket) { ::fcntl(Socket, F_SETFD, FD_CLOEXEC); }

std::string chunkOf(const std::string &Data) {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace

std::string soakBody(const std::string &RequestId) {
  std::string Body;
  for (std::size_t I = 0; I < 40 + RequestId.size() % 7; ++I)
    Body += RequestId + ";";
  return Body;
}

std::string soakEvent(const std::string &RequestId, unsigned Number) {
  return fmt::format("id: {}\ndata: {}-{}\n\n", Number, RequestId, Number);
}

struct ReplicaFleet::Replica {
  explicit Replica(asio::io_context &Context) : m_Acceptor(Context) {}

  std::string m_Name;
  std::string m_Address;
  bool m_IsFaulty = false;
  std::uint64_t m_Started = 0;
  std::uint64_t m_Sequence = 0;
  bool m_Beats = true;
  // Below: on the thread of the fleet.
  bool m_HasEnded = false;
  tcp::acceptor m_Acceptor;
  std::set<std::shared_ptr<Connection>> m_Connections;
};

struct ReplicaFleet::Connection
    : std::enable_shared_from_this<ReplicaFleet::Connection> {
  Connection(ReplicaFleet &Fleet, std::shared_ptr<Replica> At,
             tcp::socket Socket)
      : m_Fleet(Fleet), m_Replica(std::move(At)), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor()) {}

  void read() {
    m_Request = {};
    http::async_read(
        m_Socket, m_Buffer, m_Request,
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            return Self->end();
          Self->handle();
        });
  }

  void end() {
    error_code Ignored;
    m_Socket.close(Ignored);
    m_Timer.cancel();
    m_Replica->m_Connections.erase(shared_from_this());
  }

  // Writes the text, then goes on; nothing more is done after an error.
  void write(std::string Text, std::function<void()> Next) {
    m_Text = std::move(Text);
    asio::async_write(m_Socket, asio::buffer(m_Text),
                      [Self = shared_from_this(),
                       Next = std::move(Next)](error_code Error, std::size_t) {
                        if (Error)
                          return Self->end();
                        Next();
                      });
  }

  void after(SoakClock::duration Wait, std::function<void()> Next) {
    m_Timer.expires_after(Wait);
    m_Timer.async_wait(
        [Self = shared_from_this(), Next = std::move(Next)](error_code Error) {
          if (!Error)
            Next();
        });
  }

  void handle() {
    if (m_Request.method() == http::verb::get)
      return write(fmt::format("HTTP/1.1 200 OK\r\nX-Mangocart-Instance-Id: {}"
                               "\r\nContent-Length: {}\r\n\r\n{}",
                               m_Replica->m_Name, report().size(), report()),
                   [this] { read(); });
    m_Id = std::string(m_Request["X-Mangocart-Request-Id"]);
    if (m_Request["X-Mangocart-Expect-Instance"] != m_Replica->m_Name)
      return write(fmt::format("HTTP/1.1 421 M\r\nX-Mangocart-Not-Run: 1\r\n"
                               "X-Mangocart-Request-Id: {}\r\n"
                               "Content-Length: 0\r\n\r\n",
                               m_Id),
                   [this] { read(); });
    {
      const std::lock_guard Lock(m_Fleet.m_Mutex);
      m_Fleet.m_Runs.push_back({m_Id, m_Replica->m_Name, SoakClock::now()});
    }
    chooseFault();
    after(WorkTime, [this] { answer(); });
  }

  std::string report() const {
    return fmt::format(R"({{"born":{}}})", m_Replica->m_Started);
  }

  void chooseFault() {
    m_Fault = Fault::None;
    const std::uint64_t Drawn = uniform(m_Fleet.m_Random, 0, 99);
    if (m_Replica->m_IsFaulty && Drawn < 20)
      m_Fault = static_cast<Fault>(1 + Drawn % 5);
    m_Framing = static_cast<Framing>(uniform(m_Fleet.m_Random, 0, 2));
  }

  std::string headOf(bool IsStream, std::size_t BodyBytes) const {
    std::string Head =
        fmt::format("HTTP/1.1 200 OK\r\nX-Mangocart-Request-Id: {}\r\n"
                    "X-Mangocart-Server-Stamp: {}.{}\r\n",
                    m_Id, m_Replica->m_Name, m_Id);
    if (IsStream)
      Head += "Content-Type: text/event-stream\r\n";
    if (m_Framing == Framing::UntilClose)
      Head += "Connection: close\r\n";
    else if (m_Framing == Framing::Chunks || IsStream)
      Head += "Transfer-Encoding: chunked\r\n";
    else
      Head += fmt::format("Content-Length: {}\r\n", BodyBytes);
    return Head + "\r\n";
  }

  void answer() {
    if (m_Fault == Fault::Lost)
      return end();
    if (m_Fault == Fault::Endless)
      return answerWithoutEnd();
    if (m_Request.target().starts_with("/stream/")) {
      const std::string Last(m_Request["Last-Event-Id"]);
      m_Event = Last.empty() ? 1 : static_cast<unsigned>(std::stoul(Last)) + 1;
      if (m_Framing == Framing::Length)
        m_Framing = Framing::Chunks;
      return write(headOf(true, 0), [this] { writeEvent(); });
    }
    const std::string Body = soakBody(m_Id);
    std::string Text = headOf(false, Body.size());
    if (m_Framing == Framing::Chunks)
      Text +=
          chunkOf(Body.substr(0, 9)) + chunkOf(Body.substr(9)) + "0\r\n\r\n";
    else
      Text += Body;
    // Without a length, only the end of the replica cuts an answer off.
    if (m_Fault == Fault::Cut && m_Framing != Framing::UntilClose)
      return write(Text.substr(0, Text.size() - 20), [this] { end(); });
    finish(Text);
  }

  void finish(const std::string &Text) {
    if (m_Framing == Framing::UntilClose)
      return write(Text, [this] { end(); });
    if (m_Fault == Fault::ExtraCopy)
      return write(Text + Text, [this] { read(); });
    if (m_Fault == Fault::LateCopy)
      return write(Text, [this, Text] {
        after(LateCopyDelay, [this, Text] { write(Text, [this] { read(); }); });
      });
    write(Text, [this] { read(); });
  }

  void writeEvent() {
    if (m_Event > SoakEvents)
      return finish(m_Framing == Framing::Chunks ? "0\r\n\r\n" : "");
    if (m_Fault == Fault::Cut && m_Framing == Framing::Chunks &&
        m_Event == SoakEvents / 2)
      return end();
    const std::string Event = soakEvent(m_Id, m_Event++);
    write(m_Framing == Framing::Chunks ? chunkOf(Event) : Event,
          [this] { after(EventGap, [this] { writeEvent(); }); });
  }

  void answerWithoutEnd() {
    const std::string Begin =
        fmt::format("HTTP/1.1 500 E\r\nX-Mangocart-Request-Id: {}\r\n"
                    "X-Mangocart-Server-Stamp: s\r\n",
                    m_Id);
    static const std::string Fields =
        "A: " + std::string(1019, 'b') + "\r\nA: " + std::string(1019, 'b');
    const std::string Body = std::string(std::size_t{16} * 1024, 'x');
    if (m_Framing == Framing::Length)
      return write(Begin + Fields, [this] { repeat("\r\n" + Fields); });
    write(Begin + (m_Framing == Framing::Chunks
                       ? "Transfer-Encoding: chunked\r\n\r\n"
                       : "Content-Length: 99999999999\r\n\r\n"),
          [this, Body] {
            repeat(m_Framing == Framing::Chunks ? chunkOf(Body) : Body);
          });
  }

  void repeat(const std::string &Text) {
    write(Text, [this, Text] { repeat(Text); });
  }

  ReplicaFleet &m_Fleet;
  const std::shared_ptr<Replica> m_Replica;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  http::request<http::string_body> m_Request;
  std::string m_Id;
  std::string m_Text;
  Fault m_Fault = Fault::None;
  Framing m_Framing = Framing::Length;
  unsigned m_Event = 0;
};

ReplicaFleet::ReplicaFleet(const SoakSystem &System, std::uint64_t Seed)
    : m_System(System), m_Random(Seed), m_Replicas(Places) {
  m_Thread = std::thread([this] {
    const auto Guard = asio::make_work_guard(m_Context);
    m_Context.run();
  });
  for (unsigned I = 0; I < Places; ++I)
    startReplica(I);
  m_Beats = std::jthread([this](const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      sendHeartbeats();
      std::this_thread::sleep_for(BeatInterval);
    }
  });
}

ReplicaFleet::~ReplicaFleet() {
  m_Beats.request_stop();
  m_Beats.join();
  m_Context.stop();
  m_Thread.join();
}

void ReplicaFleet::startReplica(unsigned Place) {
  auto Started = std::make_shared<Replica>(m_Context);
  {
    const std::lock_guard Lock(m_Mutex);
    Started->m_Started = 1'000'000 + ++m_Started;
    Started->m_Name = fmt::format("r{}-{}", Place, m_Started);
    Started->m_Address = m_System.replicaAddress(Place);
    Started->m_IsFaulty = Place >= SoundPlaces;
    m_Replicas[Place] = Started;
  }
  std::promise<void> Done;
  asio::post(m_Context, [&] {
    Started->m_Acceptor = tcp::acceptor(
        m_Context, {asio::ip::make_address(Started->m_Address), ReplicaPort},
        true);
    closeOnExec(Started->m_Acceptor.native_handle());
    accept(Started);
    Done.set_value();
  });
  Done.get_future().wait();
}

void ReplicaFleet::accept(const std::shared_ptr<Replica> &At) {
  At->m_Acceptor.async_accept([this, At](error_code Error, tcp::socket Socket) {
    if (Error || At->m_HasEnded)
      return;
    closeOnExec(Socket.native_handle());
    const auto Added =
        std::make_shared<Connection>(*this, At, std::move(Socket));
    At->m_Connections.insert(Added);
    Added->read();
    accept(At);
  });
}

void ReplicaFleet::stopHeartbeats(unsigned Place) {
  const std::lock_guard Lock(m_Mutex);
  m_Replicas[Place]->m_Beats = false;
}

void ReplicaFleet::endReplica(unsigned Place) {
  std::shared_ptr<Replica> Ended;
  {
    const std::lock_guard Lock(m_Mutex);
    Ended = m_Replicas[Place];
    Ended->m_Beats = false;
  }
  std::promise<void> Done;
  asio::post(m_Context, [&] {
    Ended->m_HasEnded = true;
    error_code Ignored;
    Ended->m_Acceptor.close(Ignored);
    const auto Connections = Ended->m_Connections;
    for (const auto &Each : Connections)
      Each->end();
    Done.set_value();
  });
  Done.get_future().wait();
}

std::string ReplicaFleet::name(unsigned Place) const {
  const std::lock_guard Lock(m_Mutex);
  return m_Replicas[Place]->m_Name;
}

std::vector<SoakRun> ReplicaFleet::runs() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs;
}

void ReplicaFleet::sendHeartbeats() {
  std::vector<std::pair<std::string, std::string>> Beats;
  {
    const std::lock_guard Lock(m_Mutex);
    for (unsigned I = 0; I < Places; ++I) {
      Replica &Each = *m_Replicas[I];
      if (!Each.m_Beats)
        continue;
      Beats.emplace_back(
          Each.m_Name,
          fmt::format(R"({{"service":"engines","address":"{}:{}",)"
                      R"("zone":"z{}","slots":8,"state":"ready",)"
                      R"("cold_remaining_ms":0,"born":{},"sequence":{}}})",
                      Each.m_Address, ReplicaPort, I % 3, Each.m_Started,
                      ++Each.m_Sequence));
    }
  }
  // Each replica calls the voters in turn until one answers.
  for (std::size_t I = 0; I < Beats.size(); ++I)
    for (unsigned Try = 0; Try < SoakSystem::Voters; ++Try)
      if (call(m_System.control(static_cast<unsigned>(I + Try) %
                                SoakSystem::Voters),
               {"PUT",
                "/instances/" + Beats[I].first,
                {{"Host", "voter"}, {"Content-Type", "application/json"}},
                Beats[I].second,
                {}},
               BeatTimeout)
              .m_Head.m_Status == 200)
        break;
}

} // namespace mangocart::test
