// Parsing of calls from operators and backend servers at the control endpoint.
#include "PlatformControlProtocol.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::platform;

namespace {

constexpr const char *Whole =
    R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":12,"state":"ready","sequence":4,"born":1774452219052,)"
    R"("group":{"name":"g0","epoch":3,"rank":5,"state":"broken"},"size":12})";

HttpRequest call(std::string Method, std::string Target,
                 std::string Body = {}) {
  return {std::move(Method), std::move(Target), {}, std::move(Body), {}};
}

ControlCall read(const HttpRequest &Request) {
  return PlatformControlProtocol().read(Request);
}

unsigned statusOf(const ControlCall &Call) {
  const auto *Bad = std::get_if<BadCall>(&Call);
  return Bad ? Bad->m_Answer.m_Head.m_Status : 0;
}

} // namespace

TEST_CASE("an announcement is parsed into a member record") {
  const ControlCall Call = read(call("PUT", "/instances/i-7", Whole));
  REQUIRE(std::holds_alternative<AnnounceServer>(Call));
  const Member &Record = std::get<AnnounceServer>(Call).m_Record;
  CHECK(Record.m_BackendServer == "i-7");
  CHECK(Record.m_Service == "llm");
  CHECK(Record.m_Address == "10.1.0.9");
  CHECK(Record.m_PeerPort == 8080);
  CHECK(Record.m_State == MemberState::Serving);
  CHECK(Record.m_Incarnation == 1774452219052);
  CHECK(Record.m_Counter == 4);
  CHECK(Record.m_Slots == 12);
  CHECK(Record.m_Group == "g0");
  CHECK(Record.m_GroupEpoch == 3);
  CHECK(Record.m_GroupBroken);
}

TEST_CASE("invalid announcements are rejected") {
  const std::string Deep(100'000, '[');
  const std::string Long(257, 'a');
  const auto WithSlots = [](const std::string &Slots) {
    return R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":)" +
           Slots + R"(,"state":"ready","sequence":4})";
  };
  const auto WithAddress = [](const std::string &Address) {
    return R"({"service":"llm","address":")" + Address +
           R"(","zone":"a","slots":1,"state":"ready","sequence":4})";
  };
  const std::string Bodies[] = {
      WithSlots("1,\"more\":" + Deep),
      WithSlots("1e999"),
      WithSlots("36893488147419103232"),
      WithSlots("4294967296"),
      WithAddress("10.1.0.9:65536"),
      WithAddress("10.1.0.9:0"),
      WithAddress("10.1.0.9:-1"),
      R"({"service":")" + Long + R"(","address":"10.1.0.9:8080","zone":"a",)" +
          R"("slots":1,"state":"ready","sequence":4})",
      "",
      "[]",
      "{\"service\":",
      "\xff\xfe",
      R"({"address":"10.1.0.9:8080","zone":"a","slots":1,"state":"ready","sequence":4})",
      R"({"service":"llm","address":"somewhere","zone":"a","slots":1,"state":"ready","sequence":4})",
      R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":1,"state":"asleep","sequence":4})",
      R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":"1","state":"ready","sequence":4})",
      R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":1,"state":"ready","sequence":-4})",
      R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":1,"state":"ready","sequence":4,"born":1.5})",
      R"({"service":7,"address":"10.1.0.9:8080","zone":"a","slots":1,"state":"ready","sequence":4})",
  };
  for (const std::string &Body : Bodies) {
    INFO(Body);
    CHECK(statusOf(read(call("PUT", "/instances/i-7", Body))) == 400);
  }
  CHECK(statusOf(read(call("PUT", "/instances/", Whole))) == 404);
  CHECK(statusOf(read(call("POST", "/instances/i-7", Whole))) == 405);
}

