// Tests shares by weight, limits, cancellation, and a small customer beside a
// large one.
#include "Routing/FairQueue.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

QueuedRequest request(std::uint64_t Id, std::uint64_t Customer,
                      std::uint64_t Tokens, TimePoint Deadline = {}) {
  return {Id, Customer, Tokens, Deadline};
}

void checkInvariants(const FairQueue &Queue) {
  std::size_t Waiting = 0;
  std::size_t Active = 0;
  std::uint64_t Tokens = 0;
  double Weight = 0.0;
  for (const auto &[Id, Customer] : Queue.m_Customers) {
    std::uint64_t Own = 0;
    for (const QueuedRequest &Each : Customer.m_Waiting)
      Own += Each.m_EstimatedTokens;
    REQUIRE(Own == Customer.m_WaitingTokens);
    REQUIRE(Customer.m_Waiting.size() <= Queue.m_Limits.m_PerCustomer);
    Waiting += Customer.m_Waiting.size();
    Tokens += Own;
    if (Customer.m_Waiting.empty())
      continue;
    ++Active;
    Weight += Customer.m_Weight;
  }
  REQUIRE(Waiting == Queue.m_Requests.size());
  REQUIRE(Waiting == Queue.m_ByDeadline.size());
  REQUIRE(Waiting <= Queue.m_Limits.m_Total);
  REQUIRE(Tokens == Queue.m_WaitingTokens);
  REQUIRE(Active == Queue.m_ByStartTag.size());
  REQUIRE(Active == Queue.m_ByBacklog.size());
  REQUIRE(Queue.m_Customers.size() == Active + Queue.m_Idle.size());
  REQUIRE(std::abs(Weight - Queue.m_ActiveWeight) < 1e-6);
}

} // namespace

TEST_CASE("backlogged customers are served in proportion to their weights") {
  FairQueue Queue{{100000, 100000}};
  Random Generator(7);
  std::map<std::uint64_t, double> Served;
  std::uint64_t Next = 0;
  const double Weights[] = {1.0, 2.0, 5.0};
  for (std::uint64_t Customer = 0; Customer < 3; ++Customer)
    for (int Index = 0; Index < 4000; ++Index)
      enqueue(Queue, request(Next++, Customer, uniform(Generator, 1, 200)),
              Weights[Customer]);
  double Total = 0.0;
  while (Total < 200000.0) {
    const QueuedRequest Taken = dequeue(Queue).value();
    Served[Taken.m_Customer] += static_cast<double>(Taken.m_EstimatedTokens);
    Total += static_cast<double>(Taken.m_EstimatedTokens);
  }
  for (std::uint64_t Customer = 0; Customer < 3; ++Customer)
    CHECK(Served[Customer] / Total ==
          Approx(Weights[Customer] / 8.0).epsilon(0.01));
}

TEST_CASE("a small customer isn't starved by a large one") {
  FairQueue Queue{{4000, 5000}};
  for (std::uint64_t Id = 0; Id < 3000; ++Id)
    enqueue(Queue, request(Id, 1, 100), 1.0);
  for (int Index = 0; Index < 50; ++Index)
    dequeue(Queue);
  enqueue(Queue, request(9999, 2, 100), 1.0);
  // At most one request of the large customer precedes it.
  const QueuedRequest First = dequeue(Queue).value();
  const QueuedRequest Second = dequeue(Queue).value();
  CHECK((First.m_Customer == 2 || Second.m_Customer == 2));
}

TEST_CASE("an idle customer accumulates at most the credit") {
  const double Credit = GENERATE(0.0, 200.0, 9000.0);
  FairQueue Queue{{4000, 5000, Credit}};
  std::uint64_t Next = 0;
  for (; Next < 1000; ++Next)
    enqueue(Queue, request(Next, 1, 10), 1.0);
  for (int Index = 0; Index < 500; ++Index)
    dequeue(Queue);
  const double Start = nextStartTag(Queue, 2);
  for (int Index = 0; Index < 400; ++Index)
    enqueue(Queue, request(Next++, 2, 10), 1.0);
  CHECK(nextStartTag(Queue, 2) == Start);
  int OfSecond = 0;
  for (int Index = 0; Index < 100; ++Index)
    OfSecond += dequeue(Queue)->m_Customer == 2 ? 1 : 0;
  // The credit covers this many requests of 10 tokens; the rest is shared
  // equally.
  const int Ahead = static_cast<int>(std::min(Credit / 10.0, 100.0));
  CHECK(std::abs(OfSecond - (Ahead + (100 - Ahead) / 2)) <= 1);
}

