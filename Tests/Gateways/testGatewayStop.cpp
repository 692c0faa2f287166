// A gateway is stopped while requests arrive on open connections. Guards
// against gateways that end between the last bytes of a request and its answer.
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// A caller that keeps its connection and sends its requests in two parts.
class SlowCaller {
public:
  explicit SlowCaller(const HttpTarget &To) : m_Socket(m_Context) {
    m_Socket.connect({boost::asio::ip::make_address(To.m_Address), To.m_Port});
  }

  void sendHead(const std::string &Id) { write(head(Id)); }
  void sendBody() { write(Body); }
  // The status line of the answer; empty if the connection was closed.
  std::string readStatus() {
    std::string Answer;
    boost::system::error_code Error;
    boost::asio::read_until(m_Socket, boost::asio::dynamic_buffer(Answer),
                            "whole answer", Error);
    return Error ? std::string() : Answer.substr(0, Answer.find("\r\n"));
  }

private:
  static constexpr const char *Body = "0123456789";

  static std::string head(const std::string &Id) {
    return fmt::format("POST /plain/x HTTP/1.1\r\nHost: test.example\r\n"
                       "X-Mangocart-Request-Id: {}\r\n"
                       "X-Mangocart-Deadline-Ms: 8000\r\n"
                       "Content-Length: 10\r\n\r\n",
                       Id);
  }
  void write(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes), Ignored);
  }

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Socket;
};

} // namespace

TEST_CASE("a stopped gateway answers requests that are still arriving") {
  GatewayDeployment D(75, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  SlowCaller Caller(D.gateway(0));
  Caller.sendHead("a1");
  Caller.sendBody();
  REQUIRE(Caller.readStatus() == "HTTP/1.1 200 OK");
  D.signalGateway(0, SIGTERM);
  // The listener is closed 2.5 s after the signal.
  std::this_thread::sleep_for(2300ms);
  Caller.sendHead("a2");
  std::this_thread::sleep_for(800ms);
  Caller.sendBody();
  CHECK(Caller.readStatus() == "HTTP/1.1 200 OK");
}
