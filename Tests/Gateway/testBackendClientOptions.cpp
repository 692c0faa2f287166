// Guards against requests being sent on idle connections to machines that have
// stopped, such as machines of a rank group that freeze together under load.
#include "Core/PostTask.h"
#include "Gateway/BackendClientOptions.h"
#include "Http/HttpTesting.h"

#include <boost/asio/read_until.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <optional>

using namespace mangocart;
using namespace mangocart::testing;
using namespace std::chrono_literals;

namespace {

// Answers requests on one connection until the client closes it, and accepts no
// further connection.
class OneConnectionServer {
public:
  OneConnectionServer()
      : m_Acceptor(m_Context, {boost::asio::ip::make_address(TestAddress), 0}),
        m_Port(m_Acceptor.local_endpoint().port()),
        m_Thread([this] { serve(); }) {}
  ~OneConnectionServer() { m_Thread.join(); }
  OneConnectionServer(const OneConnectionServer &) = delete;
  OneConnectionServer &operator=(const OneConnectionServer &) = delete;

  std::uint16_t port() const { return m_Port; }
  int requests() const { return m_Requests; }

private:
  void serve() {
    auto Socket = m_Acceptor.accept();
    m_Acceptor.close();
    std::string Head;
    boost::system::error_code Error;
    while (boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                                   "\r\n\r\n", Error) > 0) {
      Head.clear();
      ++m_Requests;
      boost::asio::write(Socket,
                         boost::asio::buffer(std::string_view(
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                         Error);
    }
  }

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::uint16_t m_Port;
  std::atomic<int> m_Requests{0};
  std::thread m_Thread;
};

// Sends a request and returns its error, if any.
std::optional<HttpError> call(WorkerPool &Workers, HttpClient &Client,
                              std::uint16_t Port) {
  std::promise<std::optional<HttpError>> Done;
  postTask(Workers.worker(0).get_executor(), [&] {
    HttpCallHandlers Handlers;
    Handlers.m_OnHead = [](const HttpHead &) {};
    Handlers.m_OwnerOf = [](const HttpHead &) { return AnswerOwner::ThisCall; };
    Handlers.m_OnBody = [](std::string_view) {};
    Handlers.m_OnEnd = [&] { Done.set_value(std::nullopt); };
    Handlers.m_OnError = [&](HttpError Error) {
      Done.set_value(std::move(Error));
    };
    Client.send({TestAddress, Port}, {"POST", "/", {}, "{}"}, 20s,
                std::move(Handlers));
  });
  return Done.get_future().get();
}

} // namespace

TEST_CASE("an idle connection is not reused for a request") {
  const PausedClock Paused;
  OneConnectionServer Server;
  WorkerPool Workers(1);
  std::optional<HttpClient> Client;
  Client.emplace(Workers.worker(0), backendClientOptions());
  Workers.start();
  REQUIRE_FALSE(call(Workers, *Client, Server.port()));
  SECTION("reused while the machine was recently seen running") {
    RuntimeClock::advance(100ms);
    CHECK_FALSE(call(Workers, *Client, Server.port()));
    CHECK(Server.requests() == 2);
  }
  SECTION(
      "after 1 s the request is known not to be sent to a stopped machine") {
    RuntimeClock::advance(1s);
    const std::optional<HttpError> Error =
        call(Workers, *Client, Server.port());
    REQUIRE(Error);
    CHECK(Error->m_NothingSent);
    CHECK(Server.requests() == 1);
  }
  Workers.stop();
  Client.reset();
}
