// The gate's rules on the paused clock: slots, fairness, limits, refusal at
// once.
#include "Entry/AdmissionController.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

struct GateFixture {
  GateFixture() { RuntimeClock::pause(); }
  ~GateFixture() {
    // Each pass that ends admits another request.
    while (!m_Passes.empty())
      finishOldest();
    RuntimeClock::resume();
  }

  std::uint64_t enter(const std::string &Customer, double Limit = 0,
                      std::uint64_t Tokens = 10, Duration Deadline = 60s) {
    GateRequest Request;
    Request.m_Service = "assistant";
    Request.m_Customer = Customer;
    Request.m_Limit = Limit;
    Request.m_Tokens = Tokens;
    Request.m_Deadline = RuntimeClock::now() + Deadline;
    return m_Gate->enter(
        Request, [this, Customer](GatePass Pass, const AdmissionDecision &V) {
          if (V.m_Reason == AdmissionReason::Admitted) {
            m_Admitted.push_back(Customer);
            m_Passes.push_back(std::move(Pass));
          } else {
            m_Refused.push_back(V);
          }
        });
  }
  // The pass ends last: its end admits another request.
  void finishOldest() {
    const GatePass Ended = std::move(m_Passes.front());
    m_Passes.erase(m_Passes.begin());
  }

  std::shared_ptr<RequestGate> m_Gate = std::make_shared<RequestGate>(1, 0, 4);
  std::vector<GatePass> m_Passes;
  std::vector<std::string> m_Admitted;
  std::vector<AdmissionDecision> m_Refused;
};

} // namespace

TEST_CASE_METHOD(GateFixture,
                 "no more requests are at work than there are slots") {
  m_Gate->setCapacity("assistant", 2);
  for (int I = 0; I < 5; ++I)
    enter("a");
  CHECK(m_Admitted.size() == 2);
  CHECK(m_Gate->load("assistant").m_Waiting == 3);
  finishOldest();
  CHECK(m_Admitted.size() == 3);
  CHECK(m_Gate->load("assistant").m_AtWork == 2);
}

TEST_CASE_METHOD(GateFixture,
                 "a small customer is not behind a large one's queue") {
  m_Gate->setCapacity("assistant", 1);
  for (int I = 0; I < 20; ++I)
    enter("large");
  enter("small");
  finishOldest();
  finishOldest();
  CHECK(std::count(m_Admitted.begin(), m_Admitted.end(), "small") == 1);
}

TEST_CASE_METHOD(GateFixture,
                 "a customer's limit holds once over four entries") {
  // Of 1,000 tokens a second an entry that hears no planner has the base share
  // of 125: half of the limit over 4 entries, and one second's burst.
  for (int Second = 0; Second < 10; ++Second) {
    for (int I = 0; I < 100; ++I)
      enter("limited", 1000, 10);
    RuntimeClock::advance(1s);
  }
  CHECK(m_Admitted.size() * 10 <= std::size_t{125} * 11);
  CHECK(m_Admitted.size() * 10 >= std::size_t{125} * 9);
  for (const AdmissionDecision &Verdict : m_Refused)
    CHECK((Verdict.m_Status == 429 && Verdict.m_RetryAfter >= 1s));
}

TEST_CASE_METHOD(GateFixture, "what can't be met is refused at once") {
  m_Gate->setCapacity("assistant", 1);
  enter("a");
  // Nothing is served for 10 s while 5 requests wait: the rate falls.
  for (int I = 0; I < 5; ++I)
    enter("a", 0, 1000);
  for (int I = 0; I < 100; ++I) {
    RuntimeClock::advance(100ms);
    m_Gate->tick();
  }
  const std::size_t Before = m_Refused.size();
  CHECK(enter("a", 0, 1000, 5s) == 0);
  REQUIRE(m_Refused.size() == Before + 1);
  CHECK(m_Refused.back().m_Reason == AdmissionReason::DeadlineTooClose);
  CHECK(m_Refused.back().m_Status == 503);
  CHECK(m_Refused.back().m_RetryAfter >= 1s);
}

TEST_CASE_METHOD(GateFixture,
                 "a waiting request ends with its deadline or its caller") {
  m_Gate->setCapacity("assistant", 1);
  enter("a");
  enter("a", 0, 10, 1s);
  const std::uint64_t Gone = enter("a");
  REQUIRE(Gone != 0);
  m_Gate->cancel("assistant", Gone);
  RuntimeClock::advance(2s);
  m_Gate->tick();
  CHECK(m_Refused.size() == 1);
  CHECK(m_Gate->load("assistant").m_Waiting == 0);
}
