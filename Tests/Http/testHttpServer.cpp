// What a caller can send to the server, good and bad, over real sockets.
#include "Http/HttpTesting.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>

using namespace mangocart;
using namespace mangocart::testing;
using namespace std::chrono_literals;

namespace {

HttpLimits smallLimits() {
  HttpLimits Limits;
  Limits.m_MaxConnections = 8;
  Limits.m_MaxHeaderBytes = 1024;
  Limits.m_MaxHeaders = 10;
  Limits.m_MaxBodyBytes = 2048;
  return Limits;
}

std::string headers(int Count) {
  std::string Text;
  for (int I = 0; I < Count; ++I)
    Text += "X-" + std::to_string(I) + ": v\r\n";
  return Text;
}

struct BadInput {
  const char *m_Name;
  std::string m_Bytes;
  std::string m_StatusLine;
  std::string m_Detail;
};

std::vector<BadInput> badInputs() {
  const std::string Get = "GET / HTTP/1.1\r\nHost: a\r\n";
  const std::string Post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string Bad = "HTTP/1.1 400 Bad Request";
  const std::string HeadTooLarge =
      "HTTP/1.1 431 Request Header Fields Too Large";
  const std::string BodyTooLarge = "HTTP/1.1 413 Payload Too Large";
  const std::string Version = "HTTP/1.1 505 HTTP Version Not Supported";
  const std::string Coding = "HTTP/1.1 501 Not Implemented";
  return {
      {"no HTTP at all", "\x16\x03\x01\x02\r\n\r\n", Bad, "malformed"},
      {"no target", "GET HTTP/1.1\r\n\r\n", Bad, "malformed"},
      {"bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", Bad, "malformed"},
      {"version 2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", Version, "version"},
      {"version 1.7", "GET / HTTP/1.7\r\nHost: a\r\n\r\n", Version, "version"},
      {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", Version,
       "version"},
      {"no Host", "GET / HTTP/1.1\r\n\r\n", Bad, "one Host"},
      {"two Hosts", Get + "Host: b\r\n\r\n", Bad, "one Host"},
      {"space before the colon", Get + "A : b\r\n\r\n", Bad, "malformed"},
      {"control character", Get + "A: \x01\r\n\r\n", Bad, "malformed"},
      {"too many headers", Get + headers(10) + "\r\n", HeadTooLarge,
       "too many headers"},
      {"one header too large", Get + "A: " + std::string(2000, 'x'),
       HeadTooLarge, "head is too large"},
      {"headers too large together",
       Get + "A: " + std::string(600, 'x') + "\r\nB: " + std::string(600, 'x') +
           "\r\n\r\n",
       HeadTooLarge, "head is too large"},
      {"target too large", "GET /" + std::string(2000, 'x'), HeadTooLarge,
       "head is too large"},
      {"announced body too large", Post + "Content-Length: 2049\r\n\r\n",
       BodyTooLarge, "body is too large"},
      {"length beyond 64 bits",
       Post + "Content-Length: 99999999999999999999999\r\n\r\n", Bad,
       "malformed"},
      {"length not a number", Post + "Content-Length: ten\r\n\r\n", Bad,
       "malformed"},
      {"negative length", Post + "Content-Length: -1\r\n\r\n", Bad,
       "malformed"},
      {"two lengths", Post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
       Bad, "malformed"},
      {"length and chunks",
       Post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Bad,
       "malformed"},
      {"one chunk too large",
       Post + "Transfer-Encoding: chunked\r\n\r\n900\r\n", BodyTooLarge,
       "body is too large"},
      {"chunks too large together",
       Post + "Transfer-Encoding: chunked\r\n\r\n400\r\n" +
           std::string(0x400, 'x') + "\r\n401\r\n" + std::string(0x401, 'x') +
           "\r\n",
       BodyTooLarge, "body is too large"},
      {"chunk size not a number",
       Post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Bad, "malformed"},
      {"endless chunk extension",
       Post + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(9000, 'x'),
       Bad, "chunk head"},
      {"unknown coding", Post + "Transfer-Encoding: gzip\r\n\r\n", Coding,
       "transfer coding"},
      {"coding before chunks",
       Post + "Transfer-Encoding: gzip, chunked\r\n\r\n", Coding,
       "transfer coding"},
      {"unknown expectation", Post + "Expect: miracles\r\n\r\n",
       "HTTP/1.1 417 Expectation Failed", "expectation"},
      {"chunks in HTTP/1.0",
       "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Bad,
       "HTTP/1.0"},
  };
}

} // namespace

