// The load program against a server that answers wrongly: each broken promise
// must be caught, and nothing else taken for one.
#include "Load/LoadRunner.h"

#include "Core/WorkerPool.h"
#include "Http/HttpServer.h"
#include "Load/RunJudge.h"
#include "Standin/DraftTokens.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace mangocart;

namespace {

constexpr const char *FakeAddress = "127.23.2.1";

struct FakeServer {
  explicit FakeServer(HttpServer::Handler Handler)
      : m_Workers(1), m_Server(m_Workers, {}, std::move(Handler)) {
    m_Server.listen(FakeAddress, 0).value();
    m_Workers.start();
  }
  ~FakeServer() { m_Workers.stop(); }
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  WorkerPool m_Workers;
  HttpServer m_Server;
};

LoadOptions optionsFor(const FakeServer &Server) {
  LoadOptions Options;
  Options.m_Targets = {{FakeAddress, Server.m_Server.port()}};
  Options.m_BookingTargets = Options.m_Targets;
  Options.m_Callers = 4;
  Options.m_Requests = 20;
  Options.m_MaxTokens = 3;
  Options.m_RunName = "test";
  return Options;
}

std::string bookingAnswer(const HttpRequest &Request, std::uint64_t Serial) {
  const auto Key = findHeader(Request.m_Headers, "Idempotency-Key");
  return R"({"key":")" + std::string(Key.value_or("")) + R"(","checksum":")" +
         checksumText(Request.m_Body) + R"(","serial":)" +
         std::to_string(Serial) + R"(,"desk":"d"})";
}

using Answering = std::function<void(HttpExchange &)>;

struct Misbehaviour {
  const char *m_Name;
  Answering m_Answer;
  Verdict m_Verdict;
  // Empty: no promise is broken.
  std::string m_Promise;
};

Answering respondWith(unsigned Status, const std::vector<HttpHeader> &Headers,
                      const std::string &Body) {
  return [=](HttpExchange &Exchange) {
    Exchange.respond({{Status, Headers}, Body});
  };
}

std::vector<Misbehaviour> misbehaviours() {
  const auto Counter = std::make_shared<std::atomic<std::uint64_t>>(0);
  return {
      {"right",
       [Counter](HttpExchange &E) {
         E.respond({{200, {}}, bookingAnswer(E.request(), ++*Counter)});
       },
       Verdict::Ok, ""},
      {"another's checksum",
       [](HttpExchange &E) {
         HttpRequest Other = E.request();
         Other.m_Body += " ";
         E.respond({{200, {}}, bookingAnswer(Other, 1)});
       },
       Verdict::Mixed, "own answer"},
      {"another's key",
       [](HttpExchange &E) {
         HttpRequest Other = E.request();
         Other.m_Headers = {{"Idempotency-Key", "other"}};
         E.respond({{200, {}}, bookingAnswer(Other, 1)});
       },
       Verdict::Mixed, "own answer"},
      {"cut, but ended as whole",
       [](HttpExchange &E) {
         E.respond({{200, {}}, bookingAnswer(E.request(), 1).substr(0, 20)});
       },
       Verdict::CutLooksComplete, "whole answer"},
      {"empty", respondWith(200, {}, ""), Verdict::CutLooksComplete,
       "whole answer"},
      {"aborted", [](HttpExchange &E) { E.abort(); }, Verdict::Broken, ""},
      {"refused", respondWith(503, {{"Mangocart-Outcome", "not-run"}}, ""),
       Verdict::Refused, ""},
      {"refused without its outcome", respondWith(503, {}, ""),
       Verdict::Refused, "outcome stated"}};
}

} // namespace

TEST_CASE("each way to answer a booking wrongly is caught") {
  for (const Misbehaviour &Row : misbehaviours()) {
    INFO(Row.m_Name);
    FakeServer Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
      Row.m_Answer(*Exchange);
    });
    LoadOptions Options = optionsFor(Server);
    Options.m_DraftParts = 0;
    Options.m_BookingParts = 1;
    LoadReport Report = runLoad(Options);
    CHECK(Report.m_Bookings.m_Sent == Options.m_Requests);
    CHECK(Report.m_Bookings.m_Verdicts[Row.m_Verdict] == Options.m_Requests);
    CHECK(Report.m_Broken.size() ==
          (Row.m_Promise.empty() ? 0 : Options.m_Requests));
    for (const BrokenPromise &Broken : Report.m_Broken)
      CHECK(Broken.m_Promise == Row.m_Promise);
  }
}

TEST_CASE("a booking that runs again under its key is caught without a log") {
  std::atomic<std::uint64_t> Serial{0};
  FakeServer Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(
        {{200, {}}, bookingAnswer(Exchange->request(), ++Serial)});
  });
  LoadOptions Options = optionsFor(Server);
  Options.m_DraftParts = 0;
  Options.m_BookingParts = 1;
  CHECK(judgeReceipts(runLoad(Options).m_Attempts).empty());
  Options.m_ResendProbability = 1.0;
  CHECK(judgeReceipts(runLoad(Options).m_Attempts).size() ==
        Options.m_Requests);
  Options.m_ResendProbability = 0.0;
  Options.m_RaceProbability = 1.0;
  CHECK(judgeReceipts(runLoad(Options).m_Attempts).size() ==
        Options.m_Requests);
}

TEST_CASE("an open loop sends every request, whatever the answers do") {
  FakeServer Server(
      [](const std::shared_ptr<HttpExchange> &Exchange) { Exchange->abort(); });
  LoadOptions Options = optionsFor(Server);
  Options.m_Rate = 5000;
  LoadReport Report = runLoad(Options);
  CHECK(Report.m_Drafts.m_Verdicts[Verdict::Broken] == Options.m_Requests);
}

TEST_CASE("the same seed makes the same requests") {
  LoadOptions Options;
  Options.m_RunName = "r";
  Options.m_BookingParts = 1;
  Options.m_Customers = {{"large", 3}, {"small", 1}};
  std::map<std::string, int> Sent;
  for (std::uint64_t I = 0; I < 1000; ++I) {
    const PlannedRequest Planned = planRequest(Options, I);
    CHECK(Planned == planRequest(Options, I));
    ++Sent[Planned.m_Customer];
  }
  CHECK(Sent["large"] > 2 * Sent["small"]);
  CHECK(Sent["large"] < 5 * Sent["small"]);
}
