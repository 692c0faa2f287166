// Contract of the streams between processes, over real sockets.
#include "Net/PeerStream.h"

#include "Core/WorkerPool.h"
#include "Net/MessageFramer.h"

#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "127.20.0.1";
constexpr std::uint16_t Port = 19001;
constexpr auto Patience = 20s;

using Answer = Result<std::string, PeerError>;

// A server and a client on workers of their own.
struct Pair {
  WorkerPool m_Workers{2};
  PeerServer m_Server{m_Workers};
  PeerClient m_Client{m_Workers};

  void start() {
    REQUIRE(m_Server.listen(Address, Port).has_value());
    m_Workers.start();
  }
  Answer call(const std::string &Method, std::string Message,
              Duration Timeout = 10s) {
    std::promise<Answer> Promise;
    m_Client.call({Address, Port}, Method, std::move(Message), Timeout,
                  [&](Answer Got) { Promise.set_value(std::move(Got)); });
    auto Future = Promise.get_future();
    REQUIRE(Future.wait_for(Patience) == std::future_status::ready);
    return Future.get();
  }
  ~Pair() { m_Workers.stop(); }
};

void echo(const std::shared_ptr<PeerStream> &Stream) {
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [S = Stream.get()](std::string_view Message) {
    S->send(std::string(Message));
  };
  Handlers.m_OnEnd = [S = Stream.get()] { S->finish(); };
  Stream->setHandlers(std::move(Handlers));
}

} // namespace

TEST_CASE("messages come back whole, whatever their size") {
  Pair P;
  P.m_Server.addMethod("/echo", echo);
  P.start();
  for (const std::size_t Size : {0UL, 1UL, 16383UL, 16384UL, 3000000UL}) {
    const std::string Sent(Size, 'm');
    const Answer Got = P.call("/echo", Sent);
    REQUIRE(Got.has_value());
    CHECK(Got.value() == Sent);
  }
}

TEST_CASE("failures of a call are told apart") {
  Pair P;
  P.m_Server.addMethod("/silent",
                       [](const std::shared_ptr<PeerStream> &Stream) {
                         PeerStreamHandlers Handlers;
                         Handlers.m_OnError = [Stream](const PeerError &) {};
                         Stream->setHandlers(std::move(Handlers));
                       });
  P.m_Server.addMethod("/reset", [](const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnEnd = [S = Stream.get()] { S->reset(); };
    Stream->setHandlers(std::move(Handlers));
  });
  P.start();
  struct Row {
    const char *m_Method;
    PeerErrorCode m_Expected;
  };
  for (const Row &R : {Row{"/absent", PeerErrorCode::UnknownMethod},
                       Row{"/silent", PeerErrorCode::TimedOut},
                       Row{"/reset", PeerErrorCode::StreamReset}}) {
    INFO(R.m_Method);
    const Answer Got = P.call(R.m_Method, "x", 200ms);
    REQUIRE(Got.has_error());
    CHECK(Got.error().m_Code == R.m_Expected);
  }
}

TEST_CASE("a refused connection is proof that nothing was sent") {
  Pair P;
  P.m_Workers.start();
  const Answer Got = P.call("/echo", "x");
  REQUIRE(Got.has_error());
  CHECK(Got.error().m_Code == PeerErrorCode::ConnectFailed);
  CHECK(Got.error().m_NothingSent);
}

TEST_CASE("a server that closes ends its connections at once") {
  Pair P;
  std::promise<void> Arrived;
  P.m_Server.addMethod("/silent",
                       [&](const std::shared_ptr<PeerStream> &Stream) {
                         PeerStreamHandlers Handlers;
                         Handlers.m_OnEnd = [&] { Arrived.set_value(); };
                         Stream->setHandlers(std::move(Handlers));
                       });
  P.start();
  std::promise<Answer> Answered;
  P.m_Client.call({Address, Port}, "/silent", "x", Patience,
                  [&](Answer Got) { Answered.set_value(std::move(Got)); });
  REQUIRE(Arrived.get_future().wait_for(Patience) == std::future_status::ready);
  P.m_Server.close();
  const Answer Got = Answered.get_future().get();
  REQUIRE(Got.has_error());
  CHECK(Got.error().m_Code == PeerErrorCode::ConnectionLost);
  CHECK_FALSE(Got.error().m_NothingSent);
}

TEST_CASE("the other side sees a reset after the request has ended") {
  Pair P;
  std::promise<void> Ended;
  std::promise<PeerError> Broken;
  P.m_Server.addMethod("/wait", [&](const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnEnd = [&] { Ended.set_value(); };
    Handlers.m_OnError = [&](const PeerError &Error) {
      Broken.set_value(Error);
    };
    Stream->setHandlers(std::move(Handlers));
  });
  P.start();
  const auto Stream = P.m_Client.open({Address, Port}, "/wait", {});
  Stream->send("x");
  Stream->finish();
  REQUIRE(Ended.get_future().wait_for(Patience) == std::future_status::ready);
  Stream->reset();
  auto Future = Broken.get_future();
  REQUIRE(Future.wait_for(Patience) == std::future_status::ready);
  CHECK(Future.get().m_Code == PeerErrorCode::StreamReset);
}

