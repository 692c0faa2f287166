// Order in which waiting requests are assigned a slot.
#include "Standin/SlotQueue.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;

TEST_CASE("slots are assigned by priority, then in order of arrival") {
  SlotQueue Slots(1);
  std::string Order;
  const auto Add = [&](std::int64_t Priority, char Name) {
    return Slots.acquire(Priority, [&Order, Name] { Order += Name; });
  };
  Add(0, 'a');
  Add(0, 'b');
  Add(5, 'c');
  Add(-1, 'd');
  const auto Cancelled = Add(9, 'e');
  Add(5, 'f');
  CHECK(Slots.cancel(Cancelled));
  CHECK_FALSE(Slots.cancel(Cancelled));
  CHECK(Slots.waiting() == 4);
  while (Slots.running() > 0)
    Slots.release();
  CHECK(Order == "acfbd");
}
