// LRU list of blocks, and the events for stored and evicted blocks.
#include "Standin/PrefixCache.h"

#include "Core/Hash.h"

namespace mangocart {

std::vector<std::uint64_t> prefixBlockHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t PreviousHash = 0;
  while (Prompt.size() >= PrefixCache::BlockBytes) {
    PreviousHash =
        hash64(Prompt.substr(0, PrefixCache::BlockBytes), PreviousHash);
    Blocks.push_back(PreviousHash);
    Prompt.remove_prefix(PrefixCache::BlockBytes);
  }
  return Blocks;
}

double PrefixCache::lookUpAndInsert(std::string_view Prompt, TimePoint Now) {
  const std::vector<std::uint64_t> Blocks = prefixBlockHashes(Prompt);
  std::size_t Cached = 0;
  while (Cached < Blocks.size() && m_Positions.contains(Blocks[Cached]))
    ++Cached;
  // The first block is touched last and so evicted last: later blocks are of no
  // use without the beginning of the prefix.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block)
    store(*Block, Now);
  if (Prompt.empty())
    return 0.0;
  return static_cast<double>(Cached * BlockBytes) /
         static_cast<double>(Prompt.size());
}

void PrefixCache::store(std::uint64_t Block, TimePoint Now) {
  const auto Existing = m_Positions.find(Block);
  if (Existing != m_Positions.end()) {
    m_LruBlocks.splice(m_LruBlocks.begin(), m_LruBlocks, Existing->second);
    return;
  }
  m_LruBlocks.push_front(Block);
  m_Positions.emplace(Block, m_LruBlocks.begin());
  record(CacheEventKind::Stored, Block, Now);
  if (m_LruBlocks.size() <= m_MaxBlocks)
    return;
  const std::uint64_t Oldest = m_LruBlocks.back();
  m_LruBlocks.pop_back();
  m_Positions.erase(Oldest);
  record(CacheEventKind::Evicted, Oldest, Now);
}

void PrefixCache::record(CacheEventKind Kind, std::uint64_t Block,
                         TimePoint Now) {
  m_Events.push_back({++m_LastNumber, Kind, Block, Now});
  if (m_Events.size() > MaxEvents)
    m_Events.pop_front();
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::uint64_t Number,
                                                 TimePoint Until) const {
  std::vector<CacheEvent> Found;
  for (const CacheEvent &Event : m_Events)
    if (Event.m_Number > Number && Event.m_Time <= Until)
      Found.push_back(Event);
  return Found;
}

} // namespace mangocart