TEST_CASE("a paused reader bounds what the sender can push") {
  constexpr std::size_t Total = 8UL * 1024 * 1024;
  Pair P;
  std::shared_ptr<PeerStream> Sender;
  std::promise<void> Sending;
  P.m_Server.addMethod(
      "/flood", [&](const std::shared_ptr<PeerStream> &Stream) {
        Sender = Stream;
        PeerStreamHandlers Handlers;
        Handlers.m_OnEnd = [&] {
          for (std::size_t Sent = 0; Sent < Total; Sent += 65536)
            Sender->send(std::string(65536, 'f'));
          Sender->finish();
          Sending.set_value();
        };
        Stream->setHandlers(std::move(Handlers));
      });
  P.start();
  std::atomic<std::size_t> Received = 0;
  std::promise<void> Done;
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [&](std::string_view M) { Received += M.size(); };
  Handlers.m_OnEnd = [&] { Done.set_value(); };
  const auto Stream =
      P.m_Client.open({Address, Port}, "/flood", std::move(Handlers));
  Stream->pauseReading();
  Stream->send("go");
  Stream->finish();
  REQUIRE(Sending.get_future().wait_for(Patience) == std::future_status::ready);
  std::this_thread::sleep_for(200ms);
  CHECK(Received < Total / 8);
  Stream->resumeReading();
  REQUIRE(Done.get_future().wait_for(Patience) == std::future_status::ready);
  CHECK(Received == Total);
  Sender.reset();
}

// Guards against a peer that begins any number of large messages.
TEST_CASE("messages on one connection are bounded together") {
  Pair P;
  P.m_Server.addMethod("/size", [](const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [S = Stream.get()](std::string_view Message) {
      S->send(std::to_string(Message.size()));
    };
    Handlers.m_OnEnd = [S = Stream.get()] { S->finish(); };
    Stream->setHandlers(std::move(Handlers));
  });
  P.start();
  // Two that fit one after the other, but not together.
  constexpr std::size_t Size = std::size_t{40} * 1024 * 1024;
  REQUIRE(P.call("/size", "m").has_value());
  std::vector<std::promise<Answer>> Answers(2);
  for (auto &Each : Answers)
    P.m_Client.call({Address, Port}, "/size", std::string(Size, 'm'), Patience,
                    [&](Answer Got) { Each.set_value(std::move(Got)); });
  unsigned Refused = 0;
  for (auto &Each : Answers) {
    auto Future = Each.get_future();
    REQUIRE(Future.wait_for(Patience) == std::future_status::ready);
    const Answer Got = Future.get();
    if (Got)
      CHECK(Got.value() == std::to_string(Size));
    else
      ++Refused;
  }
  CHECK(Refused == 1);
  // The connection goes on, and its room is free again.
  for (unsigned I = 0; I < 3; ++I) {
    const Answer Got = P.call("/size", std::string(Size, 'm'));
    REQUIRE(Got.has_value());
    CHECK(Got.value() == std::to_string(Size));
  }
}

TEST_CASE("frames are cut at any split of the bytes") {
  std::string Bytes;
  appendFrame(Bytes, "first");
  appendFrame(Bytes, "");
  appendFrame(Bytes, "third");
  for (std::size_t Split = 0; Split <= Bytes.size(); ++Split) {
    MessageFramer Framer;
    std::vector<std::string> Got;
    const auto Take = [&](std::string_view M) { Got.emplace_back(M); };
    REQUIRE(Framer.feed(std::string_view(Bytes).substr(0, Split), Take));
    REQUIRE(Framer.feed(std::string_view(Bytes).substr(Split), Take));
    CHECK(Got == std::vector<std::string>{"first", "", "third"});
    CHECK(Framer.atBoundary());
  }
  MessageFramer Framer;
  CHECK_FALSE(Framer.feed("\xff\xff\xff\xff", [](std::string_view) {}));
}

// Pattern: after a loss of all power, gateways start 0.3 s before the voters. A
// machine without power drops the first packet of a connection, which TCP sends
// again only 1 s later. A listener whose queue is full drops it, too.
TEST_CASE("a connection is given up before TCP repeats its first packet") {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Full(Context);
  const boost::asio::ip::tcp::endpoint At(
      boost::asio::ip::make_address("127.20.0.2"), Port);
  Full.open(At.protocol());
  Full.set_option(boost::asio::socket_base::reuse_address(true));
  Full.bind(At);
  Full.listen(0);
  // The queue of length 0 holds one connection; further ones don't fit.
  std::vector<boost::asio::ip::tcp::socket> Queued;
  for (int I = 0; I < 3; ++I) {
    Queued.emplace_back(Context);
    Queued.back().async_connect(At, [](boost::system::error_code) {});
  }
  Context.poll();
  Pair P;
  P.m_Workers.start();
  std::promise<Answer> Promise;
  const auto Begin = std::chrono::steady_clock::now();
  P.m_Client.call({"127.20.0.2", Port}, "/echo", "x", 10s,
                  [&](Answer Got) { Promise.set_value(std::move(Got)); });
  const Answer Got = Promise.get_future().get();
  CHECK(std::chrono::steady_clock::now() - Begin < 1s);
  REQUIRE(Got.has_error());
  CHECK(Got.error().m_Code == PeerErrorCode::ConnectFailed);
  CHECK(Got.error().m_NothingSent);
}
