// What the engines' prefix caches are expected to hold. Cache events come late
// and with gaps, so an entry of this table is a hint that loses weight with
// age, never a fact.
#ifndef MANGOCART_ROUTING_CACHEHINTS_H
#define MANGOCART_ROUTING_CACHEHINTS_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace mangocart {

// One change of a backend server's prefix cache.
struct CacheEvent {
  std::uint64_t m_BackendServer = 0;
  // Grows by one with each event of the server; 0: made by this entry from its
  // own traffic.
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_PrefixHash = 0;
  // 0: the prefix was dropped.
  std::uint64_t m_Tokens = 0;

  bool operator==(const CacheEvent &) const = default;
};

struct CacheHintOptions {
  // Prefixes remembered over all servers; the oldest are forgotten first.
  std::size_t m_Capacity = 65536;
  // A hint of this age counts half.
  Duration m_HalfLife = std::chrono::seconds(60);
  // Weight left to the hints that a server had before a gap in its events.
  double m_GapWeight = 0.5;

  bool operator==(const CacheHintOptions &) const = default;
};

struct CacheHintKey {
  std::uint64_t m_BackendServer = 0;
  std::uint64_t m_PrefixHash = 0;

  bool operator==(const CacheHintKey &) const = default;
};

// By prefix alone: a request asks about one prefix at many servers, and finds
// them in one bucket.
struct CacheHintKeyHash {
  std::size_t operator()(const CacheHintKey &Key) const {
    return Key.m_PrefixHash;
  }
};

struct CacheHint {
  std::uint64_t m_Tokens = 0;
  TimePoint m_Seen;
  std::uint64_t m_Sequence = 0;
  // Gaps of the server's events that were known when the hint was made.
  std::uint64_t m_Gaps = 0;
  std::list<CacheHintKey>::iterator m_Age;
};

struct CacheServer {
  std::uint64_t m_LastSequence = 0;
  std::uint64_t m_Gaps = 0;
};

struct CacheHints {
  // m_Hints and m_ByAge have the same keys; at most the capacity.
  std::unordered_map<CacheHintKey, CacheHint, CacheHintKeyHash> m_Hints;
  // Oldest first.
  std::list<CacheHintKey> m_ByAge;
  std::unordered_map<std::uint64_t, CacheServer> m_Servers;
};

// Takes an event. Late and doubled events don't undo a newer one of the same
// prefix; a gap lowers the weight of what was known of the server.
void applyCacheEvent(CacheHints &Hints, const CacheEvent &Event, TimePoint Now,
                     const CacheHintOptions &Options);

// Tokens of the prefix that the server is expected to hold.
std::uint64_t expectedCachedTokens(const CacheHints &Hints,
                                   const CacheHintKey &Key, TimePoint Now,
                                   const CacheHintOptions &Options);

// The server restarted or left: nothing of its cache is left.
void forgetServer(CacheHints &Hints, std::uint64_t BackendServer);

} // namespace mangocart

#endif
