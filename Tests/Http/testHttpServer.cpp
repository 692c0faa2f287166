// What a caller can send to the server, good and bad, over real sockets.
#include "Http/HttpTesting.h"

#include <catch2/catch.hpp>

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
