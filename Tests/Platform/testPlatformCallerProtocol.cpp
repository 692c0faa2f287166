// Parsing and writing of the platform's headers.
#include "PlatformCallerProtocol.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::platform;
using namespace std::chrono_literals;

namespace {

HttpRequest request() {
  return {"POST",
          "/rows/4?x=1",
          {{"Host", "Farm.example:8080"},
           {"X-Mangocart-Request-Id", "9c41"},
           {"x-mangocart-deadline-ms", "8000"},
           {"X-Mangocart-Key", "k1"},
           {"X-Mangocart-Token-Count", "1460,80"},
           {"X-Mangocart-Length-Hint", "60"},
           {"X-Mangocart-Prompt-Prefix", "5c:800,91:660"},
           {"X-Mangocart-Tenant", "forged"},
           {"X-Mangocart-Expect-Instance", "forged"},
           {"Last-Event-Id", "12"},
           {"Connection", "keep-alive, X-Hop"},
           {"X-Hop", "1"},
           {"Expect", "100-continue"},
           {"X-Other", "kept"}},
          "body",
          {}};
}

std::string header(const HttpRequest &Of, std::string_view Name) {
  return std::string(findHeader(Of.m_Headers, Name).value_or("none"));
}

} // namespace

TEST_CASE("the headers of a caller's request are parsed") {
  const CallerRequest Read = PlatformCallerProtocol().read(request());
  CHECK(Read.m_RequestId == "9c41");
  CHECK(Read.m_Host == "farm.example");
  CHECK(Read.m_Path == "/rows/4");
  CHECK(Read.m_TimeLeft == 8s);
  CHECK(Read.m_CustomerKey == "k1");
  CHECK(Read.m_LastEventId == "12");
  CHECK(Read.m_PromptTokens == 1460);
  CHECK(Read.m_MaxOutputTokens == 80);
  CHECK(Read.m_EstimatedOutputTokens == 60);
}

TEST_CASE("the shared parts of a prompt are all parts but the last") {
  struct Case {
    const char *m_Header;
    std::vector<std::string> m_Parts;
  };
  const Case Cases[] = {
      {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
      {"5c1e07a2:800, 91bd3f06:410", {"5c1e07a2"}},
      {"5c1e07a2:800", {}},
      {"", {}},
      {",:4,5c,", {"5c"}},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Header);
    HttpRequest Request = request();
    Request.m_Headers = {{"X-Mangocart-Prompt-Prefix", Each.m_Header}};
    CHECK(PlatformCallerProtocol().read(Request).m_SharedParts == Each.m_Parts);
  }
}

TEST_CASE("long lists and IDs of parts are bounded") {
  HttpRequest Request = request();
  // Reports of crashes are parsed only if their texts are UTF-8.
  std::string Parts = std::string(65, 'a') + ":1,\xff:1,";
  for (int I = 0; I < 100; ++I)
    Parts += std::to_string(I) + ":1,";
  Request.m_Headers = {{"X-Mangocart-Prompt-Prefix", Parts}};
  const auto Read = PlatformCallerProtocol().read(Request).m_SharedParts;
  REQUIRE(Read.size() == 64);
  CHECK(Read.front() == "0");
}

TEST_CASE("invalid header values count as absent") {
  HttpRequest Request = request();
  Request.m_Headers = {{"X-Mangocart-Deadline-Ms", "soon"},
                       {"X-Mangocart-Token-Count", "many"}};
  const CallerRequest Read = PlatformCallerProtocol().read(Request);
  CHECK_FALSE(Read.m_TimeLeft);
  CHECK_FALSE(Read.m_CustomerKey);
  CHECK(Read.m_PromptTokens == 0);
  CHECK(Read.m_MaxOutputTokens == 0);
}

