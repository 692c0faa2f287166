// Exit codes and output of command lines, the requests that commands send to
// the administration API, and the handling of its responses.
#include "Command/CommandRegistry.h"

#include "Command/AdminClient.h"
#include "Core/WorkerPool.h"
#include "Http/BrokenServer.h"
#include "Http/HttpServer.h"
#include "Log.pb.h"
#include "Planning/AdminMessages.h"
#include "Planning/OrderMessages.h"
#include "Planning/Plan.h"
#include "Planning/PlanJson.h"
#include "Settings/SettingsReader.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace mangocart;

namespace fs = std::filesystem;

namespace {

const std::string Answers =
    std::string(MANGOCART_SOURCE_ROOT) + "/Examples/los-ceibos/answers.toml";

// Temporary folder, removed at the end of the test.
struct TempFolder {
  fs::path m_Path = fs::temp_directory_path() /
                    ("mangocart-command-" + std::to_string(::getpid()));
  TempFolder() { fs::create_directories(m_Path); }
  ~TempFolder() { fs::remove_all(m_Path); }
  std::string file(const std::string &Name, const std::string &Text) const {
    std::ofstream(m_Path / Name) << Text;
    fs::permissions(m_Path / Name,
                    fs::perms::owner_read | fs::perms::owner_write);
    return (m_Path / Name).string();
  }
};

struct AdminApi {
  MAKE_MOCK1(call, AdminResult(const AdminRequest &));
};

struct RunResult {
  ExitCode m_Exit;
  std::string m_Out;
  std::string m_Err;
};

RunResult run(const std::vector<std::string> &Arguments, AdminApi &Api) {
  std::ostringstream Out;
  std::ostringstream Err;
  CommandContext Context{
      Out, Err, [&](const AdminRequest &Request) { return Api.call(Request); },
      [] { return std::string("made-id"); }};
  const ExitCode Exit = runCommand(Arguments, Context);
  return {Exit, Out.str(), Err.str()};
}

struct UsageCase {
  std::vector<std::string> m_Arguments;
  ExitCode m_Exit;
  // Expected substrings of standard output and standard error; empty if nothing
  // is printed.
  std::string m_Out;
  std::string m_Err;
};

constexpr auto Ok = ExitCode::Ok;
constexpr auto Failed = ExitCode::Failed;
constexpr auto Usage = ExitCode::Usage;

const UsageCase UsageCases[] = {
    {{}, Usage, "", "Usage: mangocart COMMAND"},
    {{"--help"}, Ok, "Usage: mangocart COMMAND", ""},
    {{"--version"}, Ok, "mangocart 0.", ""},
    {{"validat"},
     Usage,
     "",
     "found \"validat\"; expected a command, perhaps validate"},
    {{"zzzzzzzz"}, Usage, "", "expected one of validate, init, plan"},
    {{"plan", "--help"}, Ok, "--answers FILE", ""},
    {{"plan", "--version"}, Ok, "mangocart 0.", ""},
    {{"plan"}, Usage, "", "answers"},
    {{"plan", "--answers"}, Usage, "", "mangocart plan: "},
    {{"plan", "--colour", "red"}, Usage, "", "--colour"},
    {{"plan", "--answers", Answers},
     Usage,
     "",
     "either --admin HOST:PORT or --offline"},
    {{"plan", "--answers", Answers, "--admin", "localhost:1"},
     Usage,
     "",
     "--admin: found \"localhost:1\""},
    {{"plan", "--answers", "/nowhere", "--offline"},
     Failed,
     "",
     "/nowhere: found No such file"},
    {{"validate"}, Usage, "", "FILE"},
    {{"validate", "--kin", Answers},
     Usage,
     "",
     "found --kin; expected an option of this command"},
    {{"validate", "--kind", "agnet", Answers},
     Usage,
     "",
     "--kind KIND: found \"agnet\"; expected one of guess"},
    {{"validate", Answers}, Ok, "the file is valid", ""},
    {{"validate", "--kind", "agent", Answers},
     Failed,
     "",
     "answers.toml:3: policy_version: found an unknown key"},
    {{"validate", "--output", "json", "/nowhere"},
     Failed,
     "{\"errors\":[{\"file\":\"/nowhere\"",
     ""},
    {{"validate", Answers, "/nowhere"},
     Failed,
     "",
     "/nowhere: found No such file"},
    {{"status", "--admin", "127.24.0.1"},
     Usage,
     "",
     "expected an IP address and a port"},
    {{"status", "--admin", "127.24.0.1:1", "--timeout-s", "0"},
     Usage,
     "",
     "--timeout-s: found \"0\"; expected a whole number from 1 to 3600"},
    {{"drain", "a", "--admin", "127.24.0.1:1", "--token-file", "/nowhere"},
     Failed,
     "",
     "/nowhere: can't read the token"},
    {{"drain", "a", "--admin", "127.24.0.1:1"}, Usage, "", "token-file"},
    {{"accept", Answers, "--admin", "127.24.0.1:1", "--token-file", "/x"},
     Failed,
     "",
     "expected a file written by 'mangocart plan'"},
    {{"timeline", "/nowhere"}, Failed, "", "/nowhere: cannot be opened"},
    {{"reference", "colours"}, Usage, "", "expected one of settings, commands"},
};

void checkContains(const std::string &Text, const std::string &Part) {
  if (Part.empty())
    CHECK(Text.empty());
  else
    CHECK_THAT(Text, Catch::Contains(Part));
}

struct AcceptCase {
  AdminResult m_Response;
  ExitCode m_Exit;
  std::string m_Out;
  std::string m_Err;
};

} // namespace

