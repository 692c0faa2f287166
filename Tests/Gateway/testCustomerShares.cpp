// Counts by customer and priority. Guards against starvation, and against
// decisions on single calls at a gateway that sees few.
#include "Gateway/CustomerShares.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

void record(CustomerShares &Shares, int Calls, std::uint32_t Priority,
            std::string_view Customer, CallEnd End, TimePoint Now = Start) {
  for (int I = 0; I < Calls; ++I)
    recordCall(Shares, Priority, Customer, End, Now);
}

} // namespace

TEST_CASE("a customer that got far more than the mean is above its share until "
          "its calls are forgotten") {
  CustomerShares Shares;
  record(Shares, 1, 0, "small", CallEnd::Served);
  CHECK_FALSE(isAboveShare(Shares, "small"));
  record(Shares, 2, 0, "other", CallEnd::Served);
  // Three calls against a mean of 2 are no reason yet.
  record(Shares, 3, 0, "large", CallEnd::Served);
  CHECK_FALSE(isAboveShare(Shares, "large"));
  record(Shares, 17, 0, "large", CallEnd::Served);
  CHECK(isAboveShare(Shares, "large"));
  CHECK_FALSE(isAboveShare(Shares, "small"));
  record(Shares, 1, 0, "small", CallEnd::Served, Start + 60s);
  CHECK_FALSE(isAboveShare(Shares, "large"));
}

TEST_CASE("a single customer is never above its share") {
  CustomerShares Shares;
  record(Shares, 100, 0, "", CallEnd::Served);
  record(Shares, 100, 0, "", CallEnd::Rejected);
  CHECK_FALSE(isAboveShare(Shares, ""));
  CHECK_FALSE(isCustomerOwed(Shares, ""));
}

TEST_CASE("a priority whose calls are all rejected is owed one, until one is "
          "served") {
  CustomerShares Shares;
  record(Shares, 20, 0, "a", CallEnd::Served);
  record(Shares, 2, 2, "b", CallEnd::Rejected);
  CHECK_FALSE(isPriorityOwed(Shares, 2));
  record(Shares, 2, 2, "b", CallEnd::Rejected);
  CHECK(isPriorityOwed(Shares, 2));
  CHECK(isCustomerOwed(Shares, "b"));
  CHECK_FALSE(isPriorityOwed(Shares, 0));
  record(Shares, 1, 2, "b", CallEnd::Served);
  CHECK_FALSE(isPriorityOwed(Shares, 2));
}
