// Admission of calls, revocations and orders at an agent.
#include "State/AgentGuard.h"

#include <algorithm>

namespace mangocart {

namespace {

AgentGuard::KeyId keyIdOf(const ClaimTicket &Ticket) {
  return {Ticket.m_Customer, hashKey(Ticket.m_IdempotencyKey)};
}

std::uint64_t deadlineOf(const ClaimTicket &Ticket) {
  return Ticket.m_ClaimedMs + Ticket.m_DeadlineMs;
}

void evictAnswer(AgentGuard &Guard, GuardedKey &Key) {
  Guard.m_AnswerBytes -= Key.m_Answer.size();
  Key.m_Answer.clear();
}

bool holdsAnswer(const AgentGuard &Guard, const AgentGuard::KeyId &Id) {
  const auto Found = Guard.m_Keys.find(Id);
  return Found != Guard.m_Keys.end() && !Found->second.m_Answer.empty();
}

void trimAnswerOrder(AgentGuard &Guard) {
  while (!Guard.m_AnswerOrder.empty() &&
         !holdsAnswer(Guard, Guard.m_AnswerOrder.front()))
    Guard.m_AnswerOrder.pop_front();
}

// Removes the keys whose retention has ended at the time bound. The expiry of a
// running key is postponed by one settlement window, so it is removed only
// after its call has ended.
void removeExpiredKeys(AgentGuard &Guard) {
  while (!Guard.m_Expiry.empty()) {
    const auto Earliest = Guard.m_Expiry.begin();
    if (Earliest->first > Guard.m_TimeBoundMs)
      return;
    const AgentGuard::KeyId Id = Earliest->second;
    Guard.m_Expiry.erase(Earliest);
    const auto Found = Guard.m_Keys.find(Id);
    if (Found == Guard.m_Keys.end())
      continue;
    GuardedKey &Key = Found->second;
    const std::uint64_t Until =
        Key.m_ExpiresMs + Guard.m_Limits.m_SettlementWindowMs;
    if (Key.m_State == KeyState::Running)
      Guard.m_Expiry.emplace(
          Guard.m_TimeBoundMs + Guard.m_Limits.m_SettlementWindowMs, Id);
    else if (Until <= Guard.m_TimeBoundMs) {
      evictAnswer(Guard, Key);
      Guard.m_Keys.erase(Found);
    }
  }
}

// The grant time of a claim is a lower bound of the replicated time.
void advanceTimeBound(AgentGuard &Guard, const ClaimTicket &Ticket) {
  Guard.m_TimeBoundMs = std::max(Guard.m_TimeBoundMs, Ticket.m_ClaimedMs);
  removeExpiredKeys(Guard);
  trimAnswerOrder(Guard);
}

void extendExpiry(AgentGuard &Guard, const AgentGuard::KeyId &Id,
                  GuardedKey &Key, const ClaimTicket &Ticket) {
  const std::uint64_t Expires = std::max(Key.m_ExpiresMs, deadlineOf(Ticket));
  if (Expires == Key.m_ExpiresMs)
    return;
  Key.m_ExpiresMs = Expires;
  Guard.m_Expiry.emplace(Expires + Guard.m_Limits.m_SettlementWindowMs, Id);
}

bool hasStarted(const GuardedKey &Key) {
  return Key.m_State != KeyState::Revoked;
}

// Whether the claim is newer than every claim seen for the key.
bool isNewer(const GuardedKey &Key, const ClaimTicket &Ticket) {
  return Ticket.m_ClaimNumber > Key.m_ClaimNumber;
}

void recordClaim(AgentGuard &Guard, const ClaimTicket &Ticket, KeyState State) {
  const AgentGuard::KeyId Id = keyIdOf(Ticket);
  GuardedKey &Key = Guard.m_Keys[Id];
  Key.m_State = State;
  Key.m_ClaimNumber = std::max(Key.m_ClaimNumber, Ticket.m_ClaimNumber);
  extendExpiry(Guard, Id, Key, Ticket);
}

void storeAnswer(AgentGuard &Guard, const AgentGuard::KeyId &Id,
                 GuardedKey &Key, std::string Answer) {
  if (Answer.size() > Guard.m_Limits.m_MaxAnswerBytes)
    return;
  while (Guard.m_AnswerBytes + Answer.size() >
         Guard.m_Limits.m_MaxAnswerBytes) {
    const auto Oldest = Guard.m_Keys.find(Guard.m_AnswerOrder.front());
    if (Oldest != Guard.m_Keys.end())
      evictAnswer(Guard, Oldest->second);
    Guard.m_AnswerOrder.pop_front();
  }
  Guard.m_AnswerBytes += Answer.size();
  Key.m_Answer = std::move(Answer);
  Guard.m_AnswerOrder.push_back(Id);
}

bool isOverloaded(const AgentGuard &Guard) {
  return Guard.m_Outstanding >= Guard.m_Limits.m_MaxOutstanding;
}

} // namespace

AgentGuard startGuard(std::uint64_t Incarnation, const GuardLimits &Limits) {
  AgentGuard Guard;
  Guard.m_Limits = Limits;
  Guard.m_Incarnation = Incarnation;
  Guard.m_FirstIncarnation = Incarnation;
  return Guard;
}

void raiseIncarnation(AgentGuard &Guard, std::uint64_t Incarnation) {
  Guard.m_Incarnation = std::max(Guard.m_Incarnation, Incarnation);
}

void startLeaving(AgentGuard &Guard) { Guard.m_Leaving = true; }

bool provesNotRun(BeginVerdict Verdict) {
  return Verdict != BeginVerdict::Start && Verdict != BeginVerdict::KeyStarted;
}

BeginVerdict begin(AgentGuard &Guard, const ClaimTicket &Ticket) {
  if (Ticket.m_AgentIncarnation != Guard.m_Incarnation)
    return BeginVerdict::WrongIncarnation;
  advanceTimeBound(Guard, Ticket);
  const auto Recorded = Guard.m_Keys.find(keyIdOf(Ticket));
  if (Recorded != Guard.m_Keys.end()) {
    if (hasStarted(Recorded->second))
      return BeginVerdict::KeyStarted;
    if (!isNewer(Recorded->second, Ticket))
      return BeginVerdict::KeyRevoked;
  }
  if (deadlineOf(Ticket) <= Guard.m_TimeBoundMs)
    return BeginVerdict::DeadlinePassed;
  if (Guard.m_Leaving)
    return BeginVerdict::Leaving;
  const bool IsFull = Recorded == Guard.m_Keys.end() &&
                      Guard.m_Keys.size() >= Guard.m_Limits.m_MaxKeys;
  if (IsFull || isOverloaded(Guard))
    return BeginVerdict::Overloaded;
  recordClaim(Guard, Ticket, KeyState::Running);
  ++Guard.m_Outstanding;
  return BeginVerdict::Start;
}

BeginVerdict beginIdempotent(AgentGuard &Guard) {
  if (Guard.m_Leaving)
    return BeginVerdict::Leaving;
  if (isOverloaded(Guard))
    return BeginVerdict::Overloaded;
  ++Guard.m_Outstanding;
  return BeginVerdict::Start;
}

void finish(AgentGuard &Guard, const ClaimTicket &Ticket, FinishKind Kind,
            std::string Answer) {
  const AgentGuard::KeyId Id = keyIdOf(Ticket);
  const auto Found = Guard.m_Keys.find(Id);
  if (Found == Guard.m_Keys.end() ||
      Found->second.m_State != KeyState::Running ||
      Found->second.m_ClaimNumber != Ticket.m_ClaimNumber)
    return;
  --Guard.m_Outstanding;
  GuardedKey &Key = Found->second;
  switch (Kind) {
  case FinishKind::Answered:
    Key.m_State = KeyState::Finished;
    storeAnswer(Guard, Id, Key, std::move(Answer));
    return;
  case FinishKind::NeverSent:
    Key.m_State = KeyState::Revoked;
    return;
  case FinishKind::AnswerLost:
    Key.m_State = KeyState::Lost;
    return;
  }
}

void finishIdempotent(AgentGuard &Guard) { --Guard.m_Outstanding; }

RevokeResult revoke(AgentGuard &Guard, const ClaimTicket &Ticket) {
  if (Ticket.m_AgentIncarnation < Guard.m_FirstIncarnation ||
      Ticket.m_AgentIncarnation > Guard.m_Incarnation)
    return {RevokeState::UnknownHere, {}};
  advanceTimeBound(Guard, Ticket);
  const auto Recorded = Guard.m_Keys.find(keyIdOf(Ticket));
  if (Recorded == Guard.m_Keys.end()) {
    // After the retention the record of a started call may have been removed.
    const std::uint64_t Until =
        deadlineOf(Ticket) + Guard.m_Limits.m_SettlementWindowMs;
    const bool IsFull = Guard.m_Keys.size() >= 2 * Guard.m_Limits.m_MaxKeys;
    if (Until <= Guard.m_TimeBoundMs || IsFull)
      return {RevokeState::UnknownHere, {}};
    recordClaim(Guard, Ticket, KeyState::Revoked);
    return {RevokeState::Revoked, {}};
  }
  switch (Recorded->second.m_State) {
  case KeyState::Running:
    return {RevokeState::Running, {}};
  case KeyState::Finished:
    return {RevokeState::Finished, Recorded->second.m_Answer};
  case KeyState::Lost:
    return {RevokeState::UnknownHere, {}};
  case KeyState::Revoked:
    recordClaim(Guard, Ticket, KeyState::Revoked);
    return {RevokeState::Revoked, {}};
  }
  return {RevokeState::UnknownHere, {}};
}

void learnFence(AgentGuard &Guard, const std::string &Group,
                std::uint64_t Number) {
  std::uint64_t &Current = Guard.m_Fences[Group];
  Current = std::max(Current, Number);
}

std::optional<std::uint64_t> fenceInForce(const AgentGuard &Guard,
                                          const std::string &Group) {
  const auto Current = Guard.m_Fences.find(Group);
  if (Current == Guard.m_Fences.end())
    return std::nullopt;
  return Current->second;
}

OrderVerdict checkOrder(AgentGuard &Guard, const std::string &Group,
                        std::uint64_t Number) {
  const auto Current = Guard.m_Fences.find(Group);
  if (Current == Guard.m_Fences.end())
    return OrderVerdict::NotLearnt;
  if (Number < Current->second)
    return OrderVerdict::OldNumber;
  Current->second = Number;
  return OrderVerdict::CarryOut;
}

} // namespace mangocart
