// One non-idempotent request at an entry, from its claim to its settled
// outcome; and the settler of claims that a dead entry left behind. Decides
// when the request may be sent, when an outcome is proven, and what the caller
// is told. docs/AT-MOST-ONCE.md states the rules.
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
  // Attempts that one request may claim.
  std::uint32_t m_MaxAttempts = 3;
  // No attempt is claimed with less time left than this.
  Duration m_MinTimeForAttempt = std::chrono::milliseconds(20);
  // Between two proposals of a claim that is in doubt.
  Duration m_ClaimRepeatDelay = std::chrono::milliseconds(50);
  // Between two revocations while the agent is running the call or can't be
  // reached.
  Duration m_RevokeRepeatDelay = std::chrono::milliseconds(200);
  // The caller isn't kept waiting for an agent unreachable for longer.
  Duration m_CallerPatience = std::chrono::seconds(2);
  // An agent unreachable for longer makes the outcome unknown for good.
  Duration m_UnreachableLimit = std::chrono::seconds(30);
  // After the deadline the entry leaves the rest to the leader's settler.
  Duration m_EntryPatience = std::chrono::seconds(5);
  // What callers are told with a refusal.
  Duration m_RetryAfter = std::chrono::seconds(1);

  bool operator==(const SettlementLimits &) const = default;
};

// Who asks for what. Immutable after the start.
struct SettlementRequest {
  std::string m_Customer;
  std::string m_IdempotencyKey;
  std::uint64_t m_Digest = 0;
  std::string m_Entry;
  // Unique over all requests of all entries, restarts included.
  std::string m_RequestId;
  TimePoint m_Deadline;
  // True when the key was made here for this very request, so that no other
  // request with it can exist.
  bool m_IsFreshKey = false;

  bool operator==(const SettlementRequest &) const = default;
};

struct CallTarget {
  std::string m_BackendServer;
  std::uint64_t m_Incarnation = 0;

  bool operator==(const CallTarget &) const = default;
};

// ---- Events. Those about a call name its claim, so that a late message about
// an earlier attempt isn't taken for news of the present one.

// A backend server was chosen for the next attempt.
struct TargetChosen {
  CallTarget m_Target;
};
// No backend server can be chosen.
struct NoTarget {};
struct ClaimReplied {
  schema::ClaimReply::Verdict m_Verdict =
      schema::ClaimReply::VERDICT_UNSPECIFIED;
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  // Serialized StoredAnswer; empty when there is none.
  std::string m_Answer;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_ClaimNumber = 0;
  std::uint64_t m_ClaimedMs = 0;
  std::uint32_t m_DeadlineMs = 0;
  std::uint32_t m_RetryAfterMs = 0;
};
// The proposal of the claim failed: nothing was appended, or that isn't known.
struct ClaimFailed {
  bool m_IsInDoubt = false;
};
// The whole answer of the backend server, serialized as StoredAnswer.
struct AnswerArrived {
  std::uint64_t m_ClaimNumber = 0;
  std::string m_Answer;
};
// The agent refused; m_ProvesNotRun as provesNotRun() says.
struct CallRefused {
  std::uint64_t m_ClaimNumber = 0;
  bool m_ProvesNotRun = false;
};
struct CallLost {
  std::uint64_t m_ClaimNumber = 0;
  // True when the agent can't have received any of the request.
  bool m_NothingSent = false;
};
struct RevokeReplied {
  std::uint64_t m_ClaimNumber = 0;
  RevokeResult m_Result;
};
// The agent couldn't be reached for the revocation.
struct RevokeFailed {
  std::uint64_t m_ClaimNumber = 0;
};
// The backend server has announced a higher incarnation than the claim's. Only
// counts while the agent that was called can't be reached: else it says itself
// what it knows.
struct AgentReplaced {};
// What the ledger holds after the settlement; OUTCOME_UNSPECIFIED when it holds
// nothing settled.
struct SettleReplied {
  std::uint64_t m_ClaimNumber = 0;
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  std::string m_Answer;
};
// The settlement wasn't committed, or that isn't known.
struct SettleFailed {
  std::uint64_t m_ClaimNumber = 0;
};
// The caller closed its connection.
struct CallerGone {};
// A wait that WakeAt asked for is over, or the deadline has passed.
struct Woken {};

