// State machine of one non-idempotent request at an entry, from its claim to
// its settled outcome; also used to settle a claim whose entry has failed.
// Decides when the request may be sent, when an outcome is proven, and what the
// caller is answered. docs/AT-MOST-ONCE.md states the rules.
#ifndef MANGOCART_STATE_SETTLEMENT_H
#define MANGOCART_STATE_SETTLEMENT_H

#include "Core/RuntimeClock.h"
#include "Log.pb.h"
#include "State/AgentGuard.h"
#include "State/Ledger.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mangocart {

struct SettlementLimits {
  // Maximum number of attempts per request.
  std::uint32_t m_MaxAttempts = 3;
  // No attempt is claimed if less time is left until the deadline.
  Duration m_MinTimeForAttempt = std::chrono::milliseconds(20);
  // Delay before a claim in doubt is proposed again.
  Duration m_ClaimRetryDelay = std::chrono::milliseconds(50);
  // Delay before a revocation is repeated while the agent is running the call
  // or is unreachable.
  Duration m_RevokeRetryDelay = std::chrono::milliseconds(200);
  // The caller is answered once the agent has been unreachable for this long.
  Duration m_CallerAnswerTimeout = std::chrono::seconds(2);
  // The outcome is settled as unknown once the agent has been unreachable for
  // this long.
  Duration m_UnreachableTimeout = std::chrono::seconds(30);
  // Time after the deadline at which the entry leaves the claim to the leader's
  // settler.
  Duration m_EntryGrace = std::chrono::seconds(5);
  // Retry delay sent to callers with a refusal.
  Duration m_RetryAfter = std::chrono::seconds(1);

  bool operator==(const SettlementLimits &) const = default;
};

// The request to be settled. Immutable after the start.
struct SettlementRequest {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint64_t m_Digest = 0;
  std::string m_Entry;
  // Unique across all entries and their restarts.
  std::string m_RequestId;
  TimePoint m_Deadline;
  // True if the entry generated the key for this request, so that no other
  // request can have it.
  bool m_IsGeneratedKey = false;

  bool operator==(const SettlementRequest &) const = default;
};

struct CallTarget {
  std::string m_BackendServer;
  std::uint64_t m_Incarnation = 0;

  bool operator==(const CallTarget &) const = default;
};

// ---- Events. Events about a call contain its claim number, so that a late
// message about an earlier attempt isn't applied to the current one.

// A backend server was chosen for the next attempt.
struct TargetChosen {
  CallTarget m_Target;
};
// No backend server is available.
struct NoTarget {};
struct ClaimReplied {
  schema::ClaimReply::Verdict m_Verdict =
      schema::ClaimReply::VERDICT_UNSPECIFIED;
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  // Serialized StoredAnswer; empty if there is none.
  std::string m_Answer;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_ClaimNumber = 0;
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;
  std::uint32_t m_RetryAfterMs = 0;
};
// The proposal of the claim failed: nothing was appended, or, if in doubt, it
// may have been.
struct ClaimFailed {
  bool m_IsInDoubt = false;
};
// The complete answer of the backend server, serialized as StoredAnswer.
struct AnswerArrived {
  std::uint64_t m_ClaimNumber = 0;
  std::string m_Answer;
};
// The agent refused the call; m_ProvesNotRun is the result of provesNotRun().
struct CallRefused {
  std::uint64_t m_ClaimNumber = 0;
  bool m_ProvesNotRun = false;
};
struct CallLost {
  std::uint64_t m_ClaimNumber = 0;
  // True if the agent can't have received any part of the request.
  bool m_NothingSent = false;
};
struct RevokeReplied {
  std::uint64_t m_ClaimNumber = 0;
  RevokeResult m_Result;
};
// The agent was unreachable for the revocation.
struct RevokeFailed {
  std::uint64_t m_ClaimNumber = 0;
};
// The backend server has announced a higher incarnation than the claim's.
// Ignored while the agent is reachable: its own replies to revocations decide
// then.
struct AgentReplaced {};
// The outcome that the ledger holds after the settlement; OUTCOME_UNSPECIFIED
// if the key isn't settled.
struct SettleReplied {
  std::uint64_t m_ClaimNumber = 0;
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  std::string m_Answer;
};
// The settlement wasn't committed, or it is unknown whether it was.
struct SettleFailed {
  std::uint64_t m_ClaimNumber = 0;
};
struct CallerDisconnected {};
// The time set by SetTimer is reached, or the deadline has passed.
struct TimerExpired {};

using SettlementEvent =
    std::variant<TargetChosen, NoTarget, ClaimReplied, ClaimFailed,
                 AnswerArrived, CallRefused, CallLost, RevokeReplied,
                 RevokeFailed, AgentReplaced, SettleReplied, SettleFailed,
                 CallerDisconnected, TimerExpired>;

// ---- Effects, to be executed in order.

// Choose a backend server, if possible one that isn't in m_Tried; reply with
// TargetChosen or NoTarget.
struct ChooseTarget {
  std::vector<std::string> m_Tried;

