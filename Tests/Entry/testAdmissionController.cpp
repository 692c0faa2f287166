// Tests admission control on the paused clock: slots, fairness, limits,
// immediate rejection.
#include "Entry/AdmissionController.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

struct AdmissionFixture {
  AdmissionFixture() { RuntimeClock::pause(); }
  ~AdmissionFixture() {
    // Releasing a permit admits another request.
    while (!m_Permits.empty())
      finishOldest();
    RuntimeClock::resume();
  }

  std::uint64_t submit(const std::string &Customer, double Limit = 0,
                       std::uint64_t Tokens = 10, Duration Deadline = 60s) {
    IncomingRequest Request;
    Request.m_Service = "assistant";
    Request.m_Customer = Customer;
    Request.m_Limit = Limit;
    Request.m_Tokens = Tokens;
    Request.m_Deadline = RuntimeClock::now() + Deadline;
    return m_Admission->submit(
        Request,
        [this, Customer](AdmissionPermit Permit, const AdmissionDecision &V) {
          if (V.m_Reason == AdmissionReason::Admitted) {
            m_Admitted.push_back(Customer);
            m_Permits.push_back(std::move(Permit));
          } else {
            m_Refused.push_back(V);
          }
        });
  }
  // The permit is released last, because that admits another request.
  void finishOldest() {
    const AdmissionPermit Ended = std::move(m_Permits.front());
    m_Permits.erase(m_Permits.begin());
  }

  std::shared_ptr<AdmissionController> m_Admission =
      std::make_shared<AdmissionController>(1, 0, 4);
  std::vector<AdmissionPermit> m_Permits;
  std::vector<std::string> m_Admitted;
  std::vector<AdmissionDecision> m_Refused;
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture,
                 "in-flight requests do not exceed the slots") {
  m_Admission->setCapacity("assistant", 2);
  for (int I = 0; I < 5; ++I)
    submit("a");
  CHECK(m_Admitted.size() == 2);
  CHECK(m_Admission->load("assistant").m_Waiting == 3);
  finishOldest();
  CHECK(m_Admitted.size() == 3);
  CHECK(m_Admission->load("assistant").m_InFlight == 2);
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "a small customer does not wait for the queue of a large one") {
  m_Admission->setCapacity("assistant", 1);
  for (int I = 0; I < 20; ++I)
    submit("large");
  submit("small");
  finishOldest();
  finishOldest();
  CHECK(std::count(m_Admitted.begin(), m_Admitted.end(), "small") == 1);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "a customer's limit is divided over four entries") {
  // With a limit of 1,000 tokens per second, an entry without a planner has the
  // base share of 125: half of the limit over 4 entries, and a burst of one
  // second.
  for (int Second = 0; Second < 10; ++Second) {
    for (int I = 0; I < 100; ++I)
      submit("limited", 1000, 10);
    RuntimeClock::advance(1s);
  }
  CHECK(m_Admitted.size() * 10 <= std::size_t{125} * 11);
  CHECK(m_Admitted.size() * 10 >= std::size_t{125} * 9);
  for (const AdmissionDecision &Decision : m_Refused)
    CHECK((Decision.m_Status == 429 && Decision.m_RetryAfter >= 1s));
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "a request that cannot be served in time is rejected at once") {
  m_Admission->setCapacity("assistant", 1);
  submit("a");
  // Nothing is served for 10 s while 5 requests are queued, so the rate drops.
  for (int I = 0; I < 5; ++I)
    submit("a", 0, 1000);
  for (int I = 0; I < 100; ++I) {
    RuntimeClock::advance(100ms);
    m_Admission->tick();
  }
  const std::size_t Before = m_Refused.size();
  CHECK(submit("a", 0, 1000, 5s) == 0);
  REQUIRE(m_Refused.size() == Before + 1);
  CHECK(m_Refused.back().m_Reason == AdmissionReason::DeadlineTooClose);
  CHECK(m_Refused.back().m_Status == 503);
  CHECK(m_Refused.back().m_RetryAfter >= 1s);
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "a queued request ends at its deadline or when its caller disconnects") {
  m_Admission->setCapacity("assistant", 1);
  submit("a");
  submit("a", 0, 10, 1s);
  const std::uint64_t Gone = submit("a");
  REQUIRE(Gone != 0);
  m_Admission->cancel("assistant", Gone);
  RuntimeClock::advance(2s);
  m_Admission->tick();
  CHECK(m_Refused.size() == 1);
  CHECK(m_Admission->load("assistant").m_Waiting == 0);
}
