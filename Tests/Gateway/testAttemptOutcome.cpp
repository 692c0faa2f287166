// Retry decisions and final responses after each result of an attempt.
#include "Gateway/AttemptOutcome.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("only an unsent request or a rejection proves that the request did "
          "not run") {
  struct Case {
    AttemptResult m_Result;
    bool m_MayHaveRun;
  };
  const Case Cases[] = {{AttemptResult::NeverSent, false},
                        {AttemptResult::ReportedNotRun, false},
                        {AttemptResult::FailureResponse, true},
                        {AttemptResult::ConnectionLost, true},
                        {AttemptResult::ResponseTruncated, true}};
  for (const Case &Each : Cases) {
    INFO(toString(Each.m_Result));
    CHECK(mayHaveRun(Each.m_Result) == Each.m_MayHaveRun);
  }
}

TEST_CASE("retry decision by request state") {
  struct Case {
    const char *m_Name;
    RequestState m_State;
    bool m_MayRetry;
  };
  const Case Cases[] = {
      {"retryable, may have run", {true, true, false, 1, 2, false}, true},
      {"retryable, all attempts made", {true, true, false, 2, 2, false}, false},
      {"retryable, deadline passed", {true, true, false, 1, 2, true}, false},
      {"retryable, response started", {true, true, true, 1, 2, false}, false},
      {"not retryable, may have run", {false, true, false, 1, 2, false}, false},
      {"not retryable, proven not run",
       {false, false, false, 1, 2, false},
       true},
      {"not retryable, one attempt made",
       {false, false, false, 1, 1, false},
       false},
      {"not retryable, never sent", {false, false, false, 0, 1, false}, true},
      {"not retryable, never sent, deadline passed",
       {false, false, false, 0, 1, true},
       false},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(mayRetry(Each.m_State) == Each.m_MayRetry);
  }
}

TEST_CASE("final failure by request state") {
  struct Case {
    const char *m_Name;
    RequestState m_State;
    RequestFailure m_Failure;
  };
  const Case Cases[] = {
      {"did not run",
       {false, false, false, 0, 1, false},
       RequestFailure::RejectedNotRun},
      {"did not run, deadline passed",
       {true, false, false, 1, 2, true},
       RequestFailure::RejectedNotRun},
      {"not retryable, may have run",
       {false, true, false, 1, 1, false},
       RequestFailure::OutcomeUnknown},
      {"retryable, may have run",
       {true, true, false, 2, 2, false},
       RequestFailure::OutcomeUnknown},
      {"may have run, deadline passed",
       {false, true, false, 1, 1, true},
       RequestFailure::DeadlinePassed},
      {"response started",
       {true, true, true, 1, 2, false},
       RequestFailure::ConnectionClosed},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(failureOf(Each.m_State) == Each.m_Failure);
  }
}

TEST_CASE("a request that may have run is never reported as not run") {
  for (unsigned Bits = 0; Bits < 16; ++Bits)
    for (const std::uint32_t Sent : {0U, 1U, 2U}) {
      const RequestState State{
          (Bits & 1U) != 0, (Bits & 2U) != 0, (Bits & 4U) != 0, Sent, 2,
          (Bits & 8U) != 0};
      if (State.m_MayHaveRun || State.m_ResponseCommitted)
        CHECK(failureOf(State) != RequestFailure::RejectedNotRun);
      if (!State.m_Retryable && State.m_MayHaveRun)
        CHECK_FALSE(mayRetry(State));
    }
}

TEST_CASE("an attempt without data times out early enough for another one") {
  struct Case {
    const char *m_Name;
    Duration m_ExpectedFirstByte;
    Duration m_CallerIdleTimeout;
    std::optional<Duration> m_Timeout;
  };
  const Case Cases[] = {
      {"one engine hangs, the others answer", 200ms, 2s, 800ms},
      {"fast engines", 50ms, 2s, 600ms},
      {"overload: another attempt would be too late", 500ms, 2s, std::nullopt},
      {"the caller has no idle timeout", 500ms, 0s, 2s},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(attemptTimeout(Each.m_ExpectedFirstByte, Each.m_CallerIdleTimeout) ==
          Each.m_Timeout);
  }
}
