// Order, admission and expiry of queued calls, case by case and in simulated
// overload and outages.
#include "Gateway/ServiceQueue.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

WaitingCall call(std::uint64_t Number, TimePoint Arrived,
                 Duration Target = 400ms, Duration CallerTimeout = 2s) {
  return {Number,       Arrived, Arrived + Target, Arrived + CallerTimeout,
          Arrived + 8s, 1};
}

ServiceQueue queue(double PerSecond) {
  ServiceQueue Q;
  Q.m_Rate = startServiceRate({2s, PerSecond, 100s}, Start);
  return Q;
}

} // namespace

TEST_CASE("calls that can meet their target go before calls that cannot") {
  ServiceQueue Q = queue(20);
  enqueue(Q, call(1, Start), Start);
  enqueue(Q, call(2, Start + 500ms), Start + 500ms);
  const TimePoint Now = Start + 600ms;
  REQUIRE(nextCall(Q, Now));
  CHECK(Q.m_Waiting[*nextCall(Q, Now)].m_Number == 2);
  recordDispatched(Q, *nextCall(Q, Now), Now);
  CHECK(Q.m_Waiting[*nextCall(Q, Now)].m_Number == 1);
}

TEST_CASE(
    "within a class the higher priority goes first, then the earlier arrival") {
  ServiceQueue Q = queue(20);
  WaitingCall Urgent = call(3, Start + 2ms);
  Urgent.m_Priority = 0;
  enqueue(Q, call(1, Start), Start);
  enqueue(Q, call(2, Start + 1ms), Start);
  enqueue(Q, Urgent, Start);
  std::vector<std::uint64_t> Order;
  while (const auto Next = nextCall(Q, Start + 3ms)) {
    Order.push_back(Q.m_Waiting[*Next].m_Number);
    recordDispatched(Q, *Next, Start + 3ms);
  }
  CHECK(Order == std::vector<std::uint64_t>{3, 1, 2});
}

TEST_CASE("a call that cannot be dispatched before its caller disconnects is "
          "rejected") {
  ServiceQueue Q = queue(10);
  for (std::uint64_t I = 0; I < 30; ++I)
    Q.m_Waiting.push_back(call(I, Start));
  // 30 calls at 10 per second take 3 s; the caller waits 2 s.
  CHECK_FALSE(
      shouldEnqueue(Q, call(99, Start), ServiceState::Available, Start));
  Q.m_Waiting.resize(5);
  CHECK(shouldEnqueue(Q, call(99, Start), ServiceState::Available, Start));
}

TEST_CASE(
    "calls wait for an unavailable service only if it may recover in time") {
  ServiceQueue Q = queue(10);
  recordState(Q, ServiceState::Unavailable, Start);
  CHECK_FALSE(
      shouldEnqueue(Q, call(1, Start), ServiceState::Unavailable, Start));
  const TimePoint Later = Start + Q.m_Options.m_InitialOutage - 500ms;
  CHECK(shouldEnqueue(Q, call(1, Later), ServiceState::Unavailable, Later));
  // Observed outages change the expected duration of the next one.
  recordState(Q, ServiceState::Available, Start + 1s);
  CHECK(*Q.m_MeanOutage < Q.m_Options.m_InitialOutage);
}

TEST_CASE("waiting calls expire before their callers disconnect") {
  ServiceQueue Q = queue(10);
  enqueue(Q, call(1, Start), Start);
  enqueue(Q, call(2, Start + 1s), Start + 1s);
  CHECK(removeExpired(Q, ServiceState::Unavailable, Start + 1s).empty());
  const auto Expired =
      removeExpired(Q, ServiceState::Unavailable, Start + 1900ms);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired.front().m_Number == 1);
  CHECK(Q.m_Waiting.size() == 1);
}

