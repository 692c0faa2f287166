// Least-recently-used blocks and their events.
#include "Standin/PrefixCache.h"

#include "Core/Hash.h"

namespace mangocart {

std::vector<std::uint64_t> prefixBlocks(std::string_view Prompt) {
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Before = 0;
  while (Prompt.size() >= PrefixCache::BlockBytes) {
    Before = hash64(Prompt.substr(0, PrefixCache::BlockBytes), Before);
    Blocks.push_back(Before);
    Prompt.remove_prefix(PrefixCache::BlockBytes);
  }
  return Blocks;
}

double PrefixCache::use(std::string_view Prompt, TimePoint Now) {
  const std::vector<std::uint64_t> Blocks = prefixBlocks(Prompt);
  std::size_t Cached = 0;
  while (Cached < Blocks.size() && m_Places.contains(Blocks[Cached]))
    ++Cached;
  // The first block is used last: a prefix is of no use without its beginning,
  // so that it must stay longest.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block)
    store(*Block, Now);
  if (Prompt.empty())
    return 0.0;
  return static_cast<double>(Cached * BlockBytes) /
         static_cast<double>(Prompt.size());
}

void PrefixCache::store(std::uint64_t Block, TimePoint Now) {
  const auto Known = m_Places.find(Block);
  if (Known != m_Places.end()) {
    m_ByUse.splice(m_ByUse.begin(), m_ByUse, Known->second);
    return;
  }
  m_ByUse.push_front(Block);
  m_Places.emplace(Block, m_ByUse.begin());
  record(CacheEventKind::Stored, Block, Now);
  if (m_ByUse.size() <= m_MaxBlocks)
    return;
  const std::uint64_t Oldest = m_ByUse.back();
  m_ByUse.pop_back();
  m_Places.erase(Oldest);
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
    if (Event.m_Number > Number && Event.m_Happened <= Until)
      Found.push_back(Event);
  return Found;
}

} // namespace mangocart