using SettlementEvent =
    std::variant<TargetChosen, NoTarget, ClaimReplied, ClaimFailed,
                 AnswerArrived, CallRefused, CallLost, RevokeReplied,
                 RevokeFailed, AgentReplaced, SettleReplied, SettleFailed,
                 CallerGone, Woken>;

// ---- Effects, to be carried out in order.

// Choose a backend server, not one of these if another can be had; reply with
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
// Send the request to the agent, once: a failed call is never repeated by the
// transport.
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
  // No majority of the voters can be reached.
  NoQuorum,
  LedgerFull,
  // Refused by every backend server that was tried, or none was there.
  NoBackendServer,
  DeadlinePassed,
  // The outcome can't be found out, or not in time.
  InDoubt
};
// Answer the caller; happens exactly once unless the caller has gone. Ran
// without an answer means that it wasn't kept.
struct AnswerCaller {
  schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
  AnswerReason m_Reason = AnswerReason::Answered;
  std::string m_Answer;
  // Zero when there is nothing to come back for.
  std::uint32_t m_RetryAfterMs = 0;

  bool operator==(const AnswerCaller &) const = default;
};
// Send Woken at this time; replaces an earlier wish.
struct WakeAt {
  TimePoint m_When;

  bool operator==(const WakeAt &) const = default;
};
// Nothing more is to be done. An event that comes later still may be passed in.
struct Finished {
  bool operator==(const Finished &) const = default;
};

using SettlementEffect =
    std::variant<ChooseTarget, ProposeClaim, Dispatch, SendRevoke,
                 ProposeSettle, AnswerCaller, WakeAt, Finished>;
using SettlementEffects = std::vector<SettlementEffect>;

// ---- State.

enum class SettlementPhase : std::uint8_t {
  Choosing,
  Claiming,
  // The request was sent; its end is awaited.
  Dispatched,
  // The agent is asked what became of the call.
  Revoking,
  // The outcome is decided and proposed.
  Committing,
  Done
};

struct Settlement {
  SettlementLimits m_Limits;
  SettlementRequest m_Request;
  SettlementPhase m_Phase = SettlementPhase::Choosing;
  // Settles a claim of an entry that is gone: has no caller, claims nothing.
  bool m_IsOrphan = false;
  // Once true, no further attempt is claimed.
  bool m_IsCallerAnswered = false;
  // A claim of this attempt may have been committed without our knowing.
  bool m_IsClaimInDoubt = false;
  // Set when the grant's Dispatch was given out; cleared with the next attempt.
  bool m_WasDispatched = false;
  // Attempt to be claimed, or in hand; 0 while the ledger is only asked.
  std::uint32_t m_Attempt = 1;
  std::uint32_t m_ClaimsMade = 0;
  CallTarget m_Target;
  // The claim in hand; valid from the grant on.
  ClaimTicket m_Ticket;
  std::vector<std::string> m_Tried;
  // Decided in Committing; an outcome never changes after that.
  schema::Outcome m_Decided = schema::OUTCOME_UNSPECIFIED;
  std::string m_Answer;
  // Start of the present row of failures to reach the agent.
  TimePoint m_UnreachableSince;
  bool m_IsUnreachable = false;

  bool operator==(const Settlement &) const = default;
};

// A request of a caller: the first effect asks for a target.
Settlement startSettlement(const SettlementRequest &Request,
                           const SettlementLimits &Limits, TimePoint Now,
                           SettlementEffects &Effects);

// A claim past its deadline: the first effect is a revocation.
Settlement startOrphan(const OpenClaim &Open, const SettlementLimits &Limits,
                       TimePoint Now, SettlementEffects &Effects);

// Takes one event. Events that don't fit the phase change nothing, but for a
// late grant or a late answer, which are settled.
// Needs each Dispatch to reach an agent at most once.
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