TEST_CASE("queue limits and eviction") {
  FairQueue Queue{{3, 4}};
  for (std::uint64_t Id = 0; Id < 3; ++Id)
    CHECK(enqueue(Queue, request(Id, 1, 10), 1.0) == EnqueueResult{});
  CHECK(enqueue(Queue, request(3, 1, 10), 1.0).m_Status ==
        EnqueueStatus::CustomerFull);
  CHECK(enqueue(Queue, request(4, 2, 10), 1.0) == EnqueueResult{});
  // Full: the newest request of the largest backlog is evicted for a smaller
  // customer.
  CHECK(enqueue(Queue, request(5, 3, 10), 1.0).m_Evicted == request(2, 1, 10));
  // Nothing is evicted for a customer that would have the largest backlog
  // itself.
  CHECK(enqueue(Queue, request(6, 3, 10), 1.0).m_Status ==
        EnqueueStatus::QueueFull);
  // A larger weight makes the same backlog smaller.
  CHECK(enqueue(Queue, request(7, 4, 10), 4.0).m_Evicted == request(1, 1, 10));
  checkInvariants(Queue);
}

TEST_CASE("cancellation is not charged, and requests expire by deadline") {
  FairQueue Queue;
  enqueue(Queue, request(1, 1, 1000000, TimePoint(9s)), 1.0);
  enqueue(Queue, request(2, 1, 10, TimePoint(2s)), 1.0);
  enqueue(Queue, request(3, 2, 10, TimePoint(1s)), 1.0);
  CHECK(cancel(Queue, 1)->m_Customer == 1);
  CHECK_FALSE(cancel(Queue, 1).has_value());
  CHECK(dequeue(Queue)->m_Request == 2);
  CHECK(expire(Queue, TimePoint(1s)).empty());
  CHECK(expire(Queue, TimePoint(2s)) ==
        std::vector{request(3, 2, 10, TimePoint(1s))});
  CHECK_FALSE(dequeue(Queue).has_value());
}

TEST_CASE("invariants hold over any order of operations") {
  Random Generator(GENERATE(1, 2, 3));
  FairQueue Queue{{5, 40}};
  std::uint64_t Next = 0;
  double VirtualTime = 0.0;
  for (int Round = 0; Round < 5000; ++Round) {
    const std::uint64_t Draw = uniform(Generator, 0, 9);
    if (Draw < 6)
      enqueue(Queue,
              request(Next++, uniform(Generator, 0, 20),
                      uniform(Generator, 1, 100),
                      TimePoint(Duration(uniform(Generator, 0, 5000)))),
              static_cast<double>(uniform(Generator, 1, 4)));
    else if (Draw < 8)
      dequeue(Queue);
    else if (Draw == 8)
      cancel(Queue, uniform(Generator, 0, Next));
    else
      expire(Queue, TimePoint(Duration(uniform(Generator, 0, 300))));
    if (Round % 10 == 0)
      checkInvariants(Queue);
    REQUIRE(Queue.m_VirtualTime >= VirtualTime);
    VirtualTime = Queue.m_VirtualTime;
  }
  while (dequeue(Queue))
    continue;
  checkInvariants(Queue);
}

TEST_CASE("the state of 15,000 idle customers is removed") {
  FairQueue Queue{{10, 100000, 0.0}};
  for (std::uint64_t Id = 0; Id < 60000; ++Id)
    enqueue(Queue, request(Id, Id % 15000, 1 + Id % 97), 1.0);
  std::size_t Served = 0;
  while (dequeue(Queue))
    ++Served;
  CHECK(Served == 60000);
  // Idle customers are removed once the virtual time has passed their finish
  // tags.
  for (std::uint64_t Id = 70000; Id < 70003; ++Id)
    enqueue(Queue, request(Id, 70000, 100), 1.0);
  while (dequeue(Queue))
    continue;
  CHECK(Queue.m_Customers.size() == 1);
}
