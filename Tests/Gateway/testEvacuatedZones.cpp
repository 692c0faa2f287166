// Choice and dispatch while availability zones are evacuated, before a
// directory of two zones. Guards against requests that reach an evacuated zone,
// against requests that wait for its servers, and against older states of the
// zones that undo newer ones.
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/ServiceDispatcher.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const std::string Service = "engines";

struct Fixture {
  Fixture()
      : m_Events({"gateway", "g", "a"}, "/dev/null"),
        m_Directory(m_Events, "a", 1, 1),
        m_Dispatcher(m_Directory, m_Events, 1) {
    RuntimeClock::pause();
  }
  ~Fixture() { RuntimeClock::resume(); }

  void add(const std::string &Name, const std::string &Zone,
           const std::string &Group = {}) {
    Member Server;
    Server.m_BackendServer = Name;
    Server.m_Service = Service;
    Server.m_AvailabilityZone = Zone;
    Server.m_Address = "127.90.9.1";
    Server.m_PeerPort = ++m_Port;
    Server.m_Group = Group;
    m_Directory.announced(Server);
  }

  bool evacuate(std::uint64_t Change,
                std::set<std::string, std::less<>> Zones) {
    const bool Accepted =
        m_Directory.setEvacuations({Change, std::move(Zones)});
    m_Dispatcher.dispatchWaiting();
    run();
    return Accepted;
  }

  ChoiceRequest request() const {
    ChoiceRequest Request;
    Request.m_Service = Service;
    Request.m_Policy = "score";
    Request.m_MaxOutstanding = 8;
    return Request;
  }

  std::set<std::string> chosen() {
    std::set<std::string> Names;
    for (int I = 0; I < 50; ++I)
      if (const auto Target = m_Directory.choose(request()))
        Names.insert(Target->m_Name);
    return Names;
  }

  // The result is set once the call is dispatched or rejected.
  void submit(std::optional<DispatchResult> &Result,
              std::vector<std::string> Tried = {}) {
    DispatchRequest Call;
    Call.m_Service = Service;
    Call.m_MaxOutstanding = 1;
    Call.m_Tried = std::move(Tried);
    const TimePoint Now = RuntimeClock::now();
    Call.m_Times.m_Arrived = Now;
    Call.m_Times.m_TargetTime = Now + 400ms;
    Call.m_Times.m_Deadline = Call.m_Times.m_CallerTimeoutAt = Now + 8s;
    m_Dispatcher.submit(
        std::move(Call), m_Context.get_executor(),
        [&Result](DispatchResult Done) { Result = std::move(Done); });
    run();
  }

  void run() {
    m_Context.restart();
    m_Context.poll();
  }

  boost::asio::io_context m_Context;
  EventLog m_Events;
  MembershipDirectory m_Directory;
  ServiceDispatcher m_Dispatcher;
  std::uint16_t m_Port = 9000;
};

using Names = std::set<std::string>;

} // namespace

TEST_CASE("servers of an evacuated zone are neither chosen nor counted") {
  Fixture F;
  F.add("a-1", "a");
  F.add("b-1", "b");
  F.add("b-2", "b");
  F.evacuate(1, {"b"});
  CHECK(F.chosen() == Names{"a-1"});
  CHECK(F.m_Directory.availability(Service).m_Servers == 1);
  CHECK(F.m_Directory.independentUnits(Service) == 1);
  CHECK(F.m_Directory.slots(F.request()) == 8);
  const std::vector<std::string> Tried{"a-1"};
  ChoiceRequest Retry = F.request();
  Retry.m_Tried = &Tried;
  CHECK_FALSE(F.m_Directory.hasCandidates(Retry));
  F.evacuate(2, {});
  CHECK(F.chosen().size() == 3);
}

// The ranks of the evacuated zone still take part in passes, so the group isn't
// broken.
TEST_CASE("a rank group over all zones is used by its ranks outside of the "
          "evacuated zone") {
  Fixture F;
  F.add("a-1", "a", "g");
  F.add("a-2", "a", "g");
  F.add("b-1", "b", "g");
  F.evacuate(1, {"b"});
  CHECK(F.chosen() == Names{"a-1", "a-2"});
  CHECK(F.m_Directory.independentUnits(Service) == 1);
}

TEST_CASE("a state that isn't newer than the one in force is ignored") {
  Fixture F;
  F.add("a-1", "a");
  F.add("b-1", "b");
  CHECK(F.evacuate(5, {"b"}));
  CHECK_FALSE(F.evacuate(4, {}));
  CHECK_FALSE(F.evacuate(5, {}));
  CHECK(F.m_Directory.evacuations() == Evacuations{5, {"b"}});
  CHECK(F.chosen() == Names{"a-1"});
}

TEST_CASE("calls are rejected at once if only evacuated zones have servers, "
          "waiting ones as well") {
  Fixture F;
  F.add("b-1", "b");
  std::optional<DispatchResult> Sent;
  std::optional<DispatchResult> Waiting;
  std::optional<DispatchResult> Late;
  F.submit(Sent);
  F.submit(Waiting);
  CHECK(Sent);
  CHECK_FALSE(Waiting);
  F.evacuate(1, {"b"});
  F.submit(Late);
  for (const auto *Each : {&Waiting, &Late}) {
    REQUIRE(*Each);
    CHECK_FALSE((*Each)->m_Target);
    CHECK((*Each)->m_Rejection == DispatchRejection::NoBackendServer);
    CHECK((*Each)->m_RetryAfter > 0s);
  }
}

TEST_CASE("waiting calls are dispatched after a withdrawal") {
  Fixture F;
  F.add("a-1", "a");
  F.add("b-1", "b");
  F.evacuate(1, {"b"});
  std::optional<DispatchResult> Sent;
  std::optional<DispatchResult> Waiting;
  F.submit(Sent);
  F.submit(Waiting);
  CHECK_FALSE(Waiting);
  F.evacuate(2, {});
  REQUIRE(Waiting);
  REQUIRE(Waiting->m_Target);
  CHECK(Waiting->m_Target->m_Name == "b-1");
}

// A rank group that forms anew is back within seconds.
TEST_CASE(
    "calls wait while a server outside of the evacuated zone may return") {
  Fixture F;
  F.add("b-1", "b");
  F.add("a-1", "a", "g");
  const auto Target = F.m_Directory.locate("a-1");
  REQUIRE(Target);
  F.m_Directory.noteGroupBroken(*Target);
  F.evacuate(1, {"b"});
  std::optional<DispatchResult> Waiting;
  F.submit(Waiting);
  CHECK_FALSE(Waiting);
  std::optional<DispatchResult> Retried;
  F.submit(Retried, {"a-1"});
  REQUIRE(Retried);
  CHECK_FALSE(Retried->m_Target);
}

// Otherwise callers would be rejected in the short outages that follow.
TEST_CASE("the duration of an evacuation doesn't count as an outage") {
  ServiceQueue Queue;
  const TimePoint Start(1h);
  recordState(Queue, ServiceState::Unavailable, Start);
  recordState(Queue, ServiceState::Evacuated, Start + 1s);
  recordState(Queue, ServiceState::Available, Start + 1h);
  CHECK_FALSE(Queue.m_MeanOutage);
}