TEST_CASE("each command line returns its exit code and message") {
  for (const UsageCase &Row : UsageCases) {
    AdminApi Api;
    const RunResult Outcome = run(Row.m_Arguments, Api);
    INFO((Row.m_Arguments.empty() ? "" : Row.m_Arguments.front()));
    INFO(Row.m_Err << Row.m_Out);
    CHECK(Outcome.m_Exit == Row.m_Exit);
    checkContains(Outcome.m_Out, Row.m_Out);
    checkContains(Outcome.m_Err, Row.m_Err);
  }
}

TEST_CASE("init overwrites existing files only with --force") {
  const TempFolder Scratch;
  AdminApi Api;
  std::vector<std::string> Line{"init", "--answers", Answers, "--out",
                                Scratch.m_Path / "new"};
  CHECK(run(Line, Api).m_Exit == Ok);
  CHECK(fs::exists(Scratch.m_Path / "new/entries/entry-c2.toml"));
  CHECK(fs::exists(Scratch.m_Path / "new/agents/canelones-a.toml"));
  const RunResult SecondRun = run(Line, Api);
  CHECK(SecondRun.m_Exit == Failed);
  CHECK_THAT(SecondRun.m_Err, Catch::Contains("entry-a.toml: the file exists; "
                                              "nothing was written"));
  Line.emplace_back("--force");
  CHECK(run(Line, Api).m_Exit == Ok);
}

TEST_CASE("plan fetches the configuration in force") {
  const TempFolder Scratch;
  AdminApi Api;
  schema::Configuration InForce;
  InForce.set_version(41);
  REQUIRE_CALL(Api, call(trompeloeil::_))
      .WITH(_1.m_Path == "/v1/configuration" && _1.m_Token.empty())
      .RETURN(configurationResponse(InForce));
  const std::string Out = Scratch.m_Path / "plan.json";
  const RunResult Outcome = run({"plan", "--answers", Answers, "--admin",
                                 "127.24.0.1:8081", "--out", Out},
                                Api);
  CHECK(Outcome.m_Exit == Ok);
  CHECK_THAT(Outcome.m_Out, Catch::Contains("planned against version 41"));
  const Plan Written = parsePlan(readTextFile(Out).value()).value();
  CHECK(Written.m_PlannedAgainst == 41);
  CHECK(Written.m_Configuration.version() == 42);
}

