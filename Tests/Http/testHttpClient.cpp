// The client against the project's own server and against a server that
// answers with given bytes.
#include "Core/PostTask.h"
#include "Http/HttpClient.h"
#include "Http/HttpTesting.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace mangocart;
using namespace mangocart::testing;
using namespace std::chrono_literals;

namespace {

struct Outcome {
  HttpHead m_Head;
  std::string m_Body;
  bool m_Ended = false;
  std::optional<HttpError> m_Error;
};

// Runs calls on a worker of its own and waits for each.
class ClientFixture {
public:
  explicit ClientFixture(const HttpClientOptions &Options = {})
      : m_Workers(1), m_Client(m_Workers.worker(0), Options) {
    m_Workers.start();
  }
  ~ClientFixture() { m_Workers.stop(); }
  ClientFixture(const ClientFixture &) = delete;
  ClientFixture &operator=(const ClientFixture &) = delete;

  Outcome
  call(std::uint16_t Port, HttpRequest Request, Duration Deadline = 20s,
       const std::function<AnswerOwner(const HttpHead &)> &OwnerOf = {}) {
    std::promise<void> Done;
    Outcome Result;
    boost::asio::post(m_Workers.worker(0), [&] {
      m_Client.send(
          {TestAddress, Port}, std::move(Request), Deadline,
          {[&](HttpHead Head) { Result.m_Head = std::move(Head); },
           [&](std::string_view Piece) { Result.m_Body.append(Piece); },
           [&] {
             Result.m_Ended = true;
             Done.set_value();
           },
           [&](HttpError Error) {
             Result.m_Error = std::move(Error);
             Done.set_value();
           },
           OwnerOf});
    });
    Done.get_future().wait();
    return Result;
  }

private:
  WorkerPool m_Workers;
  HttpClient m_Client;
};

// Accepts connections one by one, reads a request's head and answers each with
// the next of the given texts, then closes.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<std::string> Answers)
      : m_Acceptor(m_Context, {boost::asio::ip::make_address(TestAddress), 0}),
        m_Port(m_Acceptor.local_endpoint().port()),
        m_Thread([this, Texts = std::move(Answers)] { serve(Texts); }) {}
  ~ScriptedServer() { m_Thread.join(); }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::uint16_t port() const { return m_Port; }
  int closedCount() const { return m_Closed; }

private:
  void serve(const std::vector<std::string> &Answers) {
    for (const std::string &Answer : Answers) {
      boost::system::error_code Ignored;
      auto Socket = m_Acceptor.accept();
      std::string Head;
      boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                              "\r\n\r\n", Ignored);
      boost::asio::write(Socket, boost::asio::buffer(Answer), Ignored);
      Socket.close();
      ++m_Closed;
    }
    m_Acceptor.close();
  }

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::uint16_t m_Port;
  std::atomic<int> m_Closed{0};
  std::thread m_Thread;
};

// Answers the requests of each connection with the texts given for it, one by
// one, and closes it then. Connections are served at the same time.
class ConversationServer {
public:
  explicit ConversationServer(std::vector<std::vector<std::string>> Answers)
      : m_Acceptor(m_Context, {boost::asio::ip::make_address(TestAddress), 0}),
        m_Port(m_Acceptor.local_endpoint().port()),
        m_Thread([this, Texts = std::move(Answers)] {
          std::vector<std::jthread> Conversations;
          for (const std::vector<std::string> &Each : Texts)
            Conversations.emplace_back(
                [Socket = m_Acceptor.accept(), Each]() mutable {
                  converse(Socket, Each);
                });
        }) {}
  ~ConversationServer() { m_Thread.join(); }
  ConversationServer(const ConversationServer &) = delete;
  ConversationServer &operator=(const ConversationServer &) = delete;