  bool operator==(const ChooseTarget &) const = default;
};
struct ProposeClaim {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint64_t m_Digest = 0;
  std::uint32_t m_Attempt = 0;
  CallTarget m_Target;
  std::string m_Entry;
  std::string m_RequestId;
  std::uint32_t m_DeadlineMs = 0;

  bool operator==(const ProposeClaim &) const = default;
};
// Send the request to the agent once: the transport must not retry a failed
// call.
struct Dispatch {
  std::string m_BackendServer;
  ClaimTicket m_Ticket;

  bool operator==(const Dispatch &) const = default;
};
struct SendRevoke {
  std::string m_BackendServer;
  ClaimTicket m_Ticket;

  bool operator==(const SendRevoke &) const = default;
};
struct ProposeSettle {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_ClaimNumber = 0;
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  std::string m_Answer;

  bool operator==(const ProposeSettle &) const = default;
};
enum class AnswerReason : std::uint8_t {
  // The backend server's answer, new or stored.
  Answered,
  // The key is in use by a request with other content.
  DigestDiffers,
  // Another request with the key is in progress.
  InProgress,
  // A majority of the voters is unreachable.
  NoQuorum,
  LedgerFull,
  // Refused by every backend server that was tried, or none was available.
  NoBackendServer,
  DeadlinePassed,
  // The outcome couldn't be determined, or not in time.
  InDoubt
};
// Answer the caller; emitted exactly once unless the caller has disconnected.
// RAN with an empty answer means that the answer wasn't stored.
struct AnswerCaller {
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  AnswerReason m_Reason = AnswerReason::Answered;
  std::string m_Answer;
  // 0: a retry makes no sense.
  std::uint32_t m_RetryAfterMs = 0;

  bool operator==(const AnswerCaller &) const = default;
};
// Send TimerExpired at this time; replaces an earlier SetTimer.
struct SetTimer {
  TimePoint m_When;

  bool operator==(const SetTimer &) const = default;
};
// The settlement has ended. Later events may still be passed to step().
struct Finished {
  bool operator==(const Finished &) const = default;
};

using SettlementEffect =
    std::variant<ChooseTarget, ProposeClaim, Dispatch, SendRevoke,
                 ProposeSettle, AnswerCaller, SetTimer, Finished>;
using SettlementEffects = std::vector<SettlementEffect>;

// ---- State.

enum class SettlementPhase : std::uint8_t {
  Choosing,
  Claiming,
  // The request was sent and its answer is awaited.
  Dispatched,
  // A revocation was sent to find out the state of the call.
  Revoking,
  // The outcome is decided and its settlement proposed.
  Committing,
  Done
};

struct Settlement {
  SettlementLimits m_Limits;
  SettlementRequest m_Request;
  SettlementPhase m_Phase = SettlementPhase::Choosing;
  // True if the claim of a failed entry is settled: there is no caller and
  // nothing is claimed.
  bool m_IsOrphaned = false;
  // Once true, no further attempt is claimed. Also set if the caller has
  // disconnected.
  bool m_IsCallerAnswered = false;
  // It is unknown whether a claim of this attempt was committed.
  bool m_IsClaimInDoubt = false;
  // Set when Dispatch was emitted for the grant; cleared with the next attempt.
  bool m_WasDispatched = false;
  // The attempt to claim or the claimed one; 0 if the ledger is only queried.
  std::uint32_t m_Attempt = 1;
  std::uint32_t m_ClaimsMade = 0;
  CallTarget m_Target;
  // The granted claim; valid after the grant.
  ClaimTicket m_Ticket;
  std::vector<std::string> m_Tried;
  // Set in Committing; the outcome of a claim never changes after that.
  schema::Outcome m_DecidedOutcome = schema::OUTCOME_UNSPECIFIED;
  std::string m_Answer;
  // When the agent became unreachable; valid while m_IsUnreachable.
  TimePoint m_UnreachableSince;
  bool m_IsUnreachable = false;

  bool operator==(const Settlement &) const = default;
};

// Starts the settlement of a caller's request; the first effect is
// ChooseTarget.
Settlement startSettlement(const SettlementRequest &Request,
                           const SettlementLimits &Limits, TimePoint Now,
                           SettlementEffects &Effects);

// Starts the settlement of a claim past its deadline; the first effect is
// SendRevoke.
Settlement startOrphanedClaim(const OpenClaim &Open,
                              const SettlementLimits &Limits, TimePoint Now,
                              SettlementEffects &Effects);

// Processes one event. Events that don't match the phase change nothing, except
// a late grant and a late answer, which are settled. Requires that each
// Dispatch reaches an agent at most once.
SettlementEffects step(Settlement &State, const SettlementEvent &Event,
                       TimePoint Now);

// ---- Conversions.

ClaimReplied claimReplied(const schema::ClaimReply &Reply);
SettleReplied settleReplied(const schema::SettleReply &Reply,
                            std::uint64_t ClaimNumber);
schema::Claim claimCommand(const ProposeClaim &Effect);
schema::Settle settleCommand(const ProposeSettle &Effect);

} // namespace mangocart

#endif
