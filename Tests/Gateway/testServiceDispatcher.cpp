// Calls before a directory of two servers. Guards against calls that wait for
// paused servers that they can't be sent to, against others that wait behind
// them, and against prompts that queue at one server while the other has none.
#include "Gateway/ServiceDispatcher.h"

#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const std::string Service = "bookings";

struct Fixture {
  Fixture()
      : m_Events({"gateway", "g", "a"}, "/dev/null"),
        m_Directory(m_Events, "a", 1, 1),
        m_Dispatcher(m_Directory, m_Events, 1) {
    RuntimeClock::pause();
    for (int I = 0; I < 2; ++I) {
      Member Server;
      Server.m_BackendServer = fmt::format("s{}", I);
      Server.m_Service = Service;
      Server.m_Address = "127.90.8.1";
      Server.m_PeerPort = static_cast<std::uint16_t>(9000 + I);
      m_Directory.announced(Server);
    }
  }
  ~Fixture() { RuntimeClock::resume(); }

  void pause(const std::string &Server, Duration For) {
    ServerNotice Notice;
    Notice.m_Pause = For;
    const auto Target = m_Directory.locate(Server);
    REQUIRE(Target);
    m_Directory.noteAnswer(*Target, Notice);
  }

  // The result is set once the call is dispatched or rejected.
  void submit(std::optional<DispatchResult> &Result,
              std::vector<std::string> Tried, std::uint32_t Priority = 0,
              std::uint64_t PrefillTokensPerPass = 0) {
    DispatchRequest Call;
    Call.m_Service = Service;
    Call.m_MaxOutstanding = 8;
    Call.m_Tried = std::move(Tried);
    Call.m_Size = {0, 1000, 1100, true};
    Call.m_PrefillTokensPerPass = PrefillTokensPerPass;
    const TimePoint Now = RuntimeClock::now();
    Call.m_Times.m_Arrived = Now;
    Call.m_Times.m_Priority = Priority;
    Call.m_Times.m_TargetTime = Now + 400ms;
    Call.m_Times.m_Deadline = Call.m_Times.m_CallerTimeoutAt = Now + 4s;
    m_Dispatcher.submit(
        std::move(Call), m_Context.get_executor(),
        [&Result](DispatchResult Done) { Result = std::move(Done); });
    run();
  }

  void end(const BackendTarget &Target) {
    m_Directory.callEnded(Target, {}, {CallResult::Answered, 100ms});
    m_Dispatcher.dispatchWaiting();
    run();
  }

  // Occupies all places of both servers with urgent calls, after a while of
  // urgent arrivals at 20 per second.
  BackendTarget fill() {
    std::optional<DispatchResult> Result;
    for (int I = 0; I < 60 + 16; ++I) {
      RuntimeClock::advance(50ms);
      Result.reset();
      submit(Result, {});
      REQUIRE(Result);
      REQUIRE(Result->m_Target);
      if (I < 60)
        end(*Result->m_Target);
    }
    return *Result->m_Target;
  }

  void run() {
    m_Context.restart();
    m_Context.poll();
  }

  boost::asio::io_context m_Context;
  EventLog m_Events;
  MembershipDirectory m_Directory;
  ServiceDispatcher m_Dispatcher;
};

} // namespace

TEST_CASE("a call that only a pausing server can take doesn't delay others") {
  Fixture F;
  F.pause("s1", 1s);
  std::optional<DispatchResult> Restricted;
  std::optional<DispatchResult> Other;
  F.submit(Restricted, {"s0"});
  CHECK_FALSE(Restricted);
  F.submit(Other, {});
  REQUIRE(Other);
  REQUIRE(Other->m_Target);
  CHECK(Other->m_Target->m_Name == "s0");
  RuntimeClock::advance(1s);
  F.m_Dispatcher.dispatchWaiting();
  F.run();
  REQUIRE(Restricted);
  REQUIRE(Restricted->m_Target);
  CHECK(Restricted->m_Target->m_Name == "s1");
}

TEST_CASE("a call is rejected at once if the servers that it has not tried "
          "pause for longer than its caller waits") {
  Fixture F;
  F.pause("s1", 10s);
  std::optional<DispatchResult> Result;
  F.submit(Result, {"s0"});
  REQUIRE(Result);
  CHECK_FALSE(Result->m_Target);
  CHECK(Result->m_RetryAfter > 0s);
}

