// Compact storage of the ledger's records: a slab of fixed-size records, found
// by customer and hash of the key. The index holds only slot numbers and is cut
// into parts, so that growing it never stalls the state machine for long and
// never needs a second copy of the whole.
#ifndef MANGOCART_STATE_LEDGERTABLE_H
#define MANGOCART_STATE_LEDGERTABLE_H

#include "State/KeyHash.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace mangocart {

// Bytes on the heap behind one pointer: a length, then the content. Empty bytes
// need no allocation.
class CompactBytes {
public:
  CompactBytes() = default;
  explicit CompactBytes(std::string_view Content);

  std::string_view view() const;
  bool empty() const { return !m_Data; }

private:
  std::unique_ptr<char[]> m_Data;
};

enum class LedgerOutcome : std::uint8_t { InProgress, Ran, NotRun, Unknown };

using LedgerSlot = std::uint32_t;
constexpr LedgerSlot NoSlot = UINT32_MAX;

struct LedgerCell {
  KeyHash m_Key;
  std::uint64_t m_Digest = 0;
  std::uint64_t m_ClaimNumber = 0;
  // The serialized StoredAnswer; empty when none was kept.
  CompactBytes m_Answer;
  // Number of the customer in the ledger.
  std::uint32_t m_Customer = 0;
  // Replicated time of the settlement, rounded up to seconds.
  std::uint32_t m_SettledS = 0;
  // Neighbours in the order of settlement; m_Next also chains free slots.
  LedgerSlot m_Previous = NoSlot;
  LedgerSlot m_Next = NoSlot;
  std::uint16_t m_Attempt = 0;
  LedgerOutcome m_Outcome = LedgerOutcome::InProgress;
};

class LedgerTable {
public:
  LedgerTable();

  // NoSlot when there is no such record.
  LedgerSlot find(std::uint32_t Customer, const KeyHash &Key) const;
  // The record must not be there yet.
  LedgerSlot insert(std::uint32_t Customer, const KeyHash &Key);
  void erase(LedgerSlot Slot);

  LedgerCell &operator[](LedgerSlot Slot) { return (*m_Cells)[Slot]; }
  const LedgerCell &operator[](LedgerSlot Slot) const {
    return (*m_Cells)[Slot];
  }
  std::size_t size() const { return m_Size; }

private:
  static constexpr std::size_t PartCount = 64;

  struct Lookup {
    std::uint32_t m_Customer;
    KeyHash m_Key;
  };
  // Hash and equality see the records behind the slot numbers.
  struct SlotHash {
    using is_transparent = void;
    using is_avalanching = void;
    const std::deque<LedgerCell> *m_Cells;
    std::size_t operator()(LedgerSlot Slot) const;
    std::size_t operator()(const Lookup &Wanted) const;
  };
  struct SlotEqual {
    using is_transparent = void;
    const std::deque<LedgerCell> *m_Cells;
    bool operator()(LedgerSlot A, LedgerSlot B) const { return A == B; }
    bool operator()(const Lookup &Wanted, LedgerSlot Slot) const;
    bool operator()(LedgerSlot Slot, const Lookup &Wanted) const;
  };
  using Part = boost::unordered_flat_set<LedgerSlot, SlotHash, SlotEqual>;

  static std::size_t partOf(const KeyHash &Key) {
    return Key.m_High % PartCount;
  }

  // On the heap, so that the index can point to it when the table moves.
  std::unique_ptr<std::deque<LedgerCell>> m_Cells;
  std::vector<Part> m_Parts;
  // Head of the chain of free slots.
  LedgerSlot m_Free = NoSlot;
  std::size_t m_Size = 0;
};

} // namespace mangocart

#endif
