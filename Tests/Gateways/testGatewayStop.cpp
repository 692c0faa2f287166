// A gateway is stopped while requests arrive on open connections. Guards
// against gateways that end between the last bytes of a request and its answer,
// and against requests that are accepted late, sent to a server and then cut
// off.
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

  void sendHead(const std::string &Id, const std::string &Path = "/plain/x") {
    write(head(Id, Path));
  }
  void sendBody() { write(Body); }
  // The status line of the answer; empty if the connection was closed.
  std::string readStatus() { return readUntil("whole answer"); }
  // The same for an answer of the gateway or a stream with all its events.
  std::string readRejection() { return readUntil("\r\n\r\n"); }
  std::string readStream() { return readUntil("0\r\n\r\n"); }

private:
  static constexpr const char *Body = "0123456789";

  static std::string head(const std::string &Id, const std::string &Path) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: test.example\r\n"
                       "X-Mangocart-Request-Id: {}\r\n"
                       "X-Mangocart-Deadline-Ms: 8000\r\n"
                       "Content-Length: 10\r\n\r\n",
                       Path, Id);
  }
  std::string readUntil(const std::string &End) {
    std::string Answer;
    boost::system::error_code Error;
    boost::asio::read_until(m_Socket, boost::asio::dynamic_buffer(Answer), End,
                            Error);
    return Error ? std::string() : Answer.substr(0, Answer.find("\r\n"));
  }
  void write(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes), Ignored);
  }

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Socket;
};

// Stops the gateway and sends the head of a request just before its listener is
// closed. Returns 4.8 s after the signal, 2.9 s before the drain ends.
void stopWithRequestArriving(GatewayDeployment &D, SlowCaller &Caller,
                             const std::string &Id, const std::string &Path) {
  D.signalGateway(0, SIGTERM);
  std::this_thread::sleep_for(2300ms);
  Caller.sendHead(Id, Path);
  std::this_thread::sleep_for(2500ms);
}

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

// Guards against streams that begin late in a drain and are cut off at its end.
TEST_CASE("a stopped gateway rejects requests that would outlast its drain") {
  GatewayDeployment D(76, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  // Streams last 4 s; the gateway's drain ends 7.7 s after the signal.
  Options.m_EventInterval = 200ms;
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  SlowCaller Caller(D.gateway(0));
  Caller.sendHead("b1", "/stream/x");
  Caller.sendBody();
  REQUIRE(Caller.readStream() == "HTTP/1.1 200 OK");
  stopWithRequestArriving(D, Caller, "b2", "/stream/x");
  Caller.sendBody();
  const auto SentAt = std::chrono::steady_clock::now();
  CHECK(Caller.readRejection() == "HTTP/1.1 503 Service Unavailable");
  CHECK(std::chrono::steady_clock::now() - SentAt < 500ms);
  CHECK(Fleet.arrivals().size() == 1);
}

// Guards against connections that are closed without an answer to a request
// that may not be sent again.
TEST_CASE("a stopped gateway answers requests that outlast its drain") {
  GatewayDeployment D(77, 1);
  D.start();
  EngineFleet Fleet(fleetOptionsFor(D));
  Fleet.start();
  std::this_thread::sleep_for(1s);
  SlowCaller Caller(D.gateway(0));
  Caller.sendHead("c1", "/unsafe/x");
  Caller.sendBody();
  REQUIRE(Caller.readStatus() == "HTTP/1.1 200 OK");
  stopWithRequestArriving(D, Caller, "c2", "/unsafe/x");
  for (unsigned I = 0; I < 6; ++I)
    Fleet.setFrozen(I, true);
  std::this_thread::sleep_for(100ms);
  Caller.sendBody();
  CHECK(Caller.readRejection() == "HTTP/1.1 502 Bad Gateway");
}
