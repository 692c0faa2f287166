// Servers whose answers have no end. Guards against a client that keeps all of
// the bytes until its process runs out of memory.
#include "Http/EndlessServer.h"
#include "Http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;
// What both ends of a loopback connection may hold in the kernel, beside the
// client's limits.
constexpr std::uint64_t MaxTakenBytes = 24 * MiB;
constexpr Duration Deadline = 10s;

struct Outcome {
  std::optional<HttpError> m_Error;
  bool m_HasEnded = false;
  std::size_t m_HeaderBytes = 0;
  std::size_t m_BodyBytes = 0;
  Duration m_Took{};
};

Outcome callServer(const EndlessServer &Server, HttpCallHandlers Handlers = {},
                   Duration For = Deadline) {
  boost::asio::io_context Context;
  HttpClientOptions Options;
  Options.m_TakesEndByClosing = true;
  HttpClient Client(Context, Options);
  Outcome Result;
  Handlers.m_OnHead = [&](const HttpHead &Head) {
    for (const HttpHeader &Each : Head.m_Headers)
      Result.m_HeaderBytes += Each.m_Name.size() + Each.m_Value.size();
  };
  Handlers.m_OnBody = [&](std::string_view Piece) {
    Result.m_BodyBytes += Piece.size();
  };
  Handlers.m_OnEnd = [&] {
    Result.m_HasEnded = true;
    Context.stop();
  };
  Handlers.m_OnError = [&](const HttpError &Error) {
    Result.m_Error = Error;
    Context.stop();
  };
  const TimePoint Begin = RuntimeClock::now();
  const auto Call =
      Client.send({"127.0.0.1", Server.port()}, {"GET", "/", {}, {}, {}}, For,
                  std::move(Handlers));
  Context.run_for(For + 5s);
  Result.m_Took = RuntimeClock::now() - Begin;
  return Result;
}

EndlessServer::Answers always(const EndlessAnswer &Answer) {
  return [=](const std::string &) { return Answer; };
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("an answer without end is given up, wherever its bytes are") {
  struct Row {
    std::string m_Name;
    EndlessAnswer m_Answer;
  };
  const std::vector<Row> Rows = {
      {"status line", {"HTTP/1.1 200 ", "x"}},
      {"no answer at all", {"", "x"}},
      {"one field's name", {Ok, "x"}},
      {"one field's value", {Ok + "X-A: ", "x"}},
      {"small fields", {Ok, "A: b\r\n"}},
      // The parser takes the whole fields of each read.
      {"fields that reads cut after three bytes",
       {Ok + "A: ", std::string(1019, 'b') + "\r\nA: ", 100us}},
      {"trailer that reads cut after three bytes",
       {Chunked + "0\r\nA: ", std::string(1019, 'b') + "\r\nA: ", 100us}},
      {"fields of the same name", {Ok, "Set-Cookie: x\r\n"}},
      {"folded field", {Ok + "X-A: b\r\n", " c\r\n"}},
      {"fields after a length", {Ok + "Content-Length: 2\r\n", "A: b\r\n"}},
      {"interim answers", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"an interim answer's fields", {"HTTP/1.1 103 E\r\n", "A: b\r\n"}},
      {"chunk length", {Chunked, "0"}},
      {"chunk extension", {Chunked + "1;", "x"}},
      {"trailer's field", {Chunked + "0\r\nX-A: ", "x"}},
      {"trailer", {Chunked + "0\r\n", "A: b\r\n"}},
  };
  for (const Row &R : Rows) {
    INFO(R.m_Name);
    const EndlessServer Server("127.0.0.1", 0, always(R.m_Answer));
    const Outcome Result = callServer(Server);
    CHECK_FALSE(Result.m_HasEnded);
    REQUIRE(Result.m_Error);
    CHECK(Result.m_Error->m_Code == HttpErrorCode::Malformed);
    CHECK(Server.sentBytes() < MaxTakenBytes);
  }
}

TEST_CASE("an answer without end to another call is given up") {
  HttpCallHandlers Handlers;
  Handlers.m_OwnerOf = [](const HttpHead &) { return AnswerOwner::OtherCall; };
  const std::vector<EndlessAnswer> Answers = {
      {Chunked, "1\r\nx\r\n"},
      {Ok + "Content-Length: 99999999999\r\n\r\n", "x"},
      {Ok + "\r\n", "x"},
      {"", Ok + "Content-Length: 0\r\n\r\n"}};
  for (const EndlessAnswer &Answer : Answers) {
    const EndlessServer Server("127.0.0.1", 0, always(Answer));
    const Outcome Result = callServer(Server, Handlers);
    REQUIRE(Result.m_Error);
    CHECK(Result.m_Error->m_Code == HttpErrorCode::Malformed);
    CHECK(Result.m_BodyBytes == 0);
    CHECK(Server.sentBytes() < MaxTakenBytes);
  }
}

TEST_CASE("a body without end is given up at the taker's limit") {
  const std::size_t Limit = 1 * MiB;
  const std::vector<EndlessAnswer> Answers = {
      {Chunked, "1\r\nx\r\n"},
      {Ok + "Content-Length: 99999999999\r\n\r\n", "x"},
      {Ok + "\r\n", "x"}};
  for (const EndlessAnswer &Answer : Answers) {
    const EndlessServer Server("127.0.0.1", 0, always(Answer));
    HttpCallHandlers Handlers;
    Handlers.m_MaxBodyBytes = Limit;
    const Outcome Result = callServer(Server, Handlers);
    REQUIRE(Result.m_Error);
    CHECK(Result.m_Error->m_Code == HttpErrorCode::TooLarge);
    CHECK(Result.m_BodyBytes <= Limit);
    CHECK(Server.sentBytes() < MaxTakenBytes);
  }
}

TEST_CASE("a head without end that comes slowly is given up by the deadline") {
  const EndlessServer Server("127.0.0.1", 0, always({Ok, "A: b\r\n", 1ms}));
  const Outcome Result = callServer(Server, {}, 300ms);
  REQUIRE(Result.m_Error);
  CHECK(Result.m_Error->m_Code == HttpErrorCode::TimedOut);
}

TEST_CASE("a head of many fields below the limit is taken whole") {
  std::string Head = Ok;
  for (unsigned I = 0; I < 5000; ++I)
    Head += "A: b\r\n";
  const EndlessServer Server("127.0.0.1", 0,
                             always({Head + "Content-Length: 1\r\n\r\nx", ""}));
  const Outcome Result = callServer(Server);
  CHECK(Result.m_HasEnded);
  CHECK(Result.m_BodyBytes == 1);
  CHECK(Result.m_HeaderBytes >= 10000);
}
