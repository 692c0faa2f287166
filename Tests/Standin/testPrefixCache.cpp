// Which prefixes stay cached and what is told of it.
#include "Standin/PrefixCache.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("a prefix that was seen is cached until others push it out") {
  constexpr std::size_t Bytes = PrefixCache::BlockBytes;
  const std::string Peaches(2 * Bytes, 'p');
  const std::string Weather(2 * Bytes, 'w');
  const TimePoint Start{};
  PrefixCache Cache(4);
  CHECK(Cache.use(Peaches, Start) == 0.0);
  CHECK(Cache.use(Peaches, Start) == 1.0);
  CHECK(Cache.use(Peaches + Weather, Start) == 0.5);
  // A prefix counts only from its beginning.
  CHECK(Cache.use(Weather, Start) == 0.0);
  CHECK(Cache.blockCount() == 4);
  CHECK(Cache.use(Peaches, Start) == 1.0);
  CHECK(Cache.use("short", Start) == 0.0);
}

TEST_CASE("events come in order, after a number and up to a time") {
  const std::string Prompt(2 * PrefixCache::BlockBytes, 'p');
  const std::string Other(PrefixCache::BlockBytes, 'o');
  const TimePoint Start{};
  PrefixCache Cache(2);
  Cache.use(Prompt, Start);
  Cache.use(Other, Start + 1s);
  CHECK(Cache.eventsAfter(0, Start).size() == 2);
  const auto Late = Cache.eventsAfter(2, Start + 1s);
  REQUIRE(Late.size() == 2);
  CHECK(Late[0] == CacheEvent{3, CacheEventKind::Stored, prefixBlocks(Other)[0],
                              Start + 1s});
  // The end of the longer prefix leaves before its beginning.
  CHECK(Late[1] == CacheEvent{4, CacheEventKind::Evicted,
                              prefixBlocks(Prompt)[1], Start + 1s});
}
