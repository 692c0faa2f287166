// Tests admission decisions by rate limit, queue and deadline, and the jitter
// of Retry-After.
#include "Routing/Admission.h"
#include "Routing/TokenBucket.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

// Customer 1 has 9 queued requests of 100 tokens, customer 2 has 1.
FairQueue backlog() {
  FairQueue Queue{{9, 20}};
  for (std::uint64_t Id = 0; Id < 10; ++Id)
    enqueue(Queue, {Id, Id < 9 ? 1U : 2U, 100, TimePoint(1h)}, 1.0);
  return Queue;
}

AdmissionRequest arrival(std::uint64_t Customer, Duration Deadline) {
  return {{100, Customer, 100, TimePoint(Deadline)}, 1.0, {}, {}};
}

} // namespace

TEST_CASE("admission depends on rate limit, queue and deadline") {
  struct Row {
    const char *m_Case;
    AdmissionRequest m_Arrival;
    std::string_view m_Reason;
    std::uint16_t m_Status;
  };
  AdmissionRequest OverLimit = arrival(3, 10s);
  OverLimit.m_RateLimitDelay = 2s;
  AdmissionRequest SlowService = arrival(3, 10s);
  SlowService.m_ExpectedServiceTime = 10s;
  const Row Rows[] = {
      {"new customer", arrival(3, 10s), "admitted", 0},
      {"new customer, short deadline", arrival(3, 1s), "admitted", 0},
      {"deadline passed", arrival(3, 0s), "deadline-too-close", 503},
      {"over the rate limit", OverLimit, "customer-limit", 429},
      {"service time uses up the deadline", SlowService, "deadline-too-close",
       503},
      {"queue of the customer is full", arrival(1, 1h), "customer-queue-full",
       429},
      {"small backlog in time", arrival(2, 3s), "admitted", 0},
      // 100 tokens ahead at half of 100 tokens/s take 2 s.
      {"small backlog too late", arrival(2, 2s), "deadline-too-close", 503}};
  for (const Row &Each : Rows) {
    Random Generator(1);
    const AdmissionDecision Verdict = decideAdmission(
        backlog(), Each.m_Arrival, 100.0, {}, TimePoint(), Generator);
    CAPTURE(Each.m_Case);
    CHECK(toString(Verdict.m_Reason) == Each.m_Reason);
    CHECK(Verdict.m_Status == Each.m_Status);
    CHECK((Verdict.m_RetryAfter >= 1s) == (Each.m_Status != 0));
  }
}

TEST_CASE(
    "the expected wait is bounded by the fair share and the whole queue") {
  const FairQueue Queue = backlog();
  CHECK(expectedWait(FairQueue(), arrival(1, 1h), 0.0) == 0s);
  CHECK(expectedWait(Queue, arrival(3, 1h), 100.0) == 0s);
  CHECK(expectedWait(Queue, arrival(2, 1h), 100.0) == 2s);
  // 900 tokens at half of the rate would take 18 s; the whole queue takes 10 s.
  CHECK(expectedWait(Queue, arrival(1, 1h), 100.0) == 10s);
  CHECK(expectedWait(Queue, arrival(1, 1h), 0.0) > 24h);
}

TEST_CASE("Retry-After is randomized") {
  Random Generator(5);
  std::set<std::chrono::seconds> Seen;
  for (int Index = 0; Index < 200; ++Index) {
    const AdmissionDecision Verdict =
        makeRefusal(AdmissionReason::QueueFull, 20s, {}, Generator);
    CHECK(Verdict.m_RetryAfter >= 20s);
    CHECK(Verdict.m_RetryAfter <= 41s);
    Seen.insert(Verdict.m_RetryAfter);
    CHECK(makeRefusal(AdmissionReason::QueueFull, 240h, {}, Generator)
              .m_RetryAfter <= AdmissionOptions().m_MaxRetryAfter + 1s);
  }
  CHECK(Seen.size() >= 15);
}

TEST_CASE("a token bucket limits rate and burst") {
  TokenBucket Bucket;
  double Taken = 0.0;
  for (int Step = 0; Step <= 1000; ++Step)
    while (tryConsume(Bucket, 7.0, 50.0, 100.0, TimePoint(Step * 10ms)))
      Taken += 7.0;
  CHECK(Taken <= 100.0 + 50.0 * 10.0);
  CHECK(Taken >= 500.0);
  CHECK(timeUntilAvailable(Bucket, 7.0, 50.0, 100.0) <= 140ms);
  CHECK(timeUntilAvailable({}, 7.0, 0.0, 100.0) == 1h);
  // An amount larger than the burst is consumed from a full bucket and leaves a
  // negative level.
  TokenBucket Large;
  CHECK(tryConsume(Large, 250.0, 50.0, 100.0, TimePoint()));
  CHECK_FALSE(tryConsume(Large, 250.0, 50.0, 100.0, TimePoint(4s)));
  CHECK(timeUntilAvailable(Large, 250.0, 50.0, 100.0) == 1s);
  CHECK(tryConsume(Large, 250.0, 50.0, 100.0, TimePoint(5s)));
}