TEST_CASE("a bad request gets its status at once and disturbs nobody") {
  ServerFixture Server(echo, smallLimits());
  RawSocket Good(Server.port());
  for (const BadInput &Row : badInputs()) {
    INFO(Row.m_Name);
    Good.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nh");
    RawSocket Bad(Server.port());
    Bad.write(Row.m_Bytes);
    const std::string Answer = Bad.readToEnd();
    CHECK(statusLine(Answer) == Row.m_StatusLine);
    CHECK_THAT(Answer, Catch::Contains(Row.m_Detail) &&
                           Catch::Contains("Connection: close") &&
                           Catch::Contains("Mangocart-Outcome: not-run"));
    CHECK(Bad.ended());
    Good.write("i");
    const std::string Expected =
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nPOST:hi";
    CHECK(Good.readBytes(Expected.size()) == Expected);
  }
}

TEST_CASE("a head that is too large is refused however it arrives") {
  ServerFixture Server(echo, smallLimits());
  RawSocket Socket(Server.port());
  Socket.write("GET / HTTP/1.1\r\nHost: a\r\n");
  // Each line is small enough by itself.
  for (int Line = 0; Line < 5; ++Line) {
    std::this_thread::sleep_for(10ms);
    Socket.write("A: " + std::string(300, 'x') + "\r\n");
  }
  CHECK(statusLine(Socket.readToEnd()) ==
        "HTTP/1.1 431 Request Header Fields Too Large");
}

TEST_CASE("requests sent ahead are answered one after another") {
  ServerFixture Server(echo);
  RawSocket Socket(Server.port());
  Socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
               "\r\nPOST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
               "\r\n\r\n1\r\n2\r\n0\r\n\r\n"
               "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  CHECK(Socket.readToEnd() ==
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nPOST:1"
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nPOST:2"
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n");
}

TEST_CASE("a client that is too slow is told so and let go") {
  struct Row {
    const char *m_Name;
    std::string m_Bytes;
    std::string m_Expected;
  };
  const std::string Slow = "HTTP/1.1 408 Request Timeout";
  const std::string Whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string Answered = "HTTP/1.1 200 OK";
  const std::vector<Row> Rows{
      {"sends nothing", "", Slow},
      {"half a head", "GET / HTTP/1.1\r\nHo", Slow},
      {"half a body",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", Slow},
      {"half a second request", Whole + "GET / HT", Answered},
      {"no second request", Whole, Answered}};
  PausedClock Clock;
  ServerFixture Server(echo, smallLimits());
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    RawSocket Socket(Server.port());
    Socket.write(Row.m_Bytes);
    auto Answer = std::async([&] { return Socket.readToEnd(); });
    REQUIRE(advanceUntil(
        [&] { return Answer.wait_for(0s) == std::future_status::ready; }));
    const std::string Text = Answer.get();
    CHECK(statusLine(Text) == Row.m_Expected);
    const bool TellsLate = Text.find(Slow) != std::string::npos;
    CHECK(TellsLate == (std::string(Row.m_Name) != "no second request"));
    CHECK(Socket.ended());
  }
}

TEST_CASE("a request that arrives just in time is answered") {
  PausedClock Clock;
  ServerFixture Server(echo);
  RawSocket Socket(Server.port());
  Socket.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
               "Expect: 100-continue\r\n\r\n");
  const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  CHECK(Socket.readBytes(Continue.size()) == Continue);
  RuntimeClock::advance(HttpLimits{}.m_ReadTimeout - 1ms);
  std::this_thread::sleep_for(20ms);
  Socket.write("x");
  const std::string Expected =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nPOST:x";
  CHECK(Socket.readBytes(Expected.size()) == Expected);
}

