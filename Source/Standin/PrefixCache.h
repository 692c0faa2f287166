// Simulates the prompt prefix cache of an engine: a bounded number of blocks
// with LRU eviction. Contains no I/O.
#ifndef MANGOCART_STANDIN_PREFIXCACHE_H
#define MANGOCART_STANDIN_PREFIXCACHE_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangocart {

enum class CacheEventKind { Stored, Evicted };

// A block is identified by the hash of the prompt up to the end of the block,
// so that equal blocks have equal prefixes.
struct CacheEvent {
  std::uint64_t m_Number = 0;
  CacheEventKind m_Kind = CacheEventKind::Stored;
  std::uint64_t m_Block = 0;
  TimePoint m_Time;

  bool operator==(const CacheEvent &) const = default;
};

// Returns the hash of the prompt's prefix at the end of each block. An
// incomplete last block is not cached.
std::vector<std::uint64_t> prefixBlockHashes(std::string_view Prompt);

class PrefixCache {
public:
  static constexpr std::size_t BlockBytes = 16;
  // Number of retained events; a reader that falls further behind misses the
  // older ones.
  static constexpr std::size_t MaxEvents = 10000;

  explicit PrefixCache(std::size_t MaxBlocks) : m_MaxBlocks(MaxBlocks) {}

  // Returns the fraction of the prompt, from 0 to 1, that was cached, and
  // inserts all of its blocks.
  double lookUpAndInsert(std::string_view Prompt, TimePoint Now);

  // Returns the events with a higher number that occurred no later than Until,
  // in order.
  std::vector<CacheEvent> eventsAfter(std::uint64_t Number,
                                      TimePoint Until) const;
  std::size_t blockCount() const { return m_Positions.size(); }

private:
  void store(std::uint64_t Block, TimePoint Now);
  void record(CacheEventKind Kind, std::uint64_t Block, TimePoint Now);

  std::size_t m_MaxBlocks;
  // Most recently used first. Invariant: m_Positions has exactly one entry for
  // each block of m_LruBlocks.
  std::list<std::uint64_t> m_LruBlocks;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Positions;
  std::deque<CacheEvent> m_Events;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
