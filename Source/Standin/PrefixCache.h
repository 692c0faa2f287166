// Simulates an engine's cache of prompt prefixes: a bounded number of blocks,
// the least recently used one leaves first. Decisions only, no I/O.
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

// A block is named by the hash of the prompt up to its end, so that the same
// block means the same prefix.
struct CacheEvent {
  std::uint64_t m_Number = 0;
  CacheEventKind m_Kind = CacheEventKind::Stored;
  std::uint64_t m_Block = 0;
  TimePoint m_Happened;

  bool operator==(const CacheEvent &) const = default;
};

// Hashes of a prompt's prefixes, block by block. A last block that isn't full
// is not cached.
std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt);

class PrefixCache {
public:
  static constexpr std::size_t BlockBytes = 16;
  // Events kept for readers; older ones are gaps to a reader that is late.
  static constexpr std::size_t MaxEvents = 10000;

  explicit PrefixCache(std::size_t MaxBlocks) : m_MaxBlocks(MaxBlocks) {}

  // Share of the prompt, from 0 to 1, that was cached before. Caches all of it.
  double use(std::string_view Prompt, TimePoint Now);

  // Events after a number that happened at or before Until, in order.
  std::vector<CacheEvent> eventsAfter(std::uint64_t Number,
                                      TimePoint Until) const;
  std::size_t blockCount() const { return m_Places.size(); }

private:
  void store(std::uint64_t Block, TimePoint Now);
  void record(CacheEventKind Kind, std::uint64_t Block, TimePoint Now);

  std::size_t m_MaxBlocks;
  // Most recently used first. Invariant: m_Places has one entry for each block
  // of m_ByUse and no other.
  std::list<std::uint64_t> m_ByUse;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Places;
  std::deque<CacheEvent> m_Events;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