TEST_CASE("a client that takes no byte of its answer is let go") {
  constexpr std::size_t AnswerBytes = 64UL * 1024 * 1024;
  PausedClock Clock;
  ServerFixture Server([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond({{200, {}}, std::string(AnswerBytes, 'x')});
  });
  RawSocket Socket(Server.port());
  Socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  Socket.readBytes(1);
  CHECK(advanceUntil([&] { return Server.server().connectionCount() == 0; }));
}

// Guards against callers that send many large bodies at a time, until the
// process runs out of memory.
TEST_CASE("large bodies are refused when too many are in progress") {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = 1000;
  Limits.m_MaxBufferedBytes = 2000;
  Limits.m_SmallBodyBytes = 100;
  std::unique_ptr<ServerFixture> Fixture;
  std::optional<RawSocket> First;
  std::optional<RawSocket> Second;
  const auto Head = [](std::size_t Bytes) {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(Bytes) + "\r\n\r\n";
  };
  const std::string Most(999, 'x');
  const auto StatusOf = [&](std::size_t Bytes) {
    RawSocket Socket(Fixture->port());
    Socket.write(Head(Bytes) + std::string(Bytes, 'x'));
    return Socket.readBytes(12).substr(9);
  };
  // Each holds 899 bytes that count.
  const auto HoldTwo = [&] {
    First.reset();
    Second.reset();
    Fixture = std::make_unique<ServerFixture>(echo, Limits);
    for (std::optional<RawSocket> *Each : {&First, &Second})
      Each->emplace(Fixture->port()).write(Head(1000) + Most);
  };
  HoldTwo();
  const auto Deadline = std::chrono::steady_clock::now() + 5s;
  // A third body that arrives before one of the two is accepted in its place.
  while (StatusOf(1000) != "503") {
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
    HoldTwo();
  }
  CHECK(StatusOf(100) == "200");
  CHECK(StatusOf(300) == "200");
  // A refused request frees what it has sent, whatever its client does then.
  RawSocket Refused(Fixture->port());
  Refused.write(Head(1000) + Most);
  CHECK(Refused.readBytes(12).substr(9) == "503");
  CHECK(StatusOf(300) == "200");
  // So does one that is answered.
  First->write("x");
  CHECK(First->readBytes(12).substr(9) == "200");
  CHECK(StatusOf(1000) == "200");
  // So does a client that goes away.
  RawSocket(Fixture->port()).write(Head(1000) + Most);
  Second->close();
  while (StatusOf(1000) != "200")
    REQUIRE(std::chrono::steady_clock::now() < Deadline);
}

TEST_CASE("connections above the limit are refused, the others go on") {
  HttpLimits Limits;
  Limits.m_MaxConnections = 2;
  ServerFixture Server(echo, Limits);
  const std::string Get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nGET:";
  RawSocket First(Server.port());
  RawSocket Second(Server.port());
  for (RawSocket *Each : {&First, &Second}) {
    Each->write(Get);
    CHECK(Each->readBytes(Ok.size()) == Ok);
  }
  RawSocket Third(Server.port());
  Third.write(Get);
  CHECK_THAT(Third.readToEnd(),
             Catch::StartsWith("HTTP/1.1 503 Service Unavailable") &&
                 Catch::Contains("Retry-After: ") &&
                 Catch::Contains("Mangocart-Outcome: not-run"));
  Third.close();
  First.close();
  REQUIRE(waitUntil([&] { return Server.server().connectionCount() == 1; }));
  RawSocket Fourth(Server.port());
  for (RawSocket *Each : {&Second, &Fourth}) {
    Each->write(Get);
    CHECK(Each->readBytes(Ok.size()) == Ok);
  }
}

