// Answers whose fields have names or values that no server may send. Guards
// against a client that hands such a line on, or reads the body by another
// framing than its server wrote.
#include "Http/HttpResponseParser.h"
#include "Http/TestCaller.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mangocart;
using namespace mangocart::test;

namespace {

constexpr unsigned Calls = 20;
constexpr char Delete = 127;

// Lines without their line end.
std::vector<std::string> invalidLines() {
  std::vector<std::string> Lines = {
      "X A: v",       "X\tA: v",   "X-A : v",  "X-A\t: v", " X-A: v",
      "\tX-A: v",     " : v",      ": v",      ":",        "X-A",
      "X(A): v",      "X\"A\": v", "X/A: v",   "X@A: v",   "{X}: v",
      "X\xC3\xA4: v", "X\x80: v",  "X\xFF: v", " ",        "\t"};
  std::vector<char> Controls = {Delete};
  for (char Control = 0; Control < ' '; ++Control)
    Controls.push_back(Control);
  for (const char Control : Controls) {
    const std::string Byte(1, Control);
    Lines.push_back(Byte + "X-A: v");
    Lines.push_back("X" + Byte + "A: v");
    Lines.push_back("X-A" + Byte + ": v");
    // A horizontal tab is allowed within a value.
    if (Control != '\t')
      Lines.push_back("X-A: v" + Byte + "w");
  }
  return Lines;
}

// Fields that would frame the body if their names were valid.
const std::string InvalidFraming[] = {"Content-Length : 5",
                                      "Content-Length\t: 5",
                                      "Content Length: 5",
                                      " Content-Length: 5",
                                      "\tContent-Length: 5",
                                      "Content-\x01Length: 5",
                                      "Content-Length\x7F: 5",
                                      "Content-Length: 5\x01",
                                      "Content-Length: 5\x7F",
                                      "Content-Length:\r\n 5",
                                      "Transfer-Encoding : chunked",
                                      "Transfer-Encoding\t: chunked",
                                      " Transfer-Encoding: chunked",
                                      "\tTransfer-Encoding: chunked",
                                      "Transfer-Encoding\x01: chunked",
                                      "Transfer-Encoding: chunked\x01",
                                      "Transfer-Encoding:\r\n chunked"};

std::string printable(const std::string &Text) {
  std::string Out;
  for (const char Each : Text)
    Out += Each >= ' ' && Each < Delete
               ? std::string(1, Each)
               : fmt::format("<{}>", static_cast<unsigned char>(Each));
  return Out;
}

void checkAlwaysRefused(std::initializer_list<std::string_view> Parts,
                        ConnectionEnd End) {
  const std::string Text = joined(Parts);
  INFO(printable(Text));
  const BrokenServer Server("127.0.0.1", 0, always({Text, End}));
  TestCaller Client(Server);
  for (unsigned I = 0; I < Calls; ++I)
    checkRefused(Client.get());
}

const std::string Line = "\r\n";

} // namespace

TEST_CASE("an answer with an invalid field in its head is refused",
          "[fields]") {
  const std::string Framings[] = {"Content-Length: 5\r\n",
                                  "Transfer-Encoding: chunked\r\n", ""};
  const std::string Bodies[] = {"whole", "5\r\nwhole\r\n0\r\n\r\n", "whole"};
  for (const std::string &Invalid : invalidLines())
    for (std::size_t I = 0; I < std::size(Framings); ++I) {
      // Without framing, the connection ends the answer.
      const ConnectionEnd End =
          Framings[I].empty() ? ConnectionEnd::Shutdown : ConnectionEnd::Keep;
      const std::string Tail = Line + Bodies[I];
      checkAlwaysRefused({StatusLine, Invalid, Line, Framings[I], Tail}, End);
      checkAlwaysRefused({StatusLine, Framings[I], Invalid, Line, Tail}, End);
      checkAlwaysRefused({StatusLine, Framings[I], "X-B: w\r\n", Invalid, Line,
                          "X-C: x\r\n", Tail},
                         End);
    }
}

TEST_CASE("an answer whose framing field is invalid is refused", "[fields]") {
  for (const std::string &Invalid : InvalidFraming)
    for (const std::string Body : {"whole", "5\r\nwhole\r\n0\r\n\r\n"})
      for (const std::string Before : {"", "X-B: w\r\n"})
        for (const ConnectionEnd End :
             {ConnectionEnd::Keep, ConnectionEnd::Shutdown})
          checkAlwaysRefused({StatusLine, Before, Invalid, Line, Line, Body},
                             End);
}

