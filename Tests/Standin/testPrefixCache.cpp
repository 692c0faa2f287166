// Cached prefixes, eviction order and the events about both.
#include "Standin/PrefixCache.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("a prefix is cached until it is evicted") {
  constexpr std::size_t Bytes = PrefixCache::BlockBytes;
  const std::string Peaches(2 * Bytes, 'p');
  const std::string Weather(2 * Bytes, 'w');
  const TimePoint Start{};
  PrefixCache Cache(4);
  CHECK(Cache.lookUpAndInsert(Peaches, Start) == 0.0);
  CHECK(Cache.lookUpAndInsert(Peaches, Start) == 1.0);
  CHECK(Cache.lookUpAndInsert(Peaches + Weather, Start) == 0.5);
  // Blocks match only as a prefix, not in the middle of a prompt.
  CHECK(Cache.lookUpAndInsert(Weather, Start) == 0.0);
  CHECK(Cache.blockCount() == 4);
  CHECK(Cache.lookUpAndInsert(Peaches, Start) == 1.0);
  CHECK(Cache.lookUpAndInsert("short", Start) == 0.0);
}

TEST_CASE("events are returned in order, after a number and up to a time") {
  const std::string Prompt(2 * PrefixCache::BlockBytes, 'p');
  const std::string Other(PrefixCache::BlockBytes, 'o');
  const TimePoint Start{};
  PrefixCache Cache(2);
  Cache.lookUpAndInsert(Prompt, Start);
  Cache.lookUpAndInsert(Other, Start + 1s);
  CHECK(Cache.eventsAfter(0, Start).size() == 2);
  const auto Late = Cache.eventsAfter(2, Start + 1s);
  REQUIRE(Late.size() == 2);
  CHECK(Late[0] == CacheEvent{3, CacheEventKind::Stored,
                              prefixBlockHashes(Other)[0], Start + 1s});
  // The end of the longer prefix is evicted before its beginning.
  CHECK(Late[1] == CacheEvent{4, CacheEventKind::Evicted,
                              prefixBlockHashes(Prompt)[1], Start + 1s});
}
