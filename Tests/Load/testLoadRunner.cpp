// Runs the load program against a server that sends wrong responses: each
// violated guarantee must be detected, and nothing else reported as one.
#include "Load/LoadRunner.h"

#include "Core/WorkerPool.h"
#include "Http/HttpServer.h"
#include "Load/RunVerifier.h"
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

std::string bookingResponse(const HttpRequest &Request, std::uint64_t Serial) {
  const auto Key = findHeader(Request.m_Headers, "Idempotency-Key");
  return R"({"key":")" + std::string(Key.value_or("")) + R"(","checksum":")" +
         checksumText(Request.m_Body) + R"(","serial":)" +
         std::to_string(Serial) + R"(,"desk":"d"})";
}

using ResponseHandler = std::function<void(HttpExchange &)>;

struct FaultyResponse {
  const char *m_Name;
  ResponseHandler m_Response;
  CheckResult m_Result;
  // Empty: no guarantee is violated.
  std::string m_Guarantee;
};

ResponseHandler respondWith(unsigned Status,
                            const std::vector<HttpHeader> &Headers,
                            const std::string &Body) {
  return [=](HttpExchange &Exchange) {
    Exchange.respond({{Status, Headers}, Body});
  };
}

std::vector<FaultyResponse> faultyResponses() {
  const auto Counter = std::make_shared<std::atomic<std::uint64_t>>(0);
  return {
      {"correct",
       [Counter](HttpExchange &E) {
         E.respond({{200, {}}, bookingResponse(E.request(), ++*Counter)});
       },
       CheckResult::Ok, ""},
      {"another's checksum",
       [](HttpExchange &E) {
         HttpRequest Other = E.request();
         Other.m_Body += " ";
         E.respond({{200, {}}, bookingResponse(Other, 1)});
       },
       CheckResult::Mismatched, "own answer"},
      {"another's key",
       [](HttpExchange &E) {
         HttpRequest Other = E.request();
         Other.m_Headers = {{"Idempotency-Key", "other"}};
         E.respond({{200, {}}, bookingResponse(Other, 1)});
       },
       CheckResult::Mismatched, "own answer"},
      {"truncated, but ended as complete",
       [](HttpExchange &E) {
         E.respond({{200, {}}, bookingResponse(E.request(), 1).substr(0, 20)});
       },
       CheckResult::Truncated, "whole answer"},
      {"empty", respondWith(200, {}, ""), CheckResult::Truncated,
       "whole answer"},
      {"aborted", [](HttpExchange &E) { E.abort(); }, CheckResult::Failed, ""},
      {"rejected", respondWith(503, {{"Mangocart-Outcome", "not-run"}}, ""),
       CheckResult::Rejected, ""},
      {"rejected without its outcome", respondWith(503, {}, ""),
       CheckResult::Rejected, "outcome stated"}};
}

} // namespace

TEST_CASE("each kind of wrong booking response is detected") {
  for (const FaultyResponse &Row : faultyResponses()) {
    INFO(Row.m_Name);
    FakeServer Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
      Row.m_Response(*Exchange);
    });
    LoadOptions Options = optionsFor(Server);
    Options.m_DraftWeight = 0;
    Options.m_BookingWeight = 1;
    LoadReport Report = runLoad(Options);
    CHECK(Report.m_Bookings.m_Sent == Options.m_Requests);
    CHECK(Report.m_Bookings.m_Results[Row.m_Result] == Options.m_Requests);
    CHECK(Report.m_Violations.size() ==
          (Row.m_Guarantee.empty() ? 0 : Options.m_Requests));
    for (const Violation &Entry : Report.m_Violations)
      CHECK(Entry.m_Guarantee == Row.m_Guarantee);
  }
}

TEST_CASE(
    "a booking that runs again with the same key is detected without a log") {
  std::atomic<std::uint64_t> Serial{0};
  FakeServer Server([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(
        {{200, {}}, bookingResponse(Exchange->request(), ++Serial)});
  });
  LoadOptions Options = optionsFor(Server);
  Options.m_DraftWeight = 0;
  Options.m_BookingWeight = 1;
  CHECK(verifyReceipts(runLoad(Options).m_Attempts).empty());
  Options.m_ResendProbability = 1.0;
  CHECK(verifyReceipts(runLoad(Options).m_Attempts).size() ==
        Options.m_Requests);
  Options.m_ResendProbability = 0.0;
  Options.m_RaceProbability = 1.0;
  CHECK(verifyReceipts(runLoad(Options).m_Attempts).size() ==
        Options.m_Requests);
}

TEST_CASE("an open loop sends every request, whatever the responses are") {
  FakeServer Server(
      [](const std::shared_ptr<HttpExchange> &Exchange) { Exchange->abort(); });
  LoadOptions Options = optionsFor(Server);
  Options.m_Rate = 5000;
  LoadReport Report = runLoad(Options);
  CHECK(Report.m_Drafts.m_Results[CheckResult::Failed] == Options.m_Requests);
}

TEST_CASE("the same seed makes the same requests") {
  LoadOptions Options;
  Options.m_RunName = "r";
  Options.m_BookingWeight = 1;
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