TEST_CASE("an interim answer with an invalid field is refused", "[fields]") {
  for (const std::string &Invalid : invalidLines())
    for (const std::string Before : {"", "X-B: w\r\n"})
      checkAlwaysRefused(
          {"HTTP/1.1 103 Early\r\n", Before, Invalid, Line, Line, WholeAnswer},
          ConnectionEnd::Keep);
}

// The head and the body are on their way to the caller by then.
TEST_CASE("an answer with an invalid field in its trailer isn't whole",
          "[fields]") {
  for (const std::string &Invalid : invalidLines())
    for (const std::string Before : {"", "X-B: w\r\n"}) {
      const std::string Text =
          joined({StatusLine, "Transfer-Encoding: chunked\r\n\r\n",
                  "5\r\nwhole\r\n0\r\n", Before, Invalid, Line, Line});
      INFO(printable(Text));
      const BrokenServer Server("127.0.0.1", 0, always({Text}));
      TestCaller Client(Server);
      for (unsigned I = 0; I < Calls; ++I)
        checkBroken(Client.get(), HttpErrorCode::Malformed);
    }
}

TEST_CASE("an invalid field is refused however its bytes arrive", "[fields]") {
  struct Sink : HttpResponseSink {
    AnswerOwner ownerOf(const HttpHead &) override {
      return AnswerOwner::ThisCall;
    }
    bool takeHead(HttpHead) override { return m_IsHeadTaken = true; }
    bool takeBody(std::string_view) override { return true; }
    bool m_IsHeadTaken = false;
  };
  using Progress = HttpResponseParser::Progress;
  for (const std::string &Invalid : invalidLines()) {
    const std::string Text = joined({StatusLine, "X-B: w\r\n", Invalid, Line,
                                     "Content-Length: 5\r\n\r\nwhole"});
    for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
      INFO(printable(Text) << " cut at " << Cut);
      Sink Taker;
      HttpResponseParser Parser(Taker, false, true);
      // Bytes that were not taken come again, in another place.
      std::string First = Text.substr(0, Cut);
      std::string_view Bytes = First;
      Progress Step = Parser.take(Bytes);
      const std::string Rest = std::string(Bytes) + Text.substr(Cut);
      Bytes = Rest;
      if (Step == Progress::NeedMore)
        Step = Parser.take(Bytes);
      CHECK(Step == Progress::Malformed);
      CHECK_FALSE(Taker.m_IsHeadTaken);
    }
  }
}

TEST_CASE("valid fields are handed over as they came", "[fields]") {
  struct Row {
    std::string m_Line;
    HttpHeader m_Header;
  };
  const Row Rows[] = {{"X-A: v", {"X-A", "v"}},
                      {"x-a:v", {"x-a", "v"}},
                      {"X-A: \t v \t", {"X-A", "v"}},
                      {"X-A: v\tw", {"X-A", "v\tw"}},
                      {"X-A: v w", {"X-A", "v w"}},
                      {"X-A:", {"X-A", ""}},
                      {"X-A: \xC3\xA4\xFF", {"X-A", "\xC3\xA4\xFF"}},
                      {"!#$%&'*+-.^_`|~09: v", {"!#$%&'*+-.^_`|~09", "v"}}};
  for (const Row &Each : Rows) {
    INFO(printable(Each.m_Line));
    const BrokenServer Server(
        "127.0.0.1", 0,
        always({joined({StatusLine, Each.m_Line, Line,
                        "Content-Length: 5\r\n\r\nwhole"})}));
    TestCaller Client(Server);
    for (unsigned I = 0; I < Calls; ++I) {
      const CallOutcome Outcome = Client.get();
      checkWhole(Outcome);
      CHECK(Outcome.m_Head->m_Headers.front() == Each.m_Header);
    }
    CHECK(Server.connections() == 1);
  }
}

TEST_CASE("a connection that sent an invalid field carries no other call",
          "[fields]") {
  checkLeavesConnection(StatusLine + "X A: v\r\nContent-Length: 4\r\n\r\npart",
                        Calls);
}