namespace {

// Keeps exchanges for the test to answer, each on its own worker.
class HeldExchanges {
public:
  HttpServer::Handler handler() {
    return [this](std::shared_ptr<HttpExchange> Exchange) {
      Exchange->onClosed([this] { ++m_Closed; });
      const std::lock_guard Lock(m_Mutex);
      m_Held.push_back(std::move(Exchange));
    };
  }
  std::shared_ptr<HttpExchange> wait() {
    std::shared_ptr<HttpExchange> Exchange;
    waitUntil([&] {
      const std::lock_guard Lock(m_Mutex);
      if (m_Held.empty())
        return false;
      Exchange = std::move(m_Held.front());
      m_Held.erase(m_Held.begin());
      return true;
    });
    return Exchange;
  }
  // Runs on the exchange's worker and waits for its end.
  static void on(const std::shared_ptr<HttpExchange> &Exchange,
                 const std::function<void(HttpExchange &)> &Step) {
    std::promise<void> Done;
    boost::asio::post(Exchange->executor(), [&] {
      Step(*Exchange);
      Done.set_value();
    });
    Done.get_future().wait();
  }
  int closed() const { return m_Closed; }

private:
  std::mutex m_Mutex;
  std::vector<std::shared_ptr<HttpExchange>> m_Held;
  std::atomic<int> m_Closed{0};
};

const std::string GetRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string GetRequest10 = "GET / HTTP/1.0\r\n\r\n";
const std::string FinalChunk = "\r\n0\r\n\r\n";

} // namespace

TEST_CASE("a stream ends whole only when it is finished") {
  struct Row {
    const char *m_Name;
    std::string m_Request;
    bool m_Finish;
    bool m_FinalChunk;
    bool m_EndsClean;
  };
  const std::vector<Row> Rows{
      {"finished", GetRequest, true, true, false},
      {"aborted", GetRequest, false, false, true},
      {"finished for HTTP/1.0", GetRequest10, true, false, true},
      {"aborted for HTTP/1.0", GetRequest10, false, false, false}};
  HeldExchanges Held;
  ServerFixture Server(Held.handler());
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    RawSocket Socket(Server.port());
    Socket.write(Row.m_Request);
    const auto Exchange = Held.wait();
    REQUIRE(Exchange);
    HeldExchanges::on(Exchange, [](HttpExchange &E) {
      E.startStream({200, {}});
      E.writeChunk("piece");
      E.writeChunk("");
    });
    std::string Text;
    while (Text.find("piece") == std::string::npos)
      Text += Socket.readBytes(1);
    HeldExchanges::on(Exchange, [&](HttpExchange &E) {
      Row.m_Finish ? E.finishStream() : E.abort();
      E.writeChunk("late");
    });
    if (Row.m_FinalChunk) {
      CHECK(Socket.readBytes(FinalChunk.size()) == FinalChunk);
      continue;
    }
    Text = Socket.readToEnd();
    CHECK(Text.find("0\r\n\r\n") == std::string::npos);
    CHECK(Socket.ended() == Row.m_EndsClean);
  }
  CHECK(Server.server().exchangeCount() == 0);
}

TEST_CASE("a client that goes away while its request is worked on is noticed") {
  HeldExchanges Held;
  ServerFixture Server(Held.handler());
  RawSocket Socket(Server.port());
  Socket.write(GetRequest);
  const auto Exchange = Held.wait();
  REQUIRE(Exchange);
  CHECK(Server.server().exchangeCount() == 1);
  Socket.close();
  CHECK(waitUntil([&] { return Held.closed() == 1; }));
  HeldExchanges::on(Exchange, [](HttpExchange &E) { E.respond({}); });
  CHECK(Server.server().exchangeCount() == 0);
  CHECK(Server.server().connectionCount() == 0);
}

TEST_CASE("an exchange that is dropped without an answer gives status 500") {
  ServerFixture Server([](const std::shared_ptr<HttpExchange> &) {});
  RawSocket Socket(Server.port());
  Socket.write(GetRequest);
  CHECK_THAT(Socket.readToEnd(),
             Catch::StartsWith("HTTP/1.1 500") &&
                 Catch::Contains("Mangocart-Outcome: unknown"));
}

