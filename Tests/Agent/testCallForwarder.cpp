// Calls through an agent to a backend server that writes its answers twice, the
// second time where the answer to the next request is expected, and to one
// whose answers break. Guards against callers that get the answer to another
// request or a part of an answer.
#include "Agent/CallForwarder.h"

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/CallGuard.h"
#include "Core/WorkerPool.h"
#include "Entry/CallAttempt.h"
#include "Events/EventLog.h"
#include "Http/BrokenServer.h"
#include "Metrics/MetricRegistry.h"
#include "Net/PeerStream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>
#include <optional>
#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr const char *Address = "127.24.0.1";
constexpr std::uint16_t AgentPort = 7412;

// Answers each request with the target's last part; from the second request of
// a connection on, it writes the answer before once more first.
class RepeatingServer {
public:
  explicit RepeatingServer(bool Echoes)
      : m_Echoes(Echoes),
        m_Acceptor(m_Context, {boost::asio::ip::make_address(Address), 0}),
        m_Thread([this] { accept(); }) {}
  ~RepeatingServer() {
    m_Stopping = true;
    // Ends accept().
    boost::asio::io_context Context;
    tcp::socket Last(Context);
    boost::system::error_code Ignored;
    Last.connect(m_Acceptor.local_endpoint(), Ignored);
    m_Thread.join();
  }
  RepeatingServer(const RepeatingServer &) = delete;
  RepeatingServer &operator=(const RepeatingServer &) = delete;

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  int connections() const { return m_Connections; }

private:
  void accept() {
    std::vector<std::jthread> Conversations;
    while (true) {
      tcp::socket Socket = m_Acceptor.accept();
      if (m_Stopping)
        return;
      ++m_Connections;
      Conversations.emplace_back(
          [this, Taken = std::move(Socket)]() mutable { converse(Taken); });
    }
  }

  void converse(tcp::socket &Socket) const {
    std::string Received;
    std::string Before;
    while (true) {
      boost::system::error_code Error;
      const std::size_t Size = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n", Error);
      if (Error)
        return;
      const std::string Answer = answerTo(Received.substr(0, Size));
      Received.erase(0, Size);
      boost::asio::write(Socket, boost::asio::buffer(Before + Answer), Error);
      Before = Answer;
    }
  }

  std::string answerTo(const std::string &Head) const {
    const std::string Id = Head.substr(5, Head.find(' ', 5) - 5);
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                       m_Echoes ? "Mangocart-Request: " + Id + "\r\n" : "",
                       Id.size(), Id);
  }

  const bool m_Echoes;
  boost::asio::io_context m_Context;
  tcp::acceptor m_Acceptor;
  std::atomic<bool> m_Stopping{false};
  std::atomic<int> m_Connections{0};
  std::thread m_Thread;
};

// An agent's forwarding, and an entry's calls to it.
class AgentFixture {
public:
  explicit AgentFixture(std::uint16_t BackendPort)
      : m_Workers(1), m_Events({"agent", "a", "z"}, "/dev/null"),
        m_Guard(1, {}), m_Counters(m_Registry),
        m_Clients(m_Workers, agentClientOptions()), m_Context{m_Settings,
                                                              m_Workers,
                                                              m_Events,
                                                              m_Clients,
                                                              m_Guard,
                                                              m_Counters},
        m_Peers(m_Workers), m_Server(m_Workers) {
    m_Settings.set_service("s");
    m_Settings.set_backend_address(Address);
    m_Settings.set_backend_port(BackendPort);
    m_Server.addMethod("/agent/call",
                       [this](std::shared_ptr<PeerStream> Stream) {
                         CallForwarder::accept(m_Context, std::move(Stream));
                       });
    m_Server.listen(Address, AgentPort).value();
    m_Workers.start();
  }
  ~AgentFixture() { m_Workers.stop(); }
  AgentFixture(const AgentFixture &) = delete;
  AgentFixture &operator=(const AgentFixture &) = delete;

  // The body of the answer; empty if the call failed.
  std::string call(const std::string &Id) {
    return callWith(Id, {}).m_HasEnded ? m_Body : std::string();
  }

  struct Result {
    bool m_HasEnded = false;
    // How the call failed, as the entry sees it.
    std::optional<schema::CallRefusal> m_Refusal;
  };

