#include "Core/PrintableText.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("printable texts have ASCII characters and spaces only") {
  CHECK(isPrintable(""));
  CHECK(isPrintable("row 7, \"Sunday\" ~"));
  for (const char *Text : {"a\tb", "a\nb", "\x7f", "\xff", "caf\xc3\xa9"})
    CHECK_FALSE(isPrintable(Text));
}

TEST_CASE("a printable form is cut and has no other bytes") {
  CHECK(toPrintable("rank 3 is stalled", 200) == "rank 3 is stalled");
  CHECK(toPrintable("rank 3", 4) == "rank");
  CHECK(toPrintable("caf\xc3\xa9\n", 200) == "caf???");
  CHECK(toPrintable("caf\xc3\xa9", 4) == "caf?");
}