// Guards against an answer that is sent without the part that can't be written.
TEST_CASE("an answer that can't be sent unchanged gives status 500") {
  const bool IsStream = GENERATE(false, true);
  CAPTURE(IsStream);
  const HttpHead Heads[] = {{0, {}},
                            {100, {}},
                            {199, {}},
                            {600, {}},
                            {1000, {}},
                            {200, {{"", "v"}}},
                            {200, {{"X A", "v"}}},
                            {200, {{" X-A", "v"}}},
                            {200, {{"X-A ", "v"}}},
                            {200, {{"X-A:", "v"}}},
                            {200, {{"X-A\r\nX-B", "v"}}},
                            {200, {{"X-A\x01", "v"}}},
                            {200, {{"X-A", "v\r\nX-B: w"}}},
                            {200, {{"X-A", "v\n"}}},
                            {200, {{"X-A", std::string("v\0w", 3)}}},
                            {200, {{"X-B", "w"}, {"X-A", "v\x7F"}}}};
  for (const HttpHead &Head : Heads) {
    INFO(&Head - Heads);
    ServerFixture Fixture([&](const std::shared_ptr<HttpExchange> &Exchange) {
      if (!IsStream)
        return Exchange->respond({Head, "body"});
      Exchange->startStream(Head);
      Exchange->writeChunk("body");
      Exchange->finishStream();
    });
    RawSocket Socket(Fixture.port());
    Socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(Socket.readToEnd() ==
          "HTTP/1.1 500 Internal Server Error\r\nMangocart-Outcome: unknown\r\n"
          "Content-Length: 0\r\nConnection: close\r\n\r\n");
    CHECK(Socket.ended());
  }
}

TEST_CASE("bytes that the client hasn't taken are visible until it has") {
  constexpr std::size_t AnswerBytes = 32UL * 1024 * 1024;
  HeldExchanges Held;
  ServerFixture Server(Held.handler());
  RawSocket Socket(Server.port());
  Socket.write(GetRequest);
  const auto Exchange = Held.wait();
  REQUIRE(Exchange);
  std::atomic<int> Drained{0};
  HeldExchanges::on(Exchange, [&](HttpExchange &E) {
    E.startStream({200, {}});
    E.onDrained([&] { ++Drained; });
  });
  REQUIRE(waitUntil([&] { return Drained == 1; }));
  std::size_t Queued = 0;
  HeldExchanges::on(Exchange, [&](HttpExchange &E) {
    E.writeChunk(std::string(AnswerBytes, 'x'));
    Queued = E.queuedBytes();
  });
  CHECK(Queued >= AnswerBytes);
  // The system's own buffers are far smaller than the answer.
  HeldExchanges::on(Exchange,
                    [&](HttpExchange &E) { Queued = E.queuedBytes(); });
  CHECK(Queued > 0);
  const int Before = Drained;
  Socket.readBytes(AnswerBytes);
  CHECK(waitUntil([&] { return Drained == Before + 1; }));
  HeldExchanges::on(Exchange,
                    [&](HttpExchange &E) { Queued = E.queuedBytes(); });
  CHECK(Queued == 0);
}