TEST_CASE("the only free place is kept for an urgent call while capacity is "
          "short, and used by others when none comes") {
  Fixture F;
  const BackendTarget Filled = F.fill();
  std::optional<DispatchResult> LessUrgent;
  std::optional<DispatchResult> Urgent;
  F.submit(LessUrgent, {}, 1);
  F.end(Filled);
  CHECK_FALSE(LessUrgent);
  F.submit(Urgent, {});
  REQUIRE(Urgent);
  REQUIRE(Urgent->m_Target);
  F.end(*Urgent->m_Target);
  CHECK_FALSE(LessUrgent);
  RuntimeClock::advance(200ms);
  F.m_Dispatcher.dispatchWaiting();
  F.run();
  REQUIRE(LessUrgent);
  CHECK(LessUrgent->m_Target);
}

TEST_CASE("a call for cold servers waits for the next permit") {
  Fixture F;
  F.m_Directory.setColdBurst(1.0, 0.0);
  F.m_Directory.setColdRates({{Service, 1.0}});
  F.m_Directory.setGateways({"g", {"g"}}, true);
  const TimePoint Until = RuntimeClock::now() + 1min;
  for (int I = 0; I < 2; ++I) {
    const auto Target = F.m_Directory.locate(fmt::format("s{}", I));
    REQUIRE(Target);
    ServerNotice Cold;
    Cold.m_ColdRemaining = Until - RuntimeClock::now();
    F.m_Directory.noteAnswer(*Target, Cold, RuntimeClock::now());
  }
  CHECK_FALSE(F.m_Directory.nextColdPermit());
  RuntimeClock::advance(2s);
  std::optional<DispatchResult> First;
  std::optional<DispatchResult> Second;
  std::optional<DispatchResult> Third;
  F.submit(First, {});
  F.submit(Second, {});
  F.submit(Third, {});
  REQUIRE((First && First->m_Target));
  REQUIRE((Second && Second->m_Target));
  CHECK(First->m_Target->m_Name != Second->m_Target->m_Name);
  CHECK_FALSE(Third);
  const auto Next = F.m_Directory.nextColdPermit();
  REQUIRE(Next);
  RuntimeClock::advance(*Next - RuntimeClock::now());
  F.m_Dispatcher.dispatchWaiting();
  F.run();
  REQUIRE((Third && Third->m_Target));
  CHECK(F.m_Directory.coldCounts().m_HeldByAllowance > 0);
}

TEST_CASE("a gateway without a part of any cold server rejects at once") {
  Fixture F;
  F.m_Directory.setColdRates({{Service, 1.0}});
  GatewayList Gateways{"g", {"g"}};
  // One of 400 has the permit of a server.
  for (int I = 0; I < 400; ++I)
    Gateways.m_All.push_back(fmt::format("h{}", I));
  F.m_Directory.setGateways(Gateways, true);
  RuntimeClock::advance(2s);
  std::optional<DispatchResult> Result;
  F.submit(Result, {});
  REQUIRE(Result);
  CHECK_FALSE(Result->m_Target);
  CHECK(Result->m_Rejection == DispatchRejection::NoBackendServer);
}

TEST_CASE("prompts are sent where none is pending, until answers begin") {
  Fixture F;
  F.m_Directory.setGateways({"g1", {"g1"}}, true);
  constexpr std::uint64_t PerPass = 1000;
  std::vector<std::optional<DispatchResult>> Results(5);
  const auto Send = [&](std::size_t Number) -> BackendTarget {
    F.submit(Results[Number], {}, 0, PerPass);
    REQUIRE(Results[Number]);
    REQUIRE(Results[Number]->m_Target);
    return *Results[Number]->m_Target;
  };
  const CallSize Size{0, 1000, 1100, true};
  const BackendTarget First = Send(0);
  CHECK(F.m_Directory.ownPendingPromptTokens() == 1000);
  const BackendTarget Second = Send(1);
  CHECK(Second.m_Name != First.m_Name);
  // The first server has more requests, but no pending prompt.
  F.m_Directory.answerBegan(First, Size);
  CHECK(Send(2).m_Name == First.m_Name);
  F.m_Directory.answerBegan(First, Size);
  CHECK(Send(3).m_Name == First.m_Name);
  F.m_Directory.callEnded(Second, Size, {CallResult::Cancelled, 1s, false});
  CHECK(Send(4).m_Name == Second.m_Name);
  CHECK(F.m_Directory.ownCalls().m_PendingPromptTokens.size() == 2);
}