  Result callWith(const std::string &Id, std::string RequestBody) {
    schema::CallRequest Request;
    Request.set_request_id(Id);
    Request.set_service("s");
    Request.set_method("GET");
    Request.set_target("/" + Id);
    Request.set_deadline_ms(5000);
    Request.set_body(std::move(RequestBody));
    std::promise<Result> Done;
    m_Body.clear();
    CallHandlers Handlers;
    Handlers.m_OnHead = [](const schema::CallHead &) {};
    Handlers.m_OnBody = [&](const std::string &Data) { m_Body += Data; };
    Handlers.m_OnEnd = [&] { Done.set_value({true, {}}); };
    Handlers.m_OnRefusal = [&](const schema::CallRefusal &Refusal) {
      Done.set_value({false, Refusal});
    };
    Handlers.m_OnBroken = [&](const CallBroken &) { Done.set_value({}); };
    const auto Call = CallAttempt::start(m_Peers, {Address, AgentPort}, Request,
                                         m_Workers.worker(0).get_executor(),
                                         std::move(Handlers));
    return Done.get_future().get();
  }

private:
  std::string m_Body;
  schema::AgentSettings m_Settings;
  WorkerPool m_Workers;
  EventLog m_Events;
  MetricRegistry m_Registry;
  CallGuard m_Guard;
  AgentCounters m_Counters;
  HttpClients m_Clients;
  AgentContext m_Context;
  PeerClient m_Peers;
  PeerServer m_Server;
};

} // namespace

TEST_CASE("a caller gets the answer to its own request from a server that "
          "repeats answers") {
  const bool Echoes = GENERATE(false, true);
  CAPTURE(Echoes);
  RepeatingServer Server(Echoes);
  AgentFixture Agent(Server.port());
  for (int I = 1; I <= 10; ++I) {
    const std::string Id = fmt::format("r{}", I);
    CHECK(Agent.call(Id) == Id);
  }
  // A repeated answer to another request ends the connection that it came on;
  // without the names no connection is used twice.
  CHECK(Server.connections() == (Echoes ? 5 : 10));
}

TEST_CASE("a call whose backend server breaks its answer may have run") {
  const std::string Fields = "Mangocart-Request: r1\r\n";
  const std::string Body = "Content-Length: 5\r\n\r\nwhole";
  const std::string Whole = "HTTP/1.1 200 OK\r\n" + Fields + Body;
  const std::size_t UploadBytes = 3'800'000;
  struct Row {
    BrokenAnswer m_Answer;
    std::size_t m_RequestBytes = 0;
  };
  const Row Rows[] = {
      {{"HTTP/1.1 000 S\r\n" + Fields + Body}},
      {{"HTTP/1.1 000 S\r\n" + Fields + Body + Whole}},
      {{"HTTP/1.1 099 S\r\n\r\n" + Whole}},
      {{"HTTP/1.1 999 S\r\n" + Fields + Body}},
      {{"HTTP/1.1 103 S\r\n" + Body + Whole}},
      {{"HTTP/1.1 200 OK\r\nX A: v\r\n" + Fields + Body}},
      {{"HTTP/1.1 200 OK\r\n" + Fields + "X-A\x01: v\r\n" + Body}},
      {{"HTTP/1.1 200 OK\r\n" + Fields + " X-A: v\r\n" + Body}},
      {{"HTTP/1.1 200 OK\r\n" + Fields + " " + Body, ConnectionEnd::Shutdown}},
      {{"HTTP/1.1 200 OK\r\n" + Fields + "\r\npart", ConnectionEnd::Shutdown}},
      {{"HTTP/1.1 200 OK\r\n" + Fields + "\r\npart", ConnectionEnd::Reset},
       UploadBytes},
      {{"HTTP/1.1 200 OK\r\n" + Fields + "\r\npart", ConnectionEnd::Close},
       UploadBytes}};
  for (const Row &Each : Rows) {
    INFO(Each.m_Answer.m_Text);
    const BrokenServer Server(
        Address, 0, [&](const std::string &) { return Each.m_Answer; });
    AgentFixture Agent(Server.port());
    for (unsigned I = 0; I < 5; ++I) {
      const auto Result =
          Agent.callWith("r1", std::string(Each.m_RequestBytes, 'u'));
      CHECK_FALSE(Result.m_HasEnded);
      CHECK((Result.m_Refusal &&
             Result.m_Refusal->reason() == schema::CallRefusal::BACKEND_BROKE &&
             Result.m_Refusal->outcome() == schema::UNKNOWN));
    }
    CHECK(Server.connections() == Server.requests());
  }
}