  std::uint16_t port() const { return m_Port; }

private:
  static void converse(boost::asio::ip::tcp::socket &Socket,
                       const std::vector<std::string> &Answers) {
    boost::system::error_code Ignored;
    std::string Received;
    for (const std::string &Answer : Answers) {
      const std::size_t Head = boost::asio::read_until(
          Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n", Ignored);
      Received.erase(0, Head);
      boost::asio::write(Socket, boost::asio::buffer(Answer), Ignored);
    }
  }

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::uint16_t m_Port;
  std::thread m_Thread;
};

// The owner by the header Id, which an answer may lack.
std::function<AnswerOwner(const HttpHead &)> ownerById(std::string Id) {
  return [Id = std::move(Id)](const HttpHead &Head) {
    return ownerByHeader(Head, "Id", Id);
  };
}

std::string answerText(unsigned Status, const std::string &Id,
                       const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" +
         (Id.empty() ? "" : "Id: " + Id + "\r\n") +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

TEST_CASE("a call gets its whole answer, again and again") {
  ServerFixture Server(echo);
  ClientFixture Client;
  for (const std::size_t Size : {0, 1, 5000, 1000000}) {
    const std::string Body(Size, 'x');
    const Outcome Result = Client.call(Server.port(), {"POST", "/", {}, Body});
    REQUIRE_FALSE(Result.m_Error);
    CHECK(Result.m_Head.m_Status == 200);
    CHECK(Result.m_Body == "POST:" + Body);
  }
  CHECK(Server.server().connectionCount() == 1);
}

TEST_CASE("an answer that isn't whole never ends as complete") {
  struct Row {
    const char *m_Name;
    std::string m_Answer;
    std::optional<HttpErrorCode> m_Error;
    std::string m_Body;
  };
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr auto Lost = HttpErrorCode::ConnectionLost;
  constexpr auto Malformed = HttpErrorCode::Malformed;
  const std::vector<Row> Rows{
      {"whole by length", Ok + "Content-Length: 2\r\n\r\nhi", {}, "hi"},
      {"whole by chunks", Chunked + "2\r\nhi\r\n0\r\n\r\n", {}, "hi"},
      {"after an interim answer",
       "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Content-Length: 1\r\n\r\nx",
       {},
       "x"},
      {"without a body", "HTTP/1.1 204 No Content\r\n\r\n", {}, ""},
      {"nothing", "", Lost, ""},
      {"half a head", "HTTP/1.1 200 OK\r\nConte", Lost, ""},
      {"short of its length", Ok + "Content-Length: 9\r\n\r\nhi", Lost, "hi"},
      {"half a chunk", Chunked + "5\r\nhi", Lost, "hi"},
      {"no final chunk", Chunked + "2\r\nhi\r\n", Lost, "hi"},
      {"half a final chunk", Chunked + "2\r\nhi\r\n0\r\n", Lost, "hi"},
      {"only an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", Lost, ""},
      {"ended by closing", Ok + "\r\nhi", Malformed, ""},
      {"bad chunk", Chunked + "zz\r\n", Malformed, ""},
      {"no HTTP", "hello\r\n\r\n", Malformed, ""},
      {"change of protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
       Malformed, ""}};
  ClientFixture Client;
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    ScriptedServer Server({Row.m_Answer});
    const Outcome Result = Client.call(Server.port(), {"GET", "/"});
    CHECK(Result.m_Ended == !Row.m_Error.has_value());
    CHECK(Result.m_Body == Row.m_Body);
    CHECK(Result.m_Error.has_value() == Row.m_Error.has_value());
    if (Result.m_Error && Row.m_Error) {
      CHECK(Result.m_Error->m_Code == *Row.m_Error);
      CHECK_FALSE(Result.m_Error->m_NothingSent);
    }
  }
}

TEST_CASE("a kept connection that the server closed is replaced silently") {
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer Server({Answer, Answer, Answer});
  ClientFixture Client;
  for (int I = 0; I < 3; ++I) {
    CHECK(Client.call(Server.port(), {"POST", "/"}).m_Ended);
    // The next call must find the connection closed, not lose it.
    REQUIRE(waitUntil([&] { return Server.closedCount() == I + 1; }));
  }
}

TEST_CASE("a kept connection is looked at before a request is written") {
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer Server({Answer, Answer});
  WorkerPool Workers(1);
  HttpClient Client(Workers.worker(0));
  const HttpTarget Target{TestAddress, Server.port()};
  std::promise<bool> Ended;
  const HttpCallHandlers Second{
      {},
      {},
      [&] { Ended.set_value(true); },
      [&](const HttpError &) { Ended.set_value(false); }};
  boost::asio::post(Workers.worker(0), [&] {
    Client.send(Target, {"POST", "/"}, 20s,
                {{},
                 {},
                 [&] {
                   // The worker can't notice the close by reading.
                   waitUntil([&] { return Server.closedCount() == 1; });
                   Client.send(Target, {"POST", "/"}, 20s, Second);
                 },
                 [&](const HttpError &) { Ended.set_value(false); }});
  });
  Workers.start();
  CHECK(Ended.get_future().get());
  Workers.stop();
}

TEST_CASE("an error says whether a byte of the request can have left") {
  ClientFixture Client;
  std::uint16_t ClosedPort = 0;
  {
    ServerFixture Server(echo);
    ClosedPort = Server.port();
  }
  const Outcome Refused = Client.call(ClosedPort, {"GET", "/"});
  REQUIRE(Refused.m_Error);
  CHECK(Refused.m_Error->m_Code == HttpErrorCode::ConnectFailed);
  CHECK(Refused.m_Error->m_NothingSent);

  PausedClock Clock;
  std::vector<std::shared_ptr<HttpExchange>> Held;
  ServerFixture Server(
      [&](std::shared_ptr<HttpExchange> Exchange) {
        Held.push_back(std::move(Exchange));
      },
      {}, 1);
  auto Late = std::async([&] {
    return Client.call(Server.port(), {"GET", "/"}, 5s);
  });
  REQUIRE(waitUntil([&] { return Server.server().exchangeCount() == 1; }));
  REQUIRE(advanceUntil(
      [&] { return Late.wait_for(0s) == std::future_status::ready; }));
  const Outcome TimedOut = Late.get();
  REQUIRE(TimedOut.m_Error);
  CHECK(TimedOut.m_Error->m_Code == HttpErrorCode::TimedOut);
  CHECK_FALSE(TimedOut.m_Error->m_NothingSent);
  // The server sees the connection closed.
  CHECK(waitUntil([&] { return Server.server().exchangeCount() == 0; }));
  // Their timers belong to the server's workers, which end first.
  Held.clear();
}

TEST_CASE("a taker that pauses holds the sender back and loses nothing") {
  constexpr std::size_t AnswerBytes = 32UL * 1024 * 1024;
  std::atomic<std::size_t> Queued{0};
  ServerFixture Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->startStream({200, {}});
    Exchange->writeChunk(std::string(AnswerBytes, 'x'));
    postTask(Exchange->executor(), [Exchange, &Queued] {
      Queued = Exchange->queuedBytes();
      Exchange->finishStream();
    });
  });
  WorkerPool Workers(1);
  HttpClient Client(Workers.worker(0));
  std::shared_ptr<HttpCall> Call;
  std::atomic<std::size_t> Taken{0};
  std::atomic<bool> IsPaused{false};
  std::promise<bool> Ended;
  boost::asio::post(Workers.worker(0), [&] {
    Call = Client.send({TestAddress, Server.port()}, {"GET", "/"}, 60s,
                       {[&](const HttpHead &) {
                          Call->pauseReading();
                          IsPaused = true;
                        },
                        [&](std::string_view Piece) { Taken += Piece.size(); },
                        [&] { Ended.set_value(true); },
                        [&](const HttpError &) { Ended.set_value(false); }});
  });
  Workers.start();
  // The server may have queued the answer before the head is received.
  REQUIRE(waitUntil([&] { return Queued > 0 && IsPaused; }));
  CHECK(Taken < AnswerBytes - Queued);
  boost::asio::post(Workers.worker(0), [&] { Call->resumeReading(); });
  CHECK(Ended.get_future().get());
  CHECK(Taken == AnswerBytes);
  Workers.stop();
}