TEST_CASE("accept prints its operation id first and then its result") {
  const TempFolder Scratch;
  const Plan NewPlan = planText("a", readTextFile(Answers).value(), {}).value();
  const std::string File = Scratch.file("plan.json", planJson(NewPlan));
  const std::string Token = Scratch.file("token", "0123456789abcdef");
  const std::string Winner = R"({"verdict":"CONFLICT","version":7,)"
                             R"("winner_operation_id":"op-2",)"
                             R"("winner_operator_name":"luz"})";
  const std::string OwnId = R"({"version":7,"winner_operation_id":"made-id",)"
                            R"("winner_operator_name":"luz"})";
  const AcceptCase Cases[] = {
      {jsonResponse(200, R"({"verdict":"ACCEPTED","version":1})"), Ok,
       "accepted: version 1", "operation id: made-id\n"},
      {jsonResponse(409, Winner), Failed, "",
       "operation id: made-id\nconflict: version 7 is in force, accepted by "
       "luz with operation id op-2; nothing was changed; plan again\n"},
      {jsonResponse(409, OwnId), Failed, "",
       "with operation id made-id; nothing was changed; the operation id is "
       "the same, but the plan or the operator differs: retry with the "
       "original ones, or plan again\n"},
      {unavailableResponse("no majority", std::chrono::seconds(3)), Failed, "",
       "status 503: no majority; retry in 3 s; to retry, use "
       "--operation-id made-id --operator ana"},
      {errorResponse(401, "wrong token"), Failed, "", "check --token-file"},
      {AdminError{"no connection", true}, Failed, "",
       "no connection; nothing was sent; retry with --operation-id "
       "made-id --operator ana"},
      {AdminError{"the connection was lost", false}, Failed, "",
       "it is unknown whether the configuration was accepted; retry "
       "with --operation-id made-id --operator ana"},
  };
  for (const AcceptCase &Row : Cases) {
    AdminApi Api;
    AdminRequest Sent;
    REQUIRE_CALL(Api, call(trompeloeil::_))
        .LR_SIDE_EFFECT(Sent = _1)
        .LR_RETURN(Row.m_Response);
    const RunResult Outcome = run({"accept", File, "--admin", "127.24.0.1:8081",
                                   "--token-file", Token, "--operator", "ana"},
                                  Api);
    INFO(Row.m_Err);
    CHECK(Outcome.m_Exit == Row.m_Exit);
    checkContains(Outcome.m_Out, Row.m_Out);
    CHECK_THAT(Outcome.m_Err, Catch::Contains(Row.m_Err));
    CHECK(Sent.m_Token == "0123456789abcdef");
    const auto Order = parseAccept(Sent.m_Body);
    REQUIRE(Order);
    CHECK(Order.value().operation_id() == "made-id");
    CHECK(Order.value().operator_name() == "ana");
  }
}

TEST_CASE("a retried accept uses the given operation id") {
  const TempFolder Scratch;
  const std::string File = Scratch.file(
      "plan.json",
      planJson(planText("a", readTextFile(Answers).value(), {}).value()));
  const std::string Token = Scratch.file("token", "0123456789abcdef");
  AdminApi Api;
  REQUIRE_CALL(Api, call(trompeloeil::_))
      .WITH(parseAccept(_1.m_Body).value().operation_id() == "earlier")
      .RETURN(jsonResponse(200, R"({"verdict":"ACCEPTED","version":1})"));
  const RunResult Outcome =
      run({"accept", File, "--admin", "127.24.0.1:8081", "--token-file", Token,
           "--operation-id", "earlier", "--output", "json"},
          Api);
  CHECK(Outcome.m_Out == "{\"verdict\":\"ACCEPTED\",\"version\":1,"
                         "\"operation_id\":\"earlier\"}\n");
}

TEST_CASE("drain sends the process name and succeeds on status 202") {
  const TempFolder Scratch;
  const std::string Token = Scratch.file("token", "0123456789abcdef");
  AdminApi Api;
  REQUIRE_CALL(Api, call(trompeloeil::_))
      .WITH(_1.m_Path == "/v1/drain" && _1.m_Token == "0123456789abcdef" &&
            parseDrain(_1.m_Body).value() == "entry-a")
      .RETURN(jsonResponse(202, "{\"draining\":true}"));
  const RunResult Outcome = run(
      {"drain", "entry-a", "--admin", "127.24.0.1:8081", "--token-file", Token},
      Api);
  CHECK(Outcome.m_Exit == Ok);
  CHECK(Outcome.m_Out == "entry-a is draining\n");
}

TEST_CASE("order prints its id, sends its payload and reports its result") {
  const TempFolder Scratch;
  const std::string Token = Scratch.file("token", "0123456789abcdef");
  const std::string Payload = Scratch.file("payload", "map 3");
  AdminApi Api;
  schema::OrderAnswer Old;
  Old.set_verdict(schema::OrderAnswer::OLD_NUMBER);
  Old.set_number_in_force(9);
  REQUIRE_CALL(Api, call(trompeloeil::_))
      .WITH(_1.m_Path == "/v1/order" && _1.m_Token == "0123456789abcdef" &&
            parseOrder(_1.m_Body).value().m_Order.payload() == "map 3" &&
            parseOrder(_1.m_Body).value().m_Order.order_id() == "made-id" &&
            parseOrder(_1.m_Body).value().m_Longest < _1.m_Deadline)
      .RETURN(orderResponse("made-id", {Old, 8, schema::NOT_RUN}));
  const RunResult Outcome =
      run({"order", "engine-1", "--kind", "switch-expert-map", "--payload",
           Payload, "--admin", "127.24.0.1:8081", "--token-file", Token},
          Api);
  CHECK(Outcome.m_Exit == Failed);
  CHECK(Outcome.m_Err == "order id: made-id\nmangocart: old-number: outcome "
                         "not-run, number 8, superseded by a newer order "
                         "with number 9\n");
}

