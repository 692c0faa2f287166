// What an agent decides about calls and orders: no key is started twice, a
// revoked key is never started, and an order with an old fencing number isn't
// carried out.
//
// Why a key that was forgotten can't start again: the guard keeps the highest
// grant time that any call or revocation has shown it, a lower bound of the
// replicated time that only grows. A call whose deadline lies at or before that
// bound is refused, and an entry of the memory is dropped only when the bound
// is past its deadline, by the settlement window. So whatever was dropped is
// refused by its age. No clock of the agent or of an entry takes part.
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

// A claim as the leader granted it; calls and revocations carry it.
struct ClaimTicket {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_AgentIncarnation = 0;
  // Index of the claim in the log.
  std::uint64_t m_ClaimNumber = 0;
  // Replicated time of the grant, and the deadline counted from there.
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;

  bool operator==(const ClaimTicket &) const = default;
};

struct GuardLimits {
  // Keys that calls may bring in; more calls are refused as overloaded.
  // Revocations may bring in as many again.
  std::size_t m_MaxKeys = 50'000;
  // Calls running at once, idempotent ones included.
  std::size_t m_MaxOutstanding = 256;
  // Bytes of answers kept for the settler; the oldest are dropped first.
  std::size_t m_MaxAnswerBytes = std::size_t{16} * 1024 * 1024;
  // How long past its deadline a key is remembered, in replicated time: the
  // time that the settler has to ask for it.
  std::uint64_t m_SettlementWindowMs = 15ULL * 60 * 1000;

  bool operator==(const GuardLimits &) const = default;
};

enum class KeyState : std::uint8_t {
  Running,
  // The answer is kept, or was too large or dropped for room.
  Finished,
  // It isn't known whether the backend server ran it.
  Lost,
  // Never started, and never will be.
  Revoked
};

struct GuardedKey {
  KeyState m_State = KeyState::Running;
  // The newest claim seen for the key.
  std::uint64_t m_ClaimNumber = 0;
  // Latest deadline of any claim seen for the key, in replicated time.
  std::uint64_t m_ExpiresMs = 0;
  // The serialized answer; empty unless Finished and kept.
  std::string m_Answer;

  bool operator==(const GuardedKey &) const = default;
};

struct AgentGuard {
  GuardLimits m_Limits;
  // Incarnation in force. All incarnations from m_FirstIncarnation on belong to
  // this process, so its memory covers them.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_FirstIncarnation = 0;
  bool m_Leaving = false;
  // Lower bound of the replicated time; only grows.
  std::uint64_t m_TimeBoundMs = 0;
  std::size_t m_Outstanding = 0;
  // By customer and hash of the key.
  using Name = std::pair<std::string, KeyHash>;
  std::map<Name, GuardedKey> m_Keys;
  // Expiry times, the earliest first, with the key that each is for. Stale
  // pairs, of keys whose time moved on, are passed over.
  std::multimap<std::uint64_t, Name> m_Expiry;
  // Keys with an answer, in the order in which they finished.
  std::deque<Name> m_Answered;
  std::size_t m_AnswerBytes = 0;
  // Fencing number in force by the name that it is drawn for; absent until
  // learnt.
  std::map<std::string, std::uint64_t> m_Fences;
};

// The guard of a process that has just started.
AgentGuard startGuard(std::uint64_t Incarnation, const GuardLimits &Limits);

// Goes on under a higher incarnation, keeping all memory; a lower one is
// ignored.
void raiseIncarnation(AgentGuard &Guard, std::uint64_t Incarnation);

// From here on new calls are refused; running ones go on.
void startLeaving(AgentGuard &Guard);

enum class BeginVerdict : std::uint8_t {
  // Send it to the backend server now, and call finish() or finishIdempotent().
  Start,
  // All others are proof that this call didn't start, and never will.
  WrongIncarnation,
  KeyStarted,
  KeyRevoked,
  Leaving,
  Overloaded,
  DeadlinePassed
};

// True when the refusal proves that the key itself was never run here. False
// for KeyStarted: another call of the same attempt may have run it.
bool provesNotRun(BeginVerdict Verdict);

BeginVerdict begin(AgentGuard &Guard, const ClaimTicket &Ticket);
BeginVerdict beginIdempotent(AgentGuard &Guard);

enum class FinishKind : std::uint8_t {
  // The backend server's whole answer is there.
  Answered,
  // Proof that the backend server got nothing, as no connection was made.
  NeverSent,
  // The answer was lost on its way.
  Broken
};

// Ends a call that begin() started. Answer: the serialized StoredAnswer, used
// with Answered only; one larger than the whole room isn't kept.
void finish(AgentGuard &Guard, const ClaimTicket &Ticket, FinishKind Kind,
            std::string Answer);
void finishIdempotent(AgentGuard &Guard);

enum class RevokeState : std::uint8_t {
  // Never started, and never will be.
  Revoked,
  Running,
  // m_Answer is empty when it wasn't kept.
  Finished,
  // Another incarnation, an answer that was lost, or too long ago to say.
  UnknownHere
};

struct RevokeResult {
  RevokeState m_State = RevokeState::UnknownHere;
  std::string m_Answer;

  bool operator==(const RevokeResult &) const = default;
};

// Settles a claim that is in doubt: from now on it never starts unless it has.
RevokeResult revoke(AgentGuard &Guard, const ClaimTicket &Ticket);

// The number in force was learnt from a majority, or a newer one was seen.
// Numbers only grow.
void learnFence(AgentGuard &Guard, const std::string &Group,
                std::uint64_t Number);

enum class OrderVerdict : std::uint8_t {
  CarryOut,
  // A newer number is in force.
  OldNumber,
  // Since the start of this process the number in force hasn't been learnt.
  NotLearnt
};

// The number in force; absent until learnt.
std::optional<std::uint64_t> fenceInForce(const AgentGuard &Guard,
                                          const std::string &Group);

// An order under a number drawn for the group. A newer number is in force from
// then on; the same number again is the same sender's next order.
OrderVerdict checkOrder(AgentGuard &Guard, const std::string &Group,
                        std::uint64_t Number);

} // namespace mangocart

#endif