TEST_CASE(
    "an answer that the connection ends is whole only where it may be, and "
    "only in good order") {
  HttpClientOptions Options;
  Options.m_TakesEndByClosing = true;
  ClientFixture Client(Options);
  struct Row {
    const char *m_Name;
    std::string m_Answer;
    bool m_Whole;
  };
  const Row Rows[] = {
      {"closed after the body", "HTTP/1.1 200 OK\r\n\r\nhi", true},
      {"closed within the head", "HTTP/1.1 200 OK\r\nA: b", false},
      {"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
       false},
      {"no final chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
       false},
  };
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    ScriptedServer Server({Row.m_Answer});
    const Outcome Result = Client.call(Server.port(), {"GET", "/"});
    CHECK(Result.m_Ended == Row.m_Whole);
    if (Row.m_Whole)
      CHECK(Result.m_Body == "hi");
  }
}

// Guards against a success with an empty or short body: a server that stops in
// the middle of a head leaves a status line, and perhaps headers, behind.
TEST_CASE("an answer whose head breaks off is no answer") {
  HttpClientOptions Options;
  Options.m_TakesEndByClosing = true;
  const std::string Heads[] = {
      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 12\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 2\r\n\r\n",
      "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nId: 2\r\n\r\n",
      "HTTP/1.0 200 OK\r\nId: 2\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n"};
  // What the server sends before, as the beginning of the same read.
  const std::string Before[] = {
      "", "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"};
  for (const std::string &First : Before)
    for (const std::string &Head : Heads) {
      std::vector<std::string> Texts;
      for (std::size_t Length = 0; Length < Head.size(); ++Length)
        Texts.push_back(First + Head.substr(0, Length));
      ScriptedServer Server(Texts);
      ClientFixture Client(Options);
      for (const std::string &Text : Texts) {
        const Outcome Result =
            Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("2"));
        CAPTURE(Text);
        CHECK_FALSE(Result.m_Ended);
        CHECK(Result.m_Body.empty());
        REQUIRE(Result.m_Error);
        CHECK(Result.m_Error->m_Code == HttpErrorCode::ConnectionLost);
        CHECK_FALSE(Result.m_Error->m_NothingSent);
      }
    }
}

