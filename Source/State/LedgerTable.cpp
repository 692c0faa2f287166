// Slab and index of the ledger's records.
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

// The key is a hash already; its low half spreads well.
std::size_t LedgerTable::SlotHash::operator()(LedgerSlot Slot) const {
  return (*m_Cells)[Slot].m_Key.m_Low;
}

std::size_t LedgerTable::SlotHash::operator()(const Lookup &Wanted) const {
  return Wanted.m_Key.m_Low;
}

bool LedgerTable::SlotEqual::operator()(const Lookup &Wanted,
                                        LedgerSlot Slot) const {
  const LedgerCell &Cell = (*m_Cells)[Slot];
  return Cell.m_Key == Wanted.m_Key && Cell.m_Customer == Wanted.m_Customer;
}

bool LedgerTable::SlotEqual::operator()(LedgerSlot Slot,
                                        const Lookup &Wanted) const {
  return (*this)(Wanted, Slot);
}

LedgerTable::LedgerTable()
    : m_Cells(std::make_unique<std::deque<LedgerCell>>()) {
  m_Parts.reserve(PartCount);
  for (std::size_t I = 0; I < PartCount; ++I)
    m_Parts.emplace_back(0, SlotHash{m_Cells.get()}, SlotEqual{m_Cells.get()});
}

LedgerSlot LedgerTable::find(std::uint32_t Customer, const KeyHash &Key) const {
  const Part &Index = m_Parts[partOf(Key)];
  const auto Found = Index.find(Lookup{Customer, Key});
  return Found == Index.end() ? NoSlot : *Found;
}

LedgerSlot LedgerTable::insert(std::uint32_t Customer, const KeyHash &Key) {
  LedgerSlot Slot = m_Free;
  if (Slot == NoSlot) {
    Slot = static_cast<LedgerSlot>(m_Cells->size());
    m_Cells->emplace_back();
  } else {
    m_Free = (*m_Cells)[Slot].m_Next;
    (*m_Cells)[Slot] = LedgerCell();
  }
  (*m_Cells)[Slot].m_Customer = Customer;
  (*m_Cells)[Slot].m_Key = Key;
  m_Parts[partOf(Key)].insert(Slot);
  ++m_Size;
  return Slot;
}

void LedgerTable::erase(LedgerSlot Slot) {
  LedgerCell &Cell = (*m_Cells)[Slot];
  m_Parts[partOf(Cell.m_Key)].erase(Slot);
  Cell = LedgerCell();
  Cell.m_Next = m_Free;
  m_Free = Slot;
  --m_Size;
}

} // namespace mangocart