TEST_CASE("Retry-After stays within what callers honour") {
  Random Generator(1);
  ServiceQueue Q = queue(10);
  for (std::uint64_t I = 0; I < 200; ++I)
    Q.m_Waiting.push_back(call(I, Start));
  for (int I = 0; I < 100; ++I) {
    const Duration After = retryAfter(
        Q, call(99, Start), ServiceState::Available, Start, Generator);
    CHECK(After <= 8000ms / 3 + 1ms);
    CHECK(After >= Q.m_Options.m_MinRetryAfter);
  }
  WaitingCall Last = call(99, Start);
  Last.m_Deadline = Start;
  CHECK(retryAfter(Q, Last, ServiceState::Available, Start, Generator) == 0ms);
}

namespace {

// Servers with a number of slots, each occupied for some time per call; callers
// arrive evenly.
struct Scenario {
  double m_PerSecond = 50;
  std::size_t m_Slots = 60;
  Duration m_HoldTime = 1500ms;
  Duration m_FirstByte = 150ms;
  Duration m_Length = 20s;
  // The service is unavailable between these times.
  Duration m_UnavailableFrom = 0s;
  Duration m_UnavailableTo = 0s;
  bool m_IsQueued = true;
};

struct Outcome {
  int m_OnTime = 0;
  int m_Late = 0;
  int m_Rejected = 0;
  int m_Disconnected = 0;
};

// With m_IsQueued the calls wait in a ServiceQueue, otherwise in a FIFO queue,
// as they would at the replicas.
Outcome simulate(const Scenario &S) {
  Outcome Result;
  ServiceQueue Q = queue(static_cast<double>(S.m_Slots) /
                         std::chrono::duration<double>(S.m_HoldTime).count());
  std::deque<WaitingCall> Fifo;
  std::vector<TimePoint> Ends;
  Random Generator(1);
  std::uint64_t Number = 0;
  double Due = 0;
  const auto Send = [&](const WaitingCall &Call, TimePoint Now) {
    const TimePoint First = Now + S.m_FirstByte;
    if (First > Call.m_CallerTimeoutAt) {
      ++Result.m_Disconnected;
      return;
    }
    ++(First <= Call.m_TargetTime ? Result.m_OnTime : Result.m_Late);
    Ends.push_back(Now + S.m_HoldTime);
  };
  for (TimePoint Now = Start; Now < Start + S.m_Length + 3s; Now += 5ms) {
    std::erase_if(Ends, [&](TimePoint End) { return End <= Now; });
    const Duration Passed = Now - Start;
    const ServiceState State =
        Passed >= S.m_UnavailableFrom && Passed < S.m_UnavailableTo
            ? ServiceState::Unavailable
            : ServiceState::Available;
    recordState(Q, State, Now);
    Due += Passed < S.m_Length ? S.m_PerSecond * 0.005 : 0;
    for (; Due >= 1; --Due) {
      const WaitingCall Call = call(++Number, Now);
      if (!S.m_IsQueued)
        Fifo.push_back(Call);
      else if (shouldEnqueue(Q, Call, State, Now))
        enqueue(Q, Call, Now);
      else
        ++Result.m_Rejected;
    }
    const auto HasSlot = [&] {
      return State == ServiceState::Available && Ends.size() < S.m_Slots;
    };
    while (HasSlot() && !Fifo.empty()) {
      Send(Fifo.front(), Now);
      Fifo.pop_front();
    }
    while (HasSlot() && nextCall(Q, Now)) {
      const std::size_t Next = *nextCall(Q, Now);
      const WaitingCall Call = Q.m_Waiting[Next];
      recordDispatched(Q, Next, Now);
      Send(Call, Now);
    }
    Result.m_Rejected += static_cast<int>(removeExpired(Q, State, Now).size());
  }
  Result.m_Disconnected += static_cast<int>(Fifo.size());
  return Result;
}

} // namespace