TEST_CASE("an answer to an earlier request is read past") {
  const std::string Foreign =
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother";
  const std::string Own =
      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nown";
  ScriptedServer Server({Foreign + Own});
  ClientFixture Client;
  const Outcome Result =
      Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("2"));
  CHECK(Result.m_Ended);
  CHECK(Result.m_Body == "own");
}

TEST_CASE("only answers to other requests are no answer") {
  ScriptedServer Server(
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"});
  ClientFixture Client;
  const Outcome Result =
      Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("2"));
  CHECK_FALSE(Result.m_Ended);
  REQUIRE(Result.m_Error);
  CHECK(Result.m_Error->m_Code == HttpErrorCode::ConnectionLost);
  CHECK(Result.m_Body.empty());
}

// Guards against a refusal that a server writes once more, without the ID of a
// request, and that is taken for the answer to the next request.
TEST_CASE("an answer that names no request isn't one on a reused connection") {
  ConversationServer Server(
      {{answerText(200, "1", "one"),
        answerText(503, "", "not run") + answerText(200, "2", "two")}});
  ClientFixture Client;
  const Outcome First =
      Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("1"));
  REQUIRE(First.m_Body == "one");
  const Outcome Second =
      Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("2"));
  CHECK_FALSE(Second.m_Ended);
  CHECK(Second.m_Body.empty());
  REQUIRE(Second.m_Error);
  CHECK(Second.m_Error->m_Code == HttpErrorCode::Malformed);
  CHECK_FALSE(Second.m_Error->m_NothingSent);
}

TEST_CASE("an answer that names no request is taken on a new connection") {
  ConversationServer Server({{answerText(503, "", "full")}});
  ClientFixture Client;
  const Outcome Result =
      Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("1"));
  CHECK(Result.m_Ended);
  CHECK(Result.m_Head.m_Status == 503);
}

