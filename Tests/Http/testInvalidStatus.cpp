// Answers with status codes outside 100 to 599, and interim answers with a
// body. Guards against a client that takes bytes of such an answer, or the
// bytes behind it, for an answer.
#include "Http/TestCaller.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr unsigned Calls = 20;

struct Framing {
  const char *m_Name;
  std::string m_Rest;
};

const Framing Framings[] = {
    {"length", "Content-Length: 4\r\n\r\npart"},
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
    {"neither", "\r\n"}};

} // namespace

TEST_CASE("an answer whose status is no status is refused at once",
          "[status]") {
  for (const std::string Status :
       {"000", "001", "042", "099", "600", "777", "999", "99", "7", "1000",
        "2000", "0200", "-20", "+20", "2x0", "", " 200"})
    for (const Framing &Body : Framings)
      for (const std::string &Behind : {std::string(), WholeAnswer}) {
        INFO("status '" << Status << "', " << Body.m_Name << ", "
                        << Behind.size() << " bytes behind it");
        const BrokenServer Server(
            "127.0.0.1", 0,
            always({joined(
                {"HTTP/1.1 ", Status, " Trouble\r\n", Body.m_Rest, Behind})}));
        TestCaller Client(Server);
        for (unsigned I = 0; I < Calls; ++I)
          checkRefused(Client.get());
      }
}

TEST_CASE("each status from 200 to 599 is handed over", "[status]") {
  unsigned Status = 0;
  const BrokenServer Server("127.0.0.1", 0, [&](const std::string &) {
    return BrokenAnswer{"HTTP/1.1 " + std::to_string(Status) +
                        " Status\r\nContent-Length: 0\r\n\r\n"};
  });
  TestCaller Client(Server);
  for (Status = 200; Status < 600; ++Status) {
    const CallOutcome Outcome = Client.get();
    CHECK(Outcome.m_HasEnded);
    REQUIRE(Outcome.m_Head);
    CHECK(Outcome.m_Head->m_Status == Status);
  }
}

TEST_CASE("the answer behind an interim answer is handed over", "[status]") {
  for (const std::string Status : {"100", "102", "103", "104", "199"})
    for (const std::string Fields :
         {"", "Link: x\r\n", "Content-Length: 0\r\n"}) {
      INFO(Status << " with " << Fields);
      const BrokenServer Server(
          "127.0.0.1", 0,
          always({joined({"HTTP/1.1 ", Status, " Wait\r\n", Fields, "\r\n",
                          WholeAnswer})}));
      TestCaller Client(Server);
      for (unsigned I = 0; I < Calls; ++I)
        checkWhole(Client.get());
      CHECK(Server.connections() == 1);
    }
}

// An interim answer has no body: its bytes would be read as the next answer.
TEST_CASE("an interim answer with a body is refused", "[status]") {
  const std::string Inner = StatusLine + "Content-Length: 0\r\n\r\n";
  const std::string Bodies[] = {
      "Content-Length: 4\r\n\r\npart",
      "Content-Length: " + std::to_string(Inner.size()) + "\r\n\r\n" + Inner,
      "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
      "Transfer-Encoding: gzip\r\n\r\n"};
  for (const std::string Status : {"100", "101", "102", "103", "199"})
    for (const std::string &Body : Bodies)
      for (const std::string &Behind : {std::string(), WholeAnswer}) {
        INFO(Status << " with " << Body);
        const BrokenServer Server(
            "127.0.0.1", 0,
            always({joined({"HTTP/1.1 ", Status, " Wait\r\n", Body, Behind})}));
        TestCaller Client(Server);
        for (unsigned I = 0; I < Calls; ++I)
          checkRefused(Client.get());
      }
}

TEST_CASE("a connection that sent an invalid status carries no other call",
          "[status]") {
  checkLeavesConnection("HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\npart",
                        Calls);
}

TEST_CASE("a connection that announces a body behind a 204 carries no other "
          "call",
          "[status]") {
  const std::string Body =
      GENERATE(std::string("Content-Length: 4\r\n"),
               std::string("Transfer-Encoding: chunked\r\n"));
  const BrokenServer Server("127.0.0.1", 0,
                            always({"HTTP/1.1 204 None\r\n" + Body + "\r\n"}));
  TestCaller Client(Server);
  for (unsigned I = 0; I < Calls; ++I) {
    const CallOutcome Outcome = Client.get();
    CHECK(Outcome.m_HasEnded);
    CHECK(Outcome.m_Body.empty());
  }
  CHECK(Server.connections() == Calls);
}
