// A balancer's calls to a replica whose answers have no end or break. Guards
// against a balancer that keeps all of their bytes, or reports a state that it
// read from a part of an answer.
#include "Balancer/RankService.h"
#include "Events/EventLog.h"
#include "Http/BrokenServer.h"
#include "Http/EndlessServer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// The largest answer, and what both ends of a loopback connection may hold in
// the kernel.
constexpr std::uint64_t MaxTakenBytes = std::uint64_t{28} * 1024 * 1024;

HttpRequest get(const std::string &Target) {
  return {"GET", Target, {}, {}, {}};
}

class FakeProtocol : public EngineProtocol {
public:
  HttpRequest stateRequest() const override { return get("/state"); }
  std::optional<RankState> parseState(std::string_view Body) const override {
    return Body == "state" ? std::optional(RankState()) : std::nullopt;
  }
  HttpRequest countsRequest() const override { return get("/counts"); }
  std::optional<std::vector<std::uint64_t>>
  parseCounts(std::string_view) const override {
    return std::nullopt;
  }
  HttpRequest expertsRequest() const override { return get("/experts"); }
  std::optional<RankExperts> parseExperts(std::string_view) const override {
    return std::nullopt;
  }
  HttpRequest orderRequest(const RankOrder &) const override {
    return get("/order");
  }
};

} // namespace

TEST_CASE("a replica's answer without end ends the call to it") {
  const std::string Status =
      GENERATE(std::string("200 OK"), std::string("500 Internal Server Error"));
  const std::string Target = GENERATE(
      std::string("/state"), std::string("/counts"), std::string("/experts"));
  INFO(Status << " to " << Target);
  const EndlessServer Server(
      "127.0.0.1", 0, [&](const std::string &Head) -> EndlessAnswer {
        if (Head.starts_with("GET " + Target))
          return {"HTTP/1.1 " + Status +
                      "\r\nContent-Length: 99999999999\r\n\r\n",
                  std::string(std::size_t{64} * 1024, 'x')};
        return {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstate", ""};
      });
  boost::asio::io_context Context;
  HttpClient Client(Context);
  const FakeProtocol Protocol;
  EventLog Events({"balancer", "b", "z"}, "/dev/null");
  RankService Service(Client, {"127.0.0.1", Server.port()}, Protocol, Events);
  schema::RankRequest Request;
  Request.set_wants_counts(true);
  Request.set_wants_experts(true);
  std::optional<schema::RankReply> Reply;
  Service.query(Request, [&](schema::RankReply Answered) {
    Reply = std::move(Answered);
    Context.stop();
  });
  Context.run_for(10s);
  REQUIRE(Reply);
  CHECK(Reply->has_report() == (Target != "/state"));
  CHECK(Server.sentBytes() < MaxTakenBytes);
}

TEST_CASE("a replica's broken answer gives no state") {
  const std::string Body = "Content-Length: 5\r\n\r\nstate";
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const BrokenAnswer &Answer : std::initializer_list<BrokenAnswer>{
           {"HTTP/1.1 000 S\r\n" + Body},
           {joined({"HTTP/1.1 000 S\r\n", Body, Ok, Body})},
           {"HTTP/1.1 999 S\r\n" + Body},
           {joined({"HTTP/1.1 103 S\r\n", Body, Ok, Body})},
           {joined({Ok, "X A: v\r\n", Body})},
           {joined({Ok, "X-A\x7F: v\r\n", Body})},
           {joined({Ok, "X-B: w\r\n X-A: v\r\n", Body})},
           {Ok + "\r\nstate", ConnectionEnd::Shutdown},
           {Ok + "\r\nstate", ConnectionEnd::Reset}}) {
    INFO(Answer.m_Text);
    const BrokenServer Server("127.0.0.1", 0,
                              [&](const std::string &) { return Answer; });
    boost::asio::io_context Context;
    HttpClient Client(Context);
    const FakeProtocol Protocol;
    EventLog Events({"balancer", "b", "z"}, "/dev/null");
    RankService Service(Client, {"127.0.0.1", Server.port()}, Protocol, Events);
    std::optional<schema::RankReply> Reply;
    Service.query({}, [&](schema::RankReply Answered) {
      Reply = std::move(Answered);
      Context.stop();
    });
    Context.run_for(10s);
    REQUIRE(Reply);
    CHECK_FALSE(Reply->has_report());
    CHECK(Server.requests() > 0);
  }
}
