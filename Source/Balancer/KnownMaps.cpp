// Decodes differences and replaces the oldest maps.
#include "Balancer/KnownMaps.h"

#include "Balancer/RankSchema.h"
#include "Core/Hash.h"
#include "Experts/MapDelta.h"

#include <algorithm>

namespace mangocart {

std::uint64_t hashOf(const ExpertMap &Map) {
  const std::string_view Bytes(
      reinterpret_cast<const char *>(Map.m_Slots.data()),
      Map.m_Slots.size() * sizeof(ExpertId));
  return std::max<std::uint64_t>(hash64(Bytes, Map.m_Shape.m_Ranks), 1);
}

std::shared_ptr<const ExpertMap> KnownMaps::find(std::uint64_t Hash) const {
  if (m_Base.m_Map && m_Base.m_Hash == Hash)
    return m_Base.m_Map;
  const auto Found =
      std::find_if(m_Maps.begin(), m_Maps.end(),
                   [&](const Entry &Each) { return Each.m_Hash == Hash; });
  return Found == m_Maps.end() ? nullptr : Found->m_Map;
}

std::optional<RankOrder> KnownMaps::decode(const schema::RankOrder &Order) {
  RankOrder Decoded = fromSchema(Order);
  if (Order.base() != 0) {
    const auto Base = find(Order.base());
    if (!Base)
      return std::nullopt;
    MapDelta Delta;
    Delta.m_Positions.assign(Order.changed_positions().begin(),
                             Order.changed_positions().end());
    for (const std::uint32_t Expert : Order.slots())
      Delta.m_Experts.push_back(static_cast<ExpertId>(Expert));
    auto Map = applyMapDelta(*Base, Delta);
    if (!Map)
      return std::nullopt;
    Decoded.m_Map = std::make_shared<const ExpertMap>(*std::move(Map));
  }
  if (Decoded.m_Map)
    keep({hashOf(*Decoded.m_Map), Decoded.m_Map});
  return Decoded;
}

void KnownMaps::keep(Entry Map) {
  std::erase_if(m_Maps,
                [&](const Entry &Each) { return Each.m_Hash == Map.m_Hash; });
  m_Maps.push_back(std::move(Map));
  if (m_Maps.size() > MaxMaps)
    m_Maps.pop_front();
}

void KnownMaps::keepBase(const schema::RankOrder &Order) {
  const RankOrder Whole = fromSchema(Order);
  if (Whole.m_Map)
    m_Base = {hashOf(*Whole.m_Map), Whole.m_Map};
}

std::vector<std::uint64_t> KnownMaps::hashes() const {
  std::vector<std::uint64_t> Hashes;
  if (m_Base.m_Map)
    Hashes.push_back(m_Base.m_Hash);
  for (const Entry &Each : m_Maps)
    Hashes.push_back(Each.m_Hash);
  return Hashes;
}

} // namespace mangocart