// Guards against a time that overflows the clock.
TEST_CASE("the time that a caller waits is bounded") {
  HttpRequest Request = request();
  const auto TimeLeft = [&](const char *Ms) {
    Request.m_Headers = {{"X-Mangocart-Deadline-Ms", Ms}};
    return PlatformCallerProtocol().read(Request).m_TimeLeft;
  };
  CHECK(TimeLeft("8001") == 8001ms);
  CHECK(TimeLeft("9223372036854775808") == 24h);
  CHECK(TimeLeft("18446744073709551615") == 24h);
}

TEST_CASE("a request is forwarded unchanged except for the gateway's headers") {
  ForwardedMetadata Metadata;
  Metadata.m_BackendServer = "i-7";
  Metadata.m_TimeLeft = 7500ms;
  Metadata.m_Customer = "school";
  Metadata.m_LastEventId = "20";
  const HttpRequest Out = PlatformCallerProtocol().forward(request(), Metadata);
  CHECK(Out.m_Method == "POST");
  CHECK(Out.m_Target == "/rows/4?x=1");
  CHECK(Out.m_Body == "body");
  CHECK(header(Out, "Host") == "Farm.example:8080");
  CHECK(header(Out, "X-Mangocart-Request-Id") == "9c41");
  CHECK(header(Out, "X-Mangocart-Token-Count") == "1460,80");
  CHECK(header(Out, "X-Mangocart-Prompt-Prefix") == "5c:800,91:660");
  CHECK(header(Out, "X-Other") == "kept");
  CHECK(header(Out, "X-Mangocart-Deadline-Ms") == "7500");
  CHECK(header(Out, "X-Mangocart-Expect-Instance") == "i-7");
  CHECK(header(Out, "X-Mangocart-Tenant") == "school");
  CHECK(header(Out, "X-Mangocart-Request-Urgency") == "none");
  Metadata.m_Urgency = 2;
  CHECK(header(PlatformCallerProtocol().forward(request(), Metadata),
               "X-Mangocart-Request-Urgency") == "2");
  CHECK(header(Out, "Last-Event-Id") == "20");
  for (const char *Dropped :
       {"X-Mangocart-Key", "Connection", "X-Hop", "Expect"})
    CHECK(header(Out, Dropped) == "none");
  CHECK(std::count_if(Out.m_Headers.begin(), Out.m_Headers.end(),
                      [](const HttpHeader &H) {
                        return H.m_Value == "forged" || H.m_Value == "12";
                      }) == 0);
}

TEST_CASE(
    "a request of a public route has no customer, not even a forged one") {
  const HttpRequest Out = PlatformCallerProtocol().forward(request(), {});
  CHECK(header(Out, "X-Mangocart-Tenant") == "none");
}

TEST_CASE("what a response says about the request") {
  struct Case {
    const char *m_Name;
    HttpHead m_Head;
    ResponseKind m_Kind;
  };
  const Case Cases[] = {
      {"success", {200, {}}, ResponseKind::Ran},
      {"failure of the request", {500, {}}, ResponseKind::Ran},
      {"503 without the not-run header", {503, {}}, ResponseKind::Ran},
      {"overloaded",
       {503, {{"X-Mangocart-Not-Run", "1"}}},
       ResponseKind::NotRun},
      {"overloaded, names itself",
       {503, {{"X-Mangocart-Not-Run", "1"}, {"At-Server", "10.1.0.3:80"}}},
       ResponseKind::NotRun},
      {"another rank failed",
       {503, {{"X-Mangocart-Not-Run", "1"}, {"At-Server", "10.1.0.9:80"}}},
       ResponseKind::GroupBroken},
      {"another server", {421, {}}, ResponseKind::WrongServer},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(PlatformCallerProtocol().classify(Each.m_Head, "10.1.0.3:80") ==
          Each.m_Kind);
  }
}

TEST_CASE("the limit that a server names is a decimal number") {
  const auto LimitIn = [](const char *Value) {
    return PlatformCallerProtocol()
        .readNotice({200, {{"Server-Limit", Value}}})
        .m_RequestsPerSecond;
  };
  CHECK(LimitIn("2.7") == 2.7);
  CHECK(LimitIn("0") == 0.0);
  CHECK(LimitIn("12") == 12.0);
  for (const char *Bad : {"", "many", "-1", "2.7/s", "inf", "nan"})
    CHECK_FALSE(LimitIn(Bad));
  CHECK_FALSE(
      PlatformCallerProtocol().readNotice({200, {}}).m_RequestsPerSecond);
}

