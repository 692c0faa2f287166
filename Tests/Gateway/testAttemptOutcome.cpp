// What may be said to a caller after each end of an attempt.
#include "Gateway/AttemptOutcome.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE(
    "only an attempt that never left, or a refusal, proves that nothing ran") {
  struct Case {
    AttemptEnd m_End;
    bool m_MayHaveRun;
  };
  const Case Cases[] = {{AttemptEnd::NeverSent, false},
                        {AttemptEnd::SaidNotRun, false},
                        {AttemptEnd::AnsweredFailure, true},
                        {AttemptEnd::Lost, true},
                        {AttemptEnd::CutOff, true}};
  for (const Case &Each : Cases) {
    INFO(toString(Each.m_End));
    CHECK(mayHaveRun(Each.m_End) == Each.m_MayHaveRun);
  }
}

TEST_CASE("another attempt, by what is known") {
  struct Case {
    const char *m_Name;
    RequestKnowledge m_Known;
    bool m_Again;
  };
  const Case Cases[] = {
      {"repeatable, may have run", {true, true, false, 1, 2, false}, true},
      {"repeatable, all attempts made",
       {true, true, false, 2, 2, false},
       false},
      {"repeatable, time over", {true, true, false, 1, 2, true}, false},
      {"repeatable, answer begun", {true, true, true, 1, 2, false}, false},
      {"once only, may have run", {false, true, false, 1, 2, false}, false},
      {"once only, proven not run", {false, false, false, 1, 2, false}, true},
      {"once only, one attempt made",
       {false, false, false, 1, 1, false},
       false},
      {"once only, never sent", {false, false, false, 0, 1, false}, true},
      {"once only, never sent, time over",
       {false, false, false, 0, 1, true},
       false},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(mayTryAgain(Each.m_Known) == Each.m_Again);
  }
}

TEST_CASE("the gateway's own answer, by what is known") {
  struct Case {
    const char *m_Name;
    RequestKnowledge m_Known;
    OwnEnd m_End;
  };
  const Case Cases[] = {
      {"nothing ran", {false, false, false, 0, 1, false}, OwnEnd::RefuseNotRun},
      {"nothing ran, time over",
       {true, false, false, 1, 2, true},
       OwnEnd::RefuseNotRun},
      {"once only, may have run",
       {false, true, false, 1, 1, false},
       OwnEnd::FailUnknown},
      {"repeatable, may have run",
       {true, true, false, 2, 2, false},
       OwnEnd::FailUnknown},
      {"may have run, time over",
       {false, true, false, 1, 1, true},
       OwnEnd::FailTimeout},
      {"answer begun", {true, true, true, 1, 2, false}, OwnEnd::CutConnection},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(ownEndOf(Each.m_Known) == Each.m_End);
  }
}

TEST_CASE("a refusal is never said of a request that may have run") {
  for (unsigned Bits = 0; Bits < 16; ++Bits)
    for (const std::uint32_t Sent : {0U, 1U, 2U}) {
      const RequestKnowledge Known{
          (Bits & 1U) != 0, (Bits & 2U) != 0, (Bits & 4U) != 0, Sent, 2,
          (Bits & 8U) != 0};
      if (Known.m_MayHaveRun || Known.m_AnswerBegun)
        CHECK(ownEndOf(Known) != OwnEnd::RefuseNotRun);
      if (!Known.m_Repeatable && Known.m_MayHaveRun)
        CHECK_FALSE(mayTryAgain(Known));
    }
}

TEST_CASE("an attempt that brings nothing is left in time for another one") {
  struct Case {
    const char *m_Name;
    Duration m_ExpectedFirst;
    Duration m_CallersPatience;
    std::optional<Duration> m_Patience;
  };
  const Case Cases[] = {
      {"one engine hangs, the others answer", 200ms, 2s, 800ms},
      {"fast engines", 50ms, 2s, 600ms},
      {"an overload: another one would be too late", 500ms, 2s, std::nullopt},
      {"the caller doesn't leave", 500ms, 0s, 2s},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(attemptPatience(Each.m_ExpectedFirst, Each.m_CallersPatience) ==
          Each.m_Patience);
  }
}