// Guards against a server that echoes no ID: each call after the first would
// fail on the kept connection.
TEST_CASE("a connection is not kept after an answer that names no request") {
  ConversationServer Server(
      {{answerText(200, "", "one"), answerText(200, "", "other")},
       {answerText(200, "", "two")}});
  ClientFixture Client;
  CHECK(Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("1")).m_Body ==
        "one");
  CHECK(Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("2")).m_Body ==
        "two");
}

// Guards against the second copy of the answer to a probe, which names no
// request, on a connection that a request uses next.
TEST_CASE("calls whose answers name them share no connection with others") {
  ConversationServer Server(
      {{answerText(200, "", "probe"), answerText(400, "", "probe")},
       {answerText(200, "1", "one")}});
  ClientFixture Client;
  CHECK(Client.call(Server.port(), {"GET", "/"}).m_Body == "probe");
  CHECK(Client.call(Server.port(), {"GET", "/"}, 20s, ownerById("1")).m_Body ==
        "one");
  CHECK(Client.call(Server.port(), {"GET", "/"}).m_Head.m_Status == 400);
}

TEST_CASE("a connection without named answers is kept only if asked for") {
  for (const bool Keeps : {false, true}) {
    INFO("keeps " << Keeps);
    const std::string Answer = answerText(200, "", "x");
    ConversationServer Server(
        Keeps ? std::vector<std::vector<std::string>>{{Answer, Answer}}
              : std::vector<std::vector<std::string>>{{Answer}, {Answer}});
    HttpClientOptions Options;
    Options.m_KeepsUnnamed = Keeps;
    ClientFixture Client(Options);
    CHECK(Client.call(Server.port(), {"GET", "/"}).m_Ended);
    CHECK(Client.call(Server.port(), {"GET", "/"}).m_Ended);
  }
}

// A server in trouble may send bytes without end that are no answer. Each text
// stands for the beginning of such a stream; the call must end although its
// deadline is far away and no byte is malformed by itself.
TEST_CASE("bytes without end that are no answer end the call") {
  constexpr std::size_t Large = std::size_t{4} << 20;
  const auto Repeated = [](std::string_view Text, std::size_t Size) {
    std::string All;
    while (All.size() < Size)
      All.append(Text);
    return All;
  };
  const std::string Interim = Repeated("HTTP/1.1 100 Continue\r\n\r\n", Large);
  const std::string Foreign =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Repeated("5\r\nother\r\n", Large);
  const std::string ManyForeign = Repeated(
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother", Large);
  const std::string StatusLine = "HTTP/1.1 200 " + std::string(Large, 'x');
  const std::string Header = "HTTP/1.1 200 OK\r\nA: " + std::string(Large, 'x');
  const std::string Headers =
      "HTTP/1.1 200 OK\r\n" + Repeated("A: b\r\n", Large);
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string ChunkSize = Chunked + std::string(Large, '0');
  const std::string ChunkExtension = Chunked + "5;a=" + std::string(Large, 'x');
  const std::string Trailer = Chunked + "0\r\n" + Repeated("A: b\r\n", Large);
  const std::string NoProtocol(Large, 'x');
  for (const std::string &Text :
       {Interim, Foreign, ManyForeign, StatusLine, Header, Headers, ChunkSize,
        ChunkExtension, Trailer, NoProtocol}) {
    ScriptedServer Server({Text});
    ClientFixture Client;
    const Outcome Result =
        Client.call(Server.port(), {"GET", "/"}, 60s, ownerById("2"));
    INFO(Text.substr(0, 60));
    CHECK_FALSE(Result.m_Ended);
    REQUIRE(Result.m_Error);
    // The server closes only after the whole text, so another code would mean
    // that all of it was read.
    CHECK(Result.m_Error->m_Code == HttpErrorCode::Malformed);
    CHECK(Result.m_Body.empty());
  }
}
