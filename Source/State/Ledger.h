// The ledger of non-idempotent requests: which attempt of which key may run,
// and its outcome. Part of the replicated state; uses only the replicated time.
// docs/AT-MOST-ONCE.md states the rules.
#ifndef MANGOCART_STATE_LEDGER_H
#define MANGOCART_STATE_LEDGER_H

#include "Log.pb.h"
#include "State/LedgerTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangocart {

// Must be the same on every voter, because the result of a command depends on
// them; so they are constants of the program and not settings.
struct LedgerLimits {
  std::size_t m_MaxRecords = 1'000'000;
  // Size of records and stored answers, as counted in Ledger::m_Bytes.
  std::size_t m_MaxBytes = std::size_t{96} * 1024 * 1024;
  // For a larger answer only the outcome is stored.
  std::size_t m_MaxAnswerBytes = std::size_t{8} * 1024;
  // Bounds the time that one command spends on expiring records.
  std::size_t m_MaxExpiredPerCommand = 64;

  bool operator==(const LedgerLimits &) const = default;
};

// Data of an attempt in progress, in addition to its record.
struct OpenClaim {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::string m_BackendServer;
  std::uint64_t m_AgentIncarnation = 0;
  std::string m_Entry;
  std::string m_RequestId;
  std::uint32_t m_Attempt = 0;
  // Log index of the claim.
  std::uint64_t m_ClaimNumber = 0;
  // Replicated time of the grant.
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;

  bool operator==(const OpenClaim &) const = default;
};

struct Ledger {
  LedgerLimits m_Limits;
  LedgerTable m_Table;
  // The attempts in progress by claim number: exactly those of the records
  // whose outcome is InProgress, which never expire.
  std::map<std::uint64_t, OpenClaim> m_Open;
  // Linked list of the settled records from the oldest settlement to the
  // newest, through LedgerRow::m_Next. Their settlement times never decrease.
  LedgerSlot m_OldestSettled = NoSlot;
  LedgerSlot m_NewestSettled = NoSlot;
  // Customers in the order of their first claim; a record refers to its
  // customer by index.
  std::vector<std::string> m_Customers;
  std::unordered_map<std::string, std::uint32_t> m_CustomerNumbers;
  // Memory used by the records, computed in the same way by every voter.
  std::size_t m_Bytes = 0;
};

// Registers an attempt. Grants attempt 1 of an unknown key, the next attempt of
// a key that was settled as not run, and the repetition of a granted claim
// (same request id, still in progress). TimeMs is the replicated time, Index
// the log index of the command.
schema::ClaimReply claim(Ledger &State, const schema::Claim &Command,
                         std::uint64_t Index, std::uint64_t TimeMs);

// Records the outcome of a claimed attempt and returns the outcome that the
// ledger holds. The first settlement of a claim is final, except that UNKNOWN
// may later become RAN. A settlement of an unknown or an older claim changes
// nothing.
schema::SettleReply settle(Ledger &State, const schema::Settle &Command,
                           std::uint64_t TimeMs);

// Removes settled records that are older than the retention, oldest first, at
// most m_MaxExpiredPerCommand of them. With RetentionMs 0 records never expire.
void expire(Ledger &State, std::uint64_t TimeMs, std::uint64_t RetentionMs);

// Returns the attempts in progress whose deadline passed more than GraceMs ago,
// oldest claim first, at most MaxCount, for the settler.
std::vector<OpenClaim> overdueClaims(const Ledger &State, std::uint64_t TimeMs,
                                     std::uint64_t GraceMs,
                                     std::size_t MaxCount);

// Appends the records to a serialized StateSnapshot in chunks, so that the
// ledger is never held in memory twice. Concatenated serialized messages are
// parsed as one merged message.
void appendLedger(const Ledger &State, std::string &Snapshot);

// Restores one record; to be called for the records of a snapshot in order.
void restoreRecord(Ledger &State, const schema::LedgerRecord &Record);

} // namespace mangocart

#endif