TEST_CASE("overload: most of the served calls meet their target") {
  Scenario S;
  S.m_PerSecond = 60;
  const Outcome Queued = simulate(S);
  S.m_IsQueued = false;
  const Outcome InFifo = simulate(S);
  INFO("queued: on time " << Queued.m_OnTime << ", late " << Queued.m_Late
                          << ", rejected " << Queued.m_Rejected
                          << ", disconnected " << Queued.m_Disconnected);
  INFO("FIFO: on time " << InFifo.m_OnTime << ", late " << InFifo.m_Late
                        << ", disconnected " << InFifo.m_Disconnected);
  CHECK(Queued.m_OnTime > 2 * InFifo.m_OnTime);
  CHECK(Queued.m_OnTime > 4 * Queued.m_Late);
  // No caller waits until it disconnects.
  CHECK(Queued.m_Disconnected == 0);
}

TEST_CASE("enough capacity: no call is rejected") {
  Scenario S;
  S.m_PerSecond = 30;
  const Outcome All = simulate(S);
  CHECK(All.m_Rejected == 0);
  CHECK(All.m_Late == 0);
}

TEST_CASE("a rank group is broken for some seconds") {
  Scenario S;
  S.m_PerSecond = 30;
  S.m_UnavailableFrom = 5s;
  S.m_UnavailableTo = 10s;
  const Outcome All = simulate(S);
  INFO("on time " << All.m_OnTime << ", late " << All.m_Late << ", rejected "
                  << All.m_Rejected << ", disconnected " << All.m_Disconnected);
  // The last callers of the outage are served late; the others get an immediate
  // rejection with Retry-After, and none waits until it disconnects.
  CHECK(All.m_Late > 20);
  CHECK(All.m_Disconnected == 0);
  CHECK(All.m_OnTime > 30 * 13);
}

TEST_CASE("a call waits for the known end of a pause only if it can, and the "
          "pause doesn't count as an outage") {
  ServiceQueue Q = queue(20);
  const auto State = ServiceState::Unavailable;
  recordState(Q, State, Start, Start + 1s);
  CHECK(expectedOutageLeft(Q, Start) == 1s);
  CHECK(shouldEnqueue(Q, call(1, Start), State, Start));
  recordState(Q, State, Start, Start + 5s);
  CHECK_FALSE(shouldEnqueue(Q, call(2, Start), State, Start));
  recordState(Q, ServiceState::Available, Start + 5s);
  CHECK_FALSE(Q.m_MeanOutage);
}

namespace {

WaitingCall callOf(std::uint64_t Number, std::uint32_t Priority,
                   std::string Customer, bool Returned = false) {
  WaitingCall Call = call(Number, Start);
  Call.m_Priority = Priority;
  Call.m_Customer = std::move(Customer);
  Call.m_Returned = Returned;
  return Call;
}

std::vector<std::uint64_t> order(ServiceQueue Q) {
  std::vector<std::uint64_t> Order;
  std::set<std::uint64_t> Passed;
  while (const auto Next = nextCall(Q, Start, Passed)) {
    Order.push_back(Q.m_Waiting[*Next].m_Number);
    Passed.insert(Order.back());
  }
  return Order;
}

} // namespace

TEST_CASE(
    "within a priority customers below their share go first, then callers "
    "that come back, then the earlier arrival") {
  ServiceQueue Q = queue(20);
  for (int I = 0; I < 20; ++I)
    recordImmediate(Q, callOf(0, 1, "large"), Start);
  for (const char *Small : {"a", "b", "c"})
    recordImmediate(Q, callOf(0, 1, Small), Start);
  enqueue(Q, callOf(1, 1, "large", true), Start);
  enqueue(Q, callOf(2, 1, "a"), Start);
  enqueue(Q, callOf(3, 1, "b", true), Start);
  enqueue(Q, callOf(4, 1, "c"), Start);
  enqueue(Q, callOf(5, 0, "large"), Start);
  CHECK(order(Q) == std::vector<std::uint64_t>{5, 3, 2, 4, 1});
  // A priority that only sees rejections is owed a call before all others.
  for (int I = 0; I < 6; ++I)
    recordRejected(Q, callOf(0, 2, "d"), Start);
  enqueue(Q, callOf(6, 2, "d"), Start);
  CHECK(order(Q).front() == 6);
}

