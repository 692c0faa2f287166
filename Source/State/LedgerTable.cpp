// Slab and index of the ledger records.
#include "State/LedgerTable.h"

#include <cstring>

namespace mangocart {

CompactBytes::CompactBytes(std::string_view Content) {
  if (Content.empty())
    return;
  const auto Size = static_cast<std::uint32_t>(Content.size());
  m_Data = std::make_unique<char[]>(sizeof(Size) + Content.size());
  std::memcpy(m_Data.get(), &Size, sizeof(Size));
  std::memcpy(m_Data.get() + sizeof(Size), Content.data(), Content.size());
}

std::string_view CompactBytes::view() const {
  if (!m_Data)
    return {};
  std::uint32_t Size = 0;
  std::memcpy(&Size, m_Data.get(), sizeof(Size));
  return {m_Data.get() + sizeof(Size), Size};
}

// The key is a hash already, so its low half is uniformly distributed.
std::size_t LedgerTable::SlotHash::operator()(LedgerSlot Slot) const {
  return (*m_Rows)[Slot].m_Key.m_Low;
}

std::size_t LedgerTable::SlotHash::operator()(const Lookup &Wanted) const {
  return Wanted.m_Key.m_Low;
}

bool LedgerTable::SlotEqual::operator()(const Lookup &Wanted,
                                        LedgerSlot Slot) const {
  const LedgerRow &Row = (*m_Rows)[Slot];
  return Row.m_Key == Wanted.m_Key && Row.m_Customer == Wanted.m_Customer;
}

bool LedgerTable::SlotEqual::operator()(LedgerSlot Slot,
                                        const Lookup &Wanted) const {
  return (*this)(Wanted, Slot);
}

LedgerTable::LedgerTable() : m_Rows(std::make_unique<std::deque<LedgerRow>>()) {
  m_Shards.reserve(ShardCount);
  for (std::size_t I = 0; I < ShardCount; ++I)
    m_Shards.emplace_back(0, SlotHash{m_Rows.get()}, SlotEqual{m_Rows.get()});
}

LedgerSlot LedgerTable::find(std::uint32_t Customer, const KeyHash &Key) const {
  const Shard &Index = m_Shards[shardOf(Key)];
  const auto Found = Index.find(Lookup{Customer, Key});
  return Found == Index.end() ? NoSlot : *Found;
}

LedgerSlot LedgerTable::insert(std::uint32_t Customer, const KeyHash &Key) {
  LedgerSlot Slot = m_FirstFreeSlot;
  if (Slot == NoSlot) {
    Slot = static_cast<LedgerSlot>(m_Rows->size());
    m_Rows->emplace_back();
  } else {
    m_FirstFreeSlot = (*m_Rows)[Slot].m_Next;
    (*m_Rows)[Slot] = LedgerRow();
  }
  (*m_Rows)[Slot].m_Customer = Customer;
  (*m_Rows)[Slot].m_Key = Key;
  m_Shards[shardOf(Key)].insert(Slot);
  ++m_Size;
  return Slot;
}

void LedgerTable::erase(LedgerSlot Slot) {
  LedgerRow &Row = (*m_Rows)[Slot];
  m_Shards[shardOf(Row.m_Key)].erase(Slot);
  Row = LedgerRow();
  Row.m_Next = m_FirstFreeSlot;
  m_FirstFreeSlot = Slot;
  --m_Size;
}

} // namespace mangocart
