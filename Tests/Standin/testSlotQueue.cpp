// Order in which waiting requests get a slot.
#include "Standin/SlotQueue.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;

TEST_CASE("higher priority first, else in order of arrival") {
  SlotQueue Slots(1);
  std::string Order;
  const auto Add = [&](std::int64_t Priority, char Name) {
    return Slots.acquire(Priority, [&Order, Name] { Order += Name; });
  };
  Add(0, 'a');
  Add(0, 'b');
  Add(5, 'c');
  Add(-1, 'd');
  const auto Withdrawn = Add(9, 'e');
  Add(5, 'f');
  CHECK(Slots.withdraw(Withdrawn));
  CHECK_FALSE(Slots.withdraw(Withdrawn));
  CHECK(Slots.waiting() == 4);
  while (Slots.running() > 0)
    Slots.release();
  CHECK(Order == "acfbd");
}
