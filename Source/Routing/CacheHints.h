// Expected contents of the engines' prefix caches. Cache events arrive late and
// with gaps, so each entry of this table is a hint whose weight decays with
// age.
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
  // Incremented with each event of the server; 0 for an event that this entry
  // derived from its own traffic.
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_PrefixHash = 0;
  // 0 if the prefix was evicted.
  std::uint64_t m_Tokens = 0;

  bool operator==(const CacheEvent &) const = default;
};

struct CacheHintOptions {
  // Maximum number of prefixes over all servers; the oldest are evicted first.
  std::size_t m_Capacity = 65536;
  // A hint loses half of its weight in this time.
  Duration m_HalfLife = std::chrono::seconds(60);
  // Factor applied to the hints of a server for each later gap in its events.
  double m_GapWeight = 0.5;

  bool operator==(const CacheHintOptions &) const = default;
};

struct CacheHintKey {
  std::uint64_t m_BackendServer = 0;
  std::uint64_t m_PrefixHash = 0;

  bool operator==(const CacheHintKey &) const = default;
};

// Hashes the prefix only, so that the keys of one prefix at all servers share a
// bucket: a request looks up one prefix at many servers.
struct CacheHintKeyHash {
  std::size_t operator()(const CacheHintKey &Key) const {
    return Key.m_PrefixHash;
  }
};

struct CacheHint {
  std::uint64_t m_Tokens = 0;
  TimePoint m_UpdatedAt;
  std::uint64_t m_Sequence = 0;
  // Gaps in the server's events up to the creation of the hint.
  std::uint64_t m_Gaps = 0;
  std::list<CacheHintKey>::iterator m_AgePosition;
};

struct CacheServer {
  std::uint64_t m_LastSequence = 0;
  std::uint64_t m_Gaps = 0;
};

struct CacheHints {
  // m_Hints and m_ByAge hold the same keys; at most m_Capacity.
  std::unordered_map<CacheHintKey, CacheHint, CacheHintKeyHash> m_Hints;
  // Oldest first.
  std::list<CacheHintKey> m_ByAge;
  std::unordered_map<std::uint64_t, CacheServer> m_Servers;
};

// Applies an event. A late or duplicate event does not override a newer one of
// the same prefix; a gap in the sequence lowers the weight of the earlier hints
// of the server.
void applyCacheEvent(CacheHints &Hints, const CacheEvent &Event, TimePoint Now,
                     const CacheHintOptions &Options);

// Number of tokens of the prefix expected in the cache of the server.
std::uint64_t expectedCachedTokens(const CacheHints &Hints,
                                   const CacheHintKey &Key, TimePoint Now,
                                   const CacheHintOptions &Options);

// Removes all hints of a server that restarted or left.
void removeServer(CacheHints &Hints, std::uint64_t BackendServer);

} // namespace mangocart

#endif
