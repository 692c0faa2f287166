// Verdicts by limit, queue and deadline, and the spread of Retry-After.
#include "Routing/Admission.h"
#include "Routing/TokenBucket.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

// Customer 1 waits with 9 requests of 100 tokens, customer 2 with 1.
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

TEST_CASE("an arrival is judged by limit, queue and deadline") {
  struct Row {
    const char *m_Case;
    AdmissionRequest m_Arrival;
    std::string_view m_Reason;
    std::uint16_t m_Status;
  };
  AdmissionRequest OverLimit = arrival(3, 10s);
  OverLimit.m_LimitWait = 2s;
  AdmissionRequest SlowService = arrival(3, 10s);
  SlowService.m_ExpectedService = 10s;
  const Row Rows[] = {
      {"new customer", arrival(3, 10s), "admitted", 0},
      {"new customer, short deadline", arrival(3, 1s), "admitted", 0},
      {"deadline passed", arrival(3, 0s), "deadline-too-close", 503},
      {"over its limit", OverLimit, "customer-limit", 429},
      {"service takes the time left", SlowService, "deadline-too-close", 503},
      {"queue of the customer full", arrival(1, 1h), "customer-queue-full",
       429},
      {"small backlog in time", arrival(2, 3s), "admitted", 0},
      // 100 tokens ahead at half of 100 tokens/s: 2 s.
      {"small backlog too late", arrival(2, 2s), "deadline-too-close", 503}};
  for (const Row &Each : Rows) {
    Random Generator(1);
    const AdmissionVerdict Verdict =
        admit(backlog(), Each.m_Arrival, 100.0, {}, TimePoint(), Generator);
    CAPTURE(Each.m_Case);
    CHECK(toString(Verdict.m_Reason) == Each.m_Reason);
    CHECK(Verdict.m_Status == Each.m_Status);
    CHECK((Verdict.m_RetryAfter >= 1s) == (Each.m_Status != 0));
  }
}

TEST_CASE("the expected wait is that of the share or of the whole queue") {
  const FairQueue Queue = backlog();
  CHECK(expectedWait(FairQueue(), arrival(1, 1h), 0.0) == 0s);
  CHECK(expectedWait(Queue, arrival(3, 1h), 100.0) == 0s);
  CHECK(expectedWait(Queue, arrival(2, 1h), 100.0) == 2s);
  // 900 tokens at half of the rate would be 18 s; the whole queue takes 10 s.
  CHECK(expectedWait(Queue, arrival(1, 1h), 100.0) == 10s);
  CHECK(expectedWait(Queue, arrival(1, 1h), 0.0) > 24h);
}

TEST_CASE("callers that were refused together don't return together") {
  Random Generator(5);
  std::set<std::chrono::seconds> Seen;
  for (int Index = 0; Index < 200; ++Index) {
    const AdmissionVerdict Verdict =
        refuseWaiting(AdmissionReason::QueueFull, 20s, {}, Generator);
    CHECK(Verdict.m_RetryAfter >= 20s);
    CHECK(Verdict.m_RetryAfter <= 41s);
    Seen.insert(Verdict.m_RetryAfter);
    CHECK(refuseWaiting(AdmissionReason::QueueFull, 240h, {}, Generator)
              .m_RetryAfter <= AdmissionOptions().m_LongestRetryAfter + 1s);
  }
  CHECK(Seen.size() >= 15);
}

TEST_CASE("a bucket gives its rate, saves its burst, and lends to none") {
  TokenBucket Bucket;
  double Taken = 0.0;
  for (int Step = 0; Step <= 1000; ++Step)
    while (tryTake(Bucket, 7.0, 50.0, 100.0, TimePoint(Step * 10ms)))
      Taken += 7.0;
  CHECK(Taken <= 100.0 + 50.0 * 10.0);
  CHECK(Taken >= 500.0);
  CHECK(timeUntil(Bucket, 7.0, 50.0, 100.0) <= 140ms);
  CHECK(timeUntil({}, 7.0, 0.0, 100.0) == 1h);
  // Larger than the burst: passes when full, then waits off its debt.
  TokenBucket Large;
  CHECK(tryTake(Large, 250.0, 50.0, 100.0, TimePoint()));
  CHECK_FALSE(tryTake(Large, 250.0, 50.0, 100.0, TimePoint(4s)));
  CHECK(timeUntil(Large, 250.0, 50.0, 100.0) == 1s);
  CHECK(tryTake(Large, 250.0, 50.0, 100.0, TimePoint(5s)));
}
