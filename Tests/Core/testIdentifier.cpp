// Guards against names that no message between processes can carry.
#include "Core/Identifier.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;

TEST_CASE("an identifier has visible ASCII characters only") {
  CHECK(isIdentifier("i-7f3a91c2"));
  CHECK(isIdentifier("!~"));
  for (const char *Text : {"", "a b", "a\tb", "\x7f", "\xff", "caf\xc3\xa9"})
    CHECK_FALSE(isIdentifier(Text));
}

TEST_CASE("an identifier has a maximum length") {
  CHECK(isIdentifier(std::string(MaxNameBytes, 'a')));
  CHECK_FALSE(isIdentifier(std::string(MaxNameBytes + 1, 'a')));
  CHECK(isIdentifier("abcd", 4));
  CHECK_FALSE(isIdentifier("abcde", 4));
}
