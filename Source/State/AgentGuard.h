// Admission of calls and orders at an agent: a key is never started twice, a
// revoked key is never started, and an order with a stale fencing number isn't
// carried out.
//
// A key whose record was removed can't start again: the guard keeps the highest
// grant time seen in any call or revocation, a monotonic lower bound of the
// replicated time. A call whose deadline is at or before that bound is refused,
// and a record is removed only when the bound is past its deadline by the
// settlement window. A call for a removed key is therefore refused because its
// deadline has passed. No clock of the agent or of an entry is involved.
#ifndef MANGOCART_STATE_AGENTGUARD_H
#define MANGOCART_STATE_AGENTGUARD_H

#include "State/KeyHash.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mangocart {

// A claim granted by the leader; sent with calls and revocations.
struct ClaimTicket {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_AgentIncarnation = 0;
  // Log index of the claim.
  std::uint64_t m_ClaimNumber = 0;
  // Replicated time of the grant, and the deadline relative to it.
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;

  bool operator==(const ClaimTicket &) const = default;
};

struct GuardLimits {
  // Keys recorded for calls; further calls are refused as overloaded.
  // Revocations may add the same number of keys again.
  std::size_t m_MaxKeys = 50'000;
  // Maximum number of concurrent calls, including idempotent ones.
  std::size_t m_MaxOutstanding = 256;
  // Total size of the answers kept for the settler; the oldest are evicted
  // first.
  std::size_t m_MaxAnswerBytes = std::size_t{16} * 1024 * 1024;
  // How long a key is kept after its deadline, in replicated time: the time
  // within which the settler has to query it.
  std::uint64_t m_SettlementWindowMs = 15ULL * 60 * 1000;

  bool operator==(const GuardLimits &) const = default;
};

enum class KeyState : std::uint8_t {
  Running,
  // The answer is kept, was too large, or has been evicted.
  Finished,
  // Whether the backend server ran it is unknown.
  Lost,
  // Never started, and never will be.
  Revoked
};

struct GuardedKey {
  KeyState m_State = KeyState::Running;
  // Highest claim number seen for the key.
  std::uint64_t m_ClaimNumber = 0;
  // Latest deadline of all claims seen for the key, in replicated time.
  std::uint64_t m_ExpiresMs = 0;
  // The serialized StoredAnswer; empty unless Finished and kept.
  std::string m_Answer;

  bool operator==(const GuardedKey &) const = default;
};

struct AgentGuard {
  GuardLimits m_Limits;
  // The current incarnation. All incarnations from m_FirstIncarnation on belong
  // to this process, so its records cover them.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_FirstIncarnation = 0;
  bool m_Leaving = false;
  // Monotonic lower bound of the replicated time.
  std::uint64_t m_TimeBoundMs = 0;
  std::size_t m_Outstanding = 0;
  // The customer and the hash of the idempotency key.
  using KeyId = std::pair<std::string, KeyHash>;
  std::map<KeyId, GuardedKey> m_Keys;
  // Keys by expiry time, earliest first. Stale items, left behind when the
  // expiry of a key is extended, are skipped.
  std::multimap<std::uint64_t, KeyId> m_Expiry;
  // Keys with a kept answer, in the order in which they finished.
  std::deque<KeyId> m_AnswerOrder;
  std::size_t m_AnswerBytes = 0;
  // Current fencing number by the name that it was issued for; absent until
  // learned.
  std::map<std::string, std::uint64_t> m_Fences;
};

// Returns the guard of a process that has just started.
AgentGuard startGuard(std::uint64_t Incarnation, const GuardLimits &Limits);

// Switches to a higher incarnation and keeps all records; a lower one is
// ignored.
void raiseIncarnation(AgentGuard &Guard, std::uint64_t Incarnation);

// Refuses new calls from now on; running calls continue.
void startLeaving(AgentGuard &Guard);

enum class BeginVerdict : std::uint8_t {
  // Send the call to the backend server, then call finish() or
  // finishIdempotent().
  Start,
  // With every other verdict this call was not started and never will be.
  WrongIncarnation,
  KeyStarted,
  KeyRevoked,
  Leaving,
  Overloaded,
  DeadlinePassed
};

// True if the refusal proves that the key was never run here. False for
// KeyStarted: another call of the same attempt may have run it.
bool provesNotRun(BeginVerdict Verdict);

BeginVerdict begin(AgentGuard &Guard, const ClaimTicket &Ticket);
BeginVerdict beginIdempotent(AgentGuard &Guard);

enum class FinishKind : std::uint8_t {
  // The complete answer of the backend server was received.
  Answered,
  // No connection was established, so the backend server received nothing.
  NeverSent,
  // The connection failed before the complete answer was received.
  AnswerLost
};

// Ends a call that begin() started. Answer is the serialized StoredAnswer, used
// with Answered only; it isn't kept if it is larger than
// GuardLimits::m_MaxAnswerBytes.
void finish(AgentGuard &Guard, const ClaimTicket &Ticket, FinishKind Kind,
            std::string Answer);
void finishIdempotent(AgentGuard &Guard);

enum class RevokeState : std::uint8_t {
  // Never started, and never will be.
  Revoked,
  Running,
  // m_Answer is empty if the answer wasn't kept.
  Finished,
  // The claim belongs to another process, its answer was lost, or its record
  // may have been removed.
  UnknownHere
};

struct RevokeResult {
  RevokeState m_State = RevokeState::UnknownHere;
  std::string m_Answer;

  bool operator==(const RevokeResult &) const = default;
};

// Revokes a claim whose outcome is in doubt: unless it has started already, it
// never will.
RevokeResult revoke(AgentGuard &Guard, const ClaimTicket &Ticket);

// Records a fencing number learned from a majority of the voters or seen in an
// order. The current number never decreases.
void learnFence(AgentGuard &Guard, const std::string &Group,
                std::uint64_t Number);

enum class OrderVerdict : std::uint8_t {
  CarryOut,
  // The number is lower than the current one.
  OldNumber,
  // The current number hasn't been learned since this process started.
  NotLearnt
};

// Returns the current number; absent until learned.
std::optional<std::uint64_t> fenceInForce(const AgentGuard &Guard,
                                          const std::string &Group);

// Checks the fencing number of an order for the group. A higher number becomes
// the current one; an equal number is another order of the same sender.
OrderVerdict checkOrder(AgentGuard &Guard, const std::string &Group,
                        std::uint64_t Number);

} // namespace mangocart

#endif