TEST_CASE("a server that leaves says so with the value 1") {
  const PlatformCallerProtocol P;
  CHECK(P.readNotice({200, {{"server-leaving", "1"}}}).m_IsLeaving);
  CHECK_FALSE(P.readNotice({200, {{"Server-Leaving", "0"}}}).m_IsLeaving);
  CHECK_FALSE(P.readNotice({200, {}}).m_IsLeaving);
}

TEST_CASE("a server asks for a pause with 503 and Retry-After in seconds") {
  const auto PauseIn = [](unsigned Status, const char *Value) {
    return PlatformCallerProtocol()
        .readNotice({Status, {{"Retry-After", Value}}})
        .m_Pause;
  };
  CHECK(PauseIn(503, "2") == 2s);
  CHECK(PauseIn(503, "0.25") == 250ms);
  CHECK_FALSE(PauseIn(200, "2"));
  CHECK_FALSE(PauseIn(429, "2"));
  CHECK_FALSE(PauseIn(503, "Fri, 04 Dec 2026 12:00:00 GMT"));
  CHECK_FALSE(PauseIn(503, "-1"));
  CHECK(PauseIn(503, "1e300") == 24h);
}

TEST_CASE("a cold server says how long it stays cold") {
  const auto ColdIn = [](unsigned Status, const char *Value) {
    return PlatformCallerProtocol()
        .readNotice({Status, {{"x-mangocart-cold-ms", Value}}})
        .m_ColdRemaining;
  };
  CHECK(ColdIn(200, "2500") == 2500ms);
  CHECK(ColdIn(503, "0.5") == 500us);
  CHECK(ColdIn(200, "1e300") == 24h);
  CHECK(ColdIn(200, "0") == 0s);
  CHECK(ColdIn(200, "soon") == 0s);
  CHECK(ColdIn(200, "-1") == 0s);
  // Another server has answered.
  CHECK(ColdIn(421, "2500") == 0s);
  CHECK(PlatformCallerProtocol().readNotice({200, {}}).m_ColdRemaining == 0s);
}

TEST_CASE("a response belongs to the request whose ID it contains") {
  const PlatformCallerProtocol P;
  CHECK(P.ownerOf({200, {{"X-Mangocart-Request-Id", "9c41"}}}, "9c41") ==
        AnswerOwner::ThisCall);
  CHECK(P.ownerOf({200, {{"X-Mangocart-Request-Id", "77"}}}, "9c41") ==
        AnswerOwner::OtherCall);
  CHECK(P.ownerOf({503, {}}, "9c41") == AnswerOwner::Unknown);
}

TEST_CASE("hop-by-hop headers are removed from a response") {
  const HttpHead Out =
      PlatformCallerProtocol().toCallerHead({200,
                                             {{"X-Mangocart-Server-Stamp", "s"},
                                              {"Connection", "close, X-Hop"},
                                              {"X-Hop", "1"},
                                              {"Keep-Alive", "timeout=5"}}});
  CHECK(Out.m_Headers ==
        std::vector<HttpHeader>{{"X-Mangocart-Server-Stamp", "s"}});
}

TEST_CASE("the gateway's own responses have Retry-After and no server stamp") {
  const HttpResponse Out =
      PlatformCallerProtocol().makeResponse(503, "busy", "9c41", 1250ms);
  CHECK(Out.m_Head.m_Status == 503);
  CHECK(findHeader(Out.m_Head.m_Headers, "Retry-After") == "1.250");
  CHECK(findHeader(Out.m_Head.m_Headers, "X-Mangocart-Request-Id") == "9c41");
  CHECK_FALSE(findHeader(Out.m_Head.m_Headers, "X-Mangocart-Server-Stamp"));
}
