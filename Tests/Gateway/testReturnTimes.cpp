// Return times of rejected callers. Guards against callers that come back at
// the same moment, and later than they honour.
#include "Gateway/ReturnTimes.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1000s};

ReturnRequest request(std::uint32_t Priority) {
  return {Priority, Now + 300ms, Now + 2s, 200ms};
}

} // namespace

TEST_CASE("each caller's time follows those of callers that are as urgent or "
          "more") {
  ReturnTimes Times;
  CHECK(assignReturn(Times, request(1)) == Now + 300ms);
  CHECK(assignReturn(Times, request(1)) == Now + 500ms);
  CHECK(assignReturn(Times, request(0)) == Now + 300ms);
  CHECK(assignReturn(Times, request(1)) == Now + 700ms);
  CHECK(assignReturn(Times, request(2)) == Now + 900ms);
}

TEST_CASE("a caller that no time suits comes back as late as it honours, and "
          "delays no others") {
  ReturnTimes Times;
  while (assignReturn(Times, request(1)) < Now + 1900ms)
    ;
  CHECK(assignReturn(Times, request(1)) == Now + 2s);
  CHECK(assignReturn(Times, request(1)) == Now + 2s);
  ReturnRequest Patient = request(1);
  Patient.m_Latest = Now + 5s;
  CHECK(assignReturn(Times, Patient) == Now + 2100ms);
}