TEST_CASE("closing the listener cuts off no request") {
  HeldExchanges Held;
  ServerFixture Server(Held.handler());
  RawSocket Idle(Server.port());
  RawSocket Busy(Server.port());
  Idle.write(GetRequest);
  HeldExchanges::on(Held.wait(), [](HttpExchange &E) { E.respond({}); });
  const std::string Empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  CHECK(Idle.readBytes(Empty.size()) == Empty);
  Busy.write(GetRequest);
  const auto Exchange = Held.wait();
  REQUIRE(Exchange);
  Server.server().closeListener();
  CHECK(Idle.readToEnd().empty());
  HeldExchanges::on(Exchange, [](HttpExchange &E) {
    E.respond({{200, {}}, "whole"});
  });
  CHECK(Busy.readToEnd() == "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                            "Connection: close\r\n\r\nwhole");
  CHECK_THROWS(RawSocket(Server.port()));
}

// Guards against a process that ends while a request is still arriving, or
// while a slow client takes an answer.
TEST_CASE("a server is pending until nothing arrives or waits to be sent") {
  constexpr std::size_t AnswerBytes = 32UL * 1024 * 1024;
  ServerFixture Server([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond({{200, {}}, std::string(AnswerBytes, 'x')});
  });
  HttpServer &Pending = Server.server();
  CHECK(Pending.pendingCount() > 0);
  RawSocket Idle(Server.port());
  RawSocket Arriving(Server.port());
  const std::string_view Whole = GetRequest;
  const std::size_t Half = Whole.size() / 2;
  Arriving.write(Whole.substr(0, Half));
  REQUIRE(waitUntil([&] { return Pending.connectionCount() == 2; }));
  Pending.closeListener();
  CHECK(Idle.readToEnd().empty());
  REQUIRE(waitUntil([&] { return Pending.pendingCount() == 1; }));
  Arriving.write(Whole.substr(Half));
  // Most of the answer waits for the client.
  REQUIRE(waitUntil([&] { return Pending.exchangeCount() == 0; }));
  std::this_thread::sleep_for(100ms);
  CHECK(Pending.pendingCount() == 1);
  CHECK(Arriving.readToEnd().size() > AnswerBytes);
  CHECK(waitUntil([&] { return Pending.pendingCount() == 0; }));
}

// Guards against a process that ends with requests unanswered though their
// handlers know what became of them.
TEST_CASE("exchanges in progress are completed when the server ends them") {
  std::shared_ptr<HttpExchange> Waiting;
  std::atomic<bool> IsWaiting = false;
  ServerFixture Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().m_Method == "GET")
      return echo(Exchange);
    Exchange->onStopping([Weak = std::weak_ptr(Exchange)] {
      if (const auto Self = Weak.lock())
        Self->respond({{503, {}}, "stopping"});
    });
    Waiting = Exchange;
    IsWaiting = true;
  });
  RawSocket Answered(Server.port());
  RawSocket Unanswered(Server.port());
  Answered.write(GetRequest);
  Unanswered.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(waitUntil([&] { return IsWaiting.load(); }));
  Server.server().closeListener();
  Server.server().endExchanges();
  CHECK(Unanswered.readToEnd().ends_with("stopping"));
  CHECK(Answered.readToEnd().ends_with("GET:"));
  CHECK(waitUntil([&] { return Server.server().exchangeCount() == 0; }));
  // The exchange keeps its connection, which must not outlive the workers.
  const auto Executor = Waiting->executor();
  boost::asio::post(Executor, [Released = std::move(Waiting)] {});
}

// Guards against a connection that is closed although the first bytes of its
// request were read, as their handler had not run.
TEST_CASE("a request that arrives as the listener closes is answered") {
  const std::string_view Whole = GetRequest;
  const std::size_t Half = Whole.size() / 2;
  for (int Run = 0; Run < 200; ++Run) {
    INFO("run " << Run);
    ServerFixture Server(echo);
    RawSocket Arriving(Server.port());
    Arriving.write(Whole.substr(0, Half));
    REQUIRE(waitUntil([&] { return Server.server().connectionCount() == 1; }));
    Server.server().closeListener();
    std::this_thread::sleep_for(1ms);
    Arriving.write(Whole.substr(Half));
    CHECK_THAT(Arriving.readToEnd(), Catch::StartsWith("HTTP/1.1 200"));
  }
}

TEST_CASE("an answer on its way when the listener closes arrives whole") {
  constexpr std::size_t AnswerBytes = 32UL * 1024 * 1024;
  HeldExchanges Held;
  ServerFixture Server(Held.handler());
  RawSocket Large(Server.port());
  Large.write(GetRequest);
  HeldExchanges::on(Held.wait(), [&](HttpExchange &E) {
    E.respond({{200, {}}, std::string(AnswerBytes, 'x')});
  });
  RawSocket Stream(Server.port());
  Stream.write(GetRequest);
  const auto Exchange = Held.wait();
  REQUIRE(Exchange);
  HeldExchanges::on(Exchange, [](HttpExchange &E) {
    E.startStream({200, {}});
  });
  Server.server().closeListener();
  // The workers have seen it once nobody can connect.
  REQUIRE(waitUntil([&] {
    try {
      RawSocket Probe(Server.port());
      return false;
    } catch (const boost::system::system_error &) {
      return true;
    }
  }));
  HeldExchanges::on(Exchange, [](HttpExchange &E) {
    E.writeChunk("piece");
    E.finishStream();
  });
  CHECK_THAT(Stream.readToEnd(), Catch::EndsWith("piece" + FinalChunk));
  CHECK(Large.readToEnd().size() > AnswerBytes);
}
