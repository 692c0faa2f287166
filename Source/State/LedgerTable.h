// Compact storage of the ledger records: a slab of fixed-size records, indexed
// by customer and hash of the key. The index holds only slot numbers and is
// split into shards, so that a rehash copies only one shard and blocks the
// state machine only for a short time.
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

// A length-prefixed byte string on the heap that takes one pointer. An empty
// one needs no allocation.
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

struct LedgerRow {
  KeyHash m_Key;
  std::uint64_t m_Digest = 0;
  std::uint64_t m_ClaimNumber = 0;
  // The serialized StoredAnswer; empty if none is stored.
  CompactBytes m_Answer;
  // Index into Ledger::m_Customers.
  std::uint32_t m_Customer = 0;
  // Replicated time of the settlement in seconds, rounded up.
  std::uint32_t m_SettledS = 0;
  // Links of the list of settled records; m_Next also links the free slots.
  LedgerSlot m_Previous = NoSlot;
  LedgerSlot m_Next = NoSlot;
  std::uint16_t m_Attempt = 0;
  LedgerOutcome m_Outcome = LedgerOutcome::InProgress;
};

class LedgerTable {
public:
  LedgerTable();

  // Returns NoSlot if there is no such record.
  LedgerSlot find(std::uint32_t Customer, const KeyHash &Key) const;
  // The record must not exist yet.
  LedgerSlot insert(std::uint32_t Customer, const KeyHash &Key);
  void erase(LedgerSlot Slot);

  LedgerRow &operator[](LedgerSlot Slot) { return (*m_Rows)[Slot]; }
  const LedgerRow &operator[](LedgerSlot Slot) const { return (*m_Rows)[Slot]; }
  std::size_t size() const { return m_Size; }

private:
  static constexpr std::size_t ShardCount = 64;

  struct Lookup {
    std::uint32_t m_Customer;
    KeyHash m_Key;
  };
  // Hash and equality compare the records that the slot numbers refer to.
  struct SlotHash {
    using is_transparent = void;
    using is_avalanching = void;
    const std::deque<LedgerRow> *m_Rows;
    std::size_t operator()(LedgerSlot Slot) const;
    std::size_t operator()(const Lookup &Wanted) const;
  };
  struct SlotEqual {
    using is_transparent = void;
    const std::deque<LedgerRow> *m_Rows;
    bool operator()(LedgerSlot A, LedgerSlot B) const { return A == B; }
    bool operator()(const Lookup &Wanted, LedgerSlot Slot) const;
    bool operator()(LedgerSlot Slot, const Lookup &Wanted) const;
  };
  using Shard = boost::unordered_flat_set<LedgerSlot, SlotHash, SlotEqual>;

  static std::size_t shardOf(const KeyHash &Key) {
    return Key.m_High % ShardCount;
  }

  // On the heap, so that the pointers in the index stay valid when the table is
  // moved.
  std::unique_ptr<std::deque<LedgerRow>> m_Rows;
  std::vector<Shard> m_Shards;
  // Head of the list of free slots.
  LedgerSlot m_FirstFreeSlot = NoSlot;
  std::size_t m_Size = 0;
};

} // namespace mangocart

#endif