TEST_CASE("status prints the response as lines or as unchanged JSON") {
  const std::string Body = R"({"version":3,"members":[{"name":"a","up":true}],)"
                           R"("raft":{"leader":"entry-a"}})";
  AdminApi Api;
  ALLOW_CALL(Api, call(trompeloeil::_)).RETURN(jsonResponse(200, Body));
  CHECK(run({"status", "--admin", "127.24.0.1:1"}, Api).m_Out ==
        "version: 3\nmembers:\n  name a, up true\nraft:\n  leader: entry-a\n");
  CHECK(run({"status", "--admin", "127.24.0.1:1", "--output", "json"}, Api)
            .m_Out == Body + "\n");
}

TEST_CASE("parsing of administration API targets") {
  CHECK(parseTarget("127.0.1.1:8081") == HttpTarget{"127.0.1.1", 8081});
  CHECK(parseTarget("[::1]:8081") == HttpTarget{"::1", 8081});
  for (const char *Wrong :
       {"", ":1", "127.0.1.1", "127.0.1.1:", "::1:80", "127.0.1.1:0",
        "127.0.1.1:70000", "127.0.1.1:8x", "[127.0.1.1]:80", "host:80"})
    CHECK_FALSE(parseTarget(Wrong));
}

TEST_CASE(
    "a call over a socket sends token and body and returns the response") {
  WorkerPool Workers(1);
  HttpServer Server(
      Workers, {}, [](const std::shared_ptr<HttpExchange> &Exchange) {
        const HttpRequest &Request = Exchange->request();
        Exchange->respond(
            {{201, {{"Retry-After", "5"}}},
             Request.m_Method + " " + Request.m_Target + " " +
                 std::string(findHeader(Request.m_Headers, "Authorization")
                                 .value_or("none")) +
                 " " + Request.m_Body});
      });
  REQUIRE(Server.listen("127.24.0.1", 18081));
  Workers.start();
  AdminRequest Request;
  Request.m_Target = {"127.24.0.1", 18081};
  Request.m_Method = "POST";
  Request.m_Path = "/v1/drain";
  Request.m_Token = "secret";
  Request.m_Body = "{}";
  const auto Response = callAdmin(Request);
  REQUIRE(Response);
  CHECK(Response.value().m_Head.m_Status == 201);
  CHECK(Response.value().m_Body == "POST /v1/drain Bearer secret {}");
  Server.closeListener();
  Workers.stop();
  Request.m_Target.m_Port = 18082;
  const auto Refused = callAdmin(Request);
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().m_NothingSent);
}

TEST_CASE("a broken response is an error after which the request may have been "
          "carried out") {
  const std::string Body = "Content-Length: 2\r\n\r\n{}";
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const test::BrokenAnswer &Answer :
       std::initializer_list<test::BrokenAnswer>{
           {"HTTP/1.1 000 S\r\n" + Body},
           {test::joined({"HTTP/1.1 000 S\r\n", Body, Ok, Body})},
           {"HTTP/1.1 999 S\r\n" + Body},
           {test::joined({"HTTP/1.1 103 S\r\n", Body, Ok, Body})},
           {test::joined({Ok, "X A: v\r\n", Body})},
           {test::joined({Ok, "X-A\x01: v\r\n", Body})},
           {test::joined({Ok, "X-B: w\r\n ", Body}),
            test::ConnectionEnd::Shutdown},
           {Ok + "\r\n{}", test::ConnectionEnd::Shutdown},
           {Ok + "\r\n{}", test::ConnectionEnd::Reset}}) {
    INFO(Answer.m_Text);
    const test::BrokenServer Server(
        "127.24.0.1", 0, [&](const std::string &) { return Answer; });
    AdminRequest Request;
    Request.m_Target = {"127.24.0.1", Server.port()};
    Request.m_Method = "POST";
    Request.m_Path = "/v1/drain";
    Request.m_Body = std::string(1000, ' ') + "{}";
    const auto Response = callAdmin(Request);
    REQUIRE_FALSE(Response);
    CHECK_FALSE(Response.error().m_NothingSent);
  }
}