TEST_CASE("a call that waits is rejected as soon as no more calls are "
          "dispatched, except the first") {
  ServiceQueue Q = queue(20);
  Q.m_Rate = startServiceRate({2s, 20, 1s}, Start);
  for (std::uint64_t I = 1; I <= 20; ++I)
    enqueue(Q, call(I, Start, 400ms, 8s), Start);
  CHECK(removeExpired(Q, ServiceState::Available, Start).empty());
  const auto Rejected =
      removeExpired(Q, ServiceState::Available, Start + 4s).size();
  CHECK(Rejected > 0);
  CHECK(Rejected < 20);
}

TEST_CASE("a call is not held for urgent arrivals until it would be late") {
  ServiceQueue Q = queue(20);
  for (TimePoint Now = Start - 4s; Now < Start; Now += 100ms)
    recordArrival(Q, callOf(0, 0, "a"), Now);
  recordShortage(Q.m_Reserve, Start);
  const WaitingCall Call = call(1, Start);
  CHECK(isHeld(Q, Call, 1, 16, Start));
  const TimePoint LatestStart = Call.m_TargetTime - expectedFirstByte(Q, Start);
  CHECK_FALSE(isHeld(Q, Call, 1, 16, LatestStart - 90ms));
  CHECK_FALSE(isHeld(Q, callOf(2, 0, "a"), 1, 16, Start));
  // A late call leaves capacity to calls on time, however urgent it is, where
  // there are several priorities.
  const TimePoint LateAt = Call.m_TargetTime;
  recordShortage(Q.m_Reserve, LateAt);
  CHECK_FALSE(isHeld(Q, callOf(3, 0, "a"), 1, 16, LateAt));
  recordArrival(Q, Call, Start);
  CHECK(isHeld(Q, callOf(3, 0, "a"), 1, 16, LateAt));
  CHECK_FALSE(
      isHeld(Q, callOf(3, 0, "a"), 1, 16, latestStart(Q, Call, LateAt)));
}

TEST_CASE(
    "a caller that comes back waits longer before it is rejected than one "
    "that has another chance") {
  ServiceQueue Q = queue(10);
  for (std::uint64_t I = 1; I <= 30; ++I)
    Q.m_Waiting.push_back(call(I, Start, 0ms));
  WaitingCall Call = call(99, Start, 0ms, 2100ms);
  CHECK_FALSE(shouldEnqueue(Q, Call, ServiceState::Available, Start));
  Call.m_Returned = true;
  for (WaitingCall &Each : Q.m_Waiting)
    Each.m_Returned = true;
  CHECK(shouldEnqueue(Q, Call, ServiceState::Available, Start));
  for (std::uint64_t I = 31; I <= 100; ++I)
    Q.m_Waiting.push_back(Q.m_Waiting.front());
  CHECK_FALSE(shouldEnqueue(Q, Call, ServiceState::Available, Start));
}

TEST_CASE("callers that are rejected at the same time come back one after the "
          "other, at the rate of the service") {
  Random Generator(1);
  ServiceQueue Q = queue(10);
  for (std::uint64_t I = 0; I < 5; ++I)
    Q.m_Waiting.push_back(call(I, Start));
  Duration Last = Duration::zero();
  for (int I = 0; I < 16; ++I) {
    const Duration After = retryAfter(
        Q, call(99, Start), ServiceState::Available, Start, Generator);
    CHECK(After > Last);
    // 5 calls wait, and each takes 100 ms.
    CHECK(After >= 600ms + I * 100ms);
    CHECK(After < 600ms + (I + 1) * 100ms);
    Last = After;
  }
}
