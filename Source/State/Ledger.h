// The ledger of non-idempotent requests: which attempt of which key may run,
// and how it ended. Part of the replicated state; the only time is the
// replicated one. docs/AT-MOST-ONCE.md states the rules.
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

// The same for every voter, because the outcome of a command depends on them;
// constants of the program, not settings.
struct LedgerLimits {
  std::size_t m_MaxRecords = 1'000'000;
  // Records and stored answers, as Ledger::m_Bytes counts them.
  std::size_t m_MaxBytes = std::size_t{96} * 1024 * 1024;
  // A larger answer isn't kept: its outcome is, without the answer.
  std::size_t m_MaxAnswerBytes = std::size_t{8} * 1024;
  // Records expired in one command at most, to bound its time.
  std::size_t m_MaxExpiredAtOnce = 64;

  bool operator==(const LedgerLimits &) const = default;
};

// What is kept of an attempt while it is in progress, besides its record.
struct OpenClaim {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::string m_BackendServer;
  std::uint64_t m_AgentIncarnation = 0;
  std::string m_Entry;
  std::string m_RequestId;
  std::uint32_t m_Attempt = 0;
  // Index of the claim in the log.
  std::uint64_t m_ClaimNumber = 0;
  // Replicated time of the grant.
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;

  bool operator==(const OpenClaim &) const = default;
};

struct Ledger {
  LedgerLimits m_Limits;
  LedgerTable m_Table;
  // The attempts in progress by claim number. A record is here exactly while
  // its outcome is InProgress; it never expires then.
  std::map<std::uint64_t, OpenClaim> m_Open;
  // Settled records from the oldest settlement to the newest, chained by
  // LedgerCell::m_Next. Their times never fall.
  LedgerSlot m_OldestSettled = NoSlot;
  LedgerSlot m_NewestSettled = NoSlot;
  // Customers in the order of their first claim; a record names its customer by
  // the number.
  std::vector<std::string> m_Customers;
  std::unordered_map<std::string, std::uint32_t> m_CustomerNumbers;
  // What the records cost, counted alike by every voter.
  std::size_t m_Bytes = 0;
};

// Registers an attempt. Granted are attempt 1 of an unknown key, the next
// attempt of a key settled as not run, and a grant's own repetition (same
// request id, still in progress). TimeMs is the replicated time, Index the
// place of the command in the log.
schema::ClaimReply claim(Ledger &Book, const schema::Claim &Command,
                         std::uint64_t Index, std::uint64_t TimeMs);

// Records how a claimed attempt ended and returns what the ledger holds. The
// first settlement of a claim stands, except that UNKNOWN may later be refined
// to RAN. A settlement of an unknown or an older claim changes nothing.
schema::SettleReply settle(Ledger &Book, const schema::Settle &Command,
                           std::uint64_t TimeMs);

// Forgets settled records that are older than the retention, oldest first, at
// most m_MaxExpiredAtOnce of them. Retention zero keeps everything.
void expire(Ledger &Book, std::uint64_t TimeMs, std::uint64_t RetentionMs);

// Attempts in progress whose deadline has passed by more than GraceMs, oldest
// claim first, at most MaxCount: the settler's work.
std::vector<OpenClaim> overdueClaims(const Ledger &Book, std::uint64_t TimeMs,
                                     std::uint64_t GraceMs,
                                     std::size_t MaxCount);

// Appends the records to a serialized StateSnapshot, a few at a time, so that
// no second copy of the whole ledger stands in memory. Serialized messages that
// follow each other are read as one.
void appendLedger(const Ledger &Book, std::string &Snapshot);

// Puts back one record; the records of a snapshot in their order.
void restoreRecord(Ledger &Book, const schema::LedgerRecord &Record);

} // namespace mangocart

#endif
