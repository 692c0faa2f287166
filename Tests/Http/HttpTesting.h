// A server on its own workers and a plain blocking socket, for the tests of
// Http/.
#ifndef MANGOCART_TESTS_HTTP_HTTPTESTING_H
#define MANGOCART_TESTS_HTTP_HTTPTESTING_H

#include "Core/RuntimeClock.h"
#include "Core/WorkerPool.h"
#include "Http/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

namespace mangocart::testing {

inline constexpr const char *TestAddress = "127.23.0.1";

class ServerFixture {
public:
  explicit ServerFixture(HttpServer::Handler OnRequest, HttpLimits Limits = {},
                         std::size_t WorkerCount = 2)
      : m_Workers(WorkerCount),
        m_Server(m_Workers, Limits, std::move(OnRequest)) {
    m_Server.listen(TestAddress, 0).value();
    m_Workers.start();
  }
  ~ServerFixture() { m_Workers.stop(); }
  ServerFixture(const ServerFixture &) = delete;
  ServerFixture &operator=(const ServerFixture &) = delete;

  HttpServer &server() { return m_Server; }
  std::uint16_t port() const { return m_Server.port(); }

private:
  WorkerPool m_Workers;
  HttpServer m_Server;
};

// Echoes method and body, "HEAD" included.
inline void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  Exchange->respond({{200, {}}, Request.m_Method + ":" + Request.m_Body});
}

class RawSocket {
public:
  explicit RawSocket(std::uint16_t Port) : m_Socket(m_Context) {
    m_Socket.connect({boost::asio::ip::make_address(TestAddress), Port});
    m_Socket.set_option(boost::asio::ip::tcp::no_delay(true));
  }

  void write(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(
        m_Socket, boost::asio::buffer(Bytes.data(), Bytes.size()), Ignored);
  }
  // Everything until the server closes.
  std::string readToEnd() {
    std::string All;
    boost::system::error_code Error;
    boost::asio::read(m_Socket, boost::asio::dynamic_buffer(All), Error);
    m_LastError = Error;
    return All;
  }
  std::string readBytes(std::size_t Count) {
    std::string Bytes(Count, '\0');
    boost::system::error_code Error;
    Bytes.resize(
        boost::asio::read(m_Socket, boost::asio::buffer(Bytes), Error));
    m_LastError = Error;
    return Bytes;
  }
  void close() { m_Socket.close(); }
  bool ended() const { return m_LastError == boost::asio::error::eof; }

private:
  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Socket;
  boost::system::error_code m_LastError;
};

// Moves the paused clock on until Condition holds; false if it never does.
// The verdict doesn't depend on how fast the server is.
template <class Predicate> bool advanceUntil(Predicate Condition) {
  constexpr int MaxSteps = 5000;
  constexpr auto Pause = std::chrono::milliseconds(1);
  for (int Step = 0; Step < MaxSteps; ++Step) {
    if (Condition())
      return true;
    RuntimeClock::advance(std::chrono::milliseconds(500));
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

// Waits in real time until Condition holds; false if it never does.
template <class Predicate> bool waitUntil(Predicate Condition) {
  constexpr int MaxLooks = 20000;
  for (int Look = 0; Look < MaxLooks; ++Look) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

// Holds the clock still while it lives.
struct PausedClock {
  PausedClock() { RuntimeClock::pause(); }
  ~PausedClock() { RuntimeClock::resume(); }
  PausedClock(const PausedClock &) = delete;
  PausedClock &operator=(const PausedClock &) = delete;
};

inline std::string statusLine(const std::string &Answer) {
  return Answer.substr(0, Answer.find("\r\n"));
}

} // namespace mangocart::testing

#endif