TEST_CASE("a cold backend server announces how long it stays cold") {
  RuntimeClock::pause();
  const auto ColdIn = [](const std::string &Value) -> std::optional<Duration> {
    const ControlCall Call =
        read(call("PUT", "/instances/i-7",
                  R"({"service":"llm","address":"10.1.0.9:8080","zone":"a",)"
                  R"("slots":1,"state":"ready","sequence":4)" +
                      Value + "}"));
    if (statusOf(Call) == 400)
      return std::nullopt;
    const TimePoint Until = std::get<AnnounceServer>(Call).m_Record.m_ColdUntil;
    return Until == TimePoint() ? Duration::zero()
                                : Until - RuntimeClock::now();
  };
  CHECK(ColdIn("") == Duration::zero());
  CHECK(ColdIn(R"(,"cold_remaining_ms":0)") == Duration::zero());
  CHECK(ColdIn(R"(,"cold_remaining_ms":2500)") ==
        std::chrono::milliseconds(2500));
  CHECK(ColdIn(R"(,"cold_remaining_ms":0.4)") == std::chrono::milliseconds(1));
  CHECK(ColdIn(R"(,"cold_remaining_ms":1e300)") == std::chrono::hours(24));
  for (const char *Wrong : {R"("2500")", "null", "-1", "true", "[1]", "{}"}) {
    INFO(Wrong);
    CHECK_FALSE(ColdIn(R"(,"cold_remaining_ms":)" + std::string(Wrong)));
  }
  RuntimeClock::resume();
}

TEST_CASE("a backend server leaves, with and without a body") {
  const ControlCall Bare = read(call("DELETE", "/instances/i-7"));
  REQUIRE(std::holds_alternative<AnnounceServer>(Bare));
  CHECK(std::get<AnnounceServer>(Bare).m_Record.m_State == MemberState::Left);
  CHECK(std::get<AnnounceServer>(Bare).m_Record.m_Incarnation == 0);
  const ControlCall Told =
      read(call("DELETE", "/instances/i-7", R"({"born":5,"sequence":9})"));
  CHECK(std::get<AnnounceServer>(Told).m_Record.m_Incarnation == 5);
}

TEST_CASE("calls of operators") {
  CHECK(
      std::holds_alternative<ReadConfiguration>(read(call("GET", "/config"))));
  const std::string Valid = R"({"version":3,"routes":[],"services":[]})";
  const ControlCall Put = read(call("PUT", "/config", Valid));
  REQUIRE(std::holds_alternative<PutConfiguration>(Put));
  CHECK(std::get<PutConfiguration>(Put) == PutConfiguration{3, Valid});
  CHECK(statusOf(read(call("PUT", "/config", "{"))) == 400);
  CHECK(statusOf(read(call("DELETE", "/config"))) == 405);
  CHECK(statusOf(read(call("GET", "/elsewhere"))) == 404);
}

TEST_CASE("orders to evacuate a zone name it in the path and have no body") {
  const ControlCall Post = read(call("POST", "/evacuations/z-1"));
  REQUIRE(std::holds_alternative<OrderEvacuation>(Post));
  CHECK(std::get<OrderEvacuation>(Post) == OrderEvacuation{"z-1", false});
  const ControlCall Delete = read(call("DELETE", "/evacuations/z-1?x=1"));
  REQUIRE(std::holds_alternative<OrderEvacuation>(Delete));
  CHECK(std::get<OrderEvacuation>(Delete) == OrderEvacuation{"z-1", true});
  for (const char *Method : {"POST", "DELETE"})
    CHECK(statusOf(read(call(Method, "/evacuations/z-1", "{}"))) == 400);
  for (const char *Method : {"GET", "PUT", "PATCH"})
    CHECK(statusOf(read(call(Method, "/evacuations/z-1"))) == 405);
  CHECK(statusOf(read(call("POST", "/evacuations/"))) == 404);
  CHECK(statusOf(read(call("POST", "/evacuations"))) == 404);
  CHECK(PlatformControlProtocol().unknownZone("none").m_Head.m_Status == 404);
}

// Guards against names that gateways can't parse in an update.
TEST_CASE("names of backend servers are bounded and visible ASCII") {
  const std::string Body =
      R"({"service":"llm","address":"10.1.0.9:8080","zone":"a","slots":1,)"
      R"("state":"ready","sequence":4})";
  for (const std::string &Name :
       {std::string("i-\xff"), std::string("i-\xc3\xa9"),
        std::string(257, 'a')})
    for (const char *Method : {"PUT", "DELETE"}) {
      INFO(Method << " " << Name);
      CHECK(statusOf(read(call(Method, "/instances/" + Name, Body))) == 400);
    }
}
