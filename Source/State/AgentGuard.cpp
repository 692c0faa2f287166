// Calls, revocations and orders at an agent.
#include "State/AgentGuard.h"

#include <algorithm>

namespace mangocart {

namespace {

AgentGuard::Name nameOf(const ClaimTicket &Ticket) {
  return {Ticket.m_Customer, hashKey(Ticket.m_IdempotencyKey)};
}

std::uint64_t expiresMs(const ClaimTicket &Ticket) {
  return Ticket.m_ClaimedMs + Ticket.m_DeadlineMs;
}

void dropAnswer(AgentGuard &Guard, GuardedKey &Key) {
  Guard.m_AnswerBytes -= Key.m_Answer.size();
  Key.m_Answer.clear();
}

bool holdsAnswer(const AgentGuard &Guard, const AgentGuard::Name &Name) {
  const auto Found = Guard.m_Keys.find(Name);
  return Found != Guard.m_Keys.end() && !Found->second.m_Answer.empty();
}

void dropSpentNames(AgentGuard &Guard) {
  while (!Guard.m_Answered.empty() &&
         !holdsAnswer(Guard, Guard.m_Answered.front()))
    Guard.m_Answered.pop_front();
}

// Drops keys whose memory the bound has outlived. A running key is put off by
// another window; it is dropped at the earliest after it has ended.
void forgetExpired(AgentGuard &Guard) {
  while (!Guard.m_Expiry.empty()) {
    const auto Earliest = Guard.m_Expiry.begin();
    if (Earliest->first > Guard.m_TimeBoundMs)
      return;
    const AgentGuard::Name Name = Earliest->second;
    Guard.m_Expiry.erase(Earliest);
    const auto Found = Guard.m_Keys.find(Name);
    if (Found == Guard.m_Keys.end())
      continue;
    GuardedKey &Key = Found->second;
    const std::uint64_t Until =
        Key.m_ExpiresMs + Guard.m_Limits.m_SettlementWindowMs;
    if (Key.m_State == KeyState::Running)
      Guard.m_Expiry.emplace(
          Guard.m_TimeBoundMs + Guard.m_Limits.m_SettlementWindowMs, Name);
    else if (Until <= Guard.m_TimeBoundMs) {
      dropAnswer(Guard, Key);
      Guard.m_Keys.erase(Found);
    }
  }
}

// A grant time proves that the replicated time has come so far.
void raiseTimeBound(AgentGuard &Guard, const ClaimTicket &Ticket) {
  Guard.m_TimeBoundMs = std::max(Guard.m_TimeBoundMs, Ticket.m_ClaimedMs);
  forgetExpired(Guard);
  dropSpentNames(Guard);
}

void extendExpiry(AgentGuard &Guard, const AgentGuard::Name &Name,
                  GuardedKey &Key, const ClaimTicket &Ticket) {
  const std::uint64_t Expires = std::max(Key.m_ExpiresMs, expiresMs(Ticket));
  if (Expires == Key.m_ExpiresMs)
    return;
  Key.m_ExpiresMs = Expires;
  Guard.m_Expiry.emplace(Expires + Guard.m_Limits.m_SettlementWindowMs, Name);
}

bool hasStarted(const GuardedKey &Key) {
  return Key.m_State != KeyState::Revoked;
}

// A claim of the key that is newer than all that the guard has seen of it.
bool isNewer(const GuardedKey &Key, const ClaimTicket &Ticket) {
  return Ticket.m_ClaimNumber > Key.m_ClaimNumber;
}

void remember(AgentGuard &Guard, const ClaimTicket &Ticket, KeyState State) {
  const AgentGuard::Name Name = nameOf(Ticket);
  GuardedKey &Key = Guard.m_Keys[Name];
  Key.m_State = State;
  Key.m_ClaimNumber = std::max(Key.m_ClaimNumber, Ticket.m_ClaimNumber);
  extendExpiry(Guard, Name, Key, Ticket);
}

void keepAnswer(AgentGuard &Guard, const AgentGuard::Name &Name,
                GuardedKey &Key, std::string Answer) {
  if (Answer.size() > Guard.m_Limits.m_MaxAnswerBytes)
    return;
  while (Guard.m_AnswerBytes + Answer.size() >
         Guard.m_Limits.m_MaxAnswerBytes) {
    const auto Oldest = Guard.m_Keys.find(Guard.m_Answered.front());
    if (Oldest != Guard.m_Keys.end())
      dropAnswer(Guard, Oldest->second);
    Guard.m_Answered.pop_front();
  }
  Guard.m_AnswerBytes += Answer.size();
  Key.m_Answer = std::move(Answer);
  Guard.m_Answered.push_back(Name);
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
  raiseTimeBound(Guard, Ticket);
  const auto Known = Guard.m_Keys.find(nameOf(Ticket));
  if (Known != Guard.m_Keys.end()) {
    if (hasStarted(Known->second))
      return BeginVerdict::KeyStarted;
    if (!isNewer(Known->second, Ticket))
      return BeginVerdict::KeyRevoked;
  }
  if (expiresMs(Ticket) <= Guard.m_TimeBoundMs)
    return BeginVerdict::DeadlinePassed;
  if (Guard.m_Leaving)
    return BeginVerdict::Leaving;
  const bool IsFull = Known == Guard.m_Keys.end() &&
                      Guard.m_Keys.size() >= Guard.m_Limits.m_MaxKeys;
  if (IsFull || isOverloaded(Guard))
    return BeginVerdict::Overloaded;
  remember(Guard, Ticket, KeyState::Running);
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
  const AgentGuard::Name Name = nameOf(Ticket);
  const auto Found = Guard.m_Keys.find(Name);
  if (Found == Guard.m_Keys.end() ||
      Found->second.m_State != KeyState::Running ||
      Found->second.m_ClaimNumber != Ticket.m_ClaimNumber)
    return;
  --Guard.m_Outstanding;
  GuardedKey &Key = Found->second;
  switch (Kind) {
  case FinishKind::Answered:
    Key.m_State = KeyState::Finished;
    keepAnswer(Guard, Name, Key, std::move(Answer));
    return;
  case FinishKind::NeverSent:
    Key.m_State = KeyState::Revoked;
    return;
  case FinishKind::Broken:
    Key.m_State = KeyState::Lost;
    return;
  }
}

void finishIdempotent(AgentGuard &Guard) { --Guard.m_Outstanding; }

RevokeResult revoke(AgentGuard &Guard, const ClaimTicket &Ticket) {
  if (Ticket.m_AgentIncarnation < Guard.m_FirstIncarnation ||
      Ticket.m_AgentIncarnation > Guard.m_Incarnation)
    return {RevokeState::UnknownHere, {}};
  raiseTimeBound(Guard, Ticket);
  const auto Known = Guard.m_Keys.find(nameOf(Ticket));
  if (Known == Guard.m_Keys.end()) {
    // Past its memory a start could have been forgotten.
    const std::uint64_t Until =
        expiresMs(Ticket) + Guard.m_Limits.m_SettlementWindowMs;
    const bool IsFull = Guard.m_Keys.size() >= 2 * Guard.m_Limits.m_MaxKeys;
    if (Until <= Guard.m_TimeBoundMs || IsFull)
      return {RevokeState::UnknownHere, {}};
    remember(Guard, Ticket, KeyState::Revoked);
    return {RevokeState::Revoked, {}};
  }
  switch (Known->second.m_State) {
  case KeyState::Running:
    return {RevokeState::Running, {}};
  case KeyState::Finished:
    return {RevokeState::Finished, Known->second.m_Answer};
  case KeyState::Lost:
    return {RevokeState::UnknownHere, {}};
  case KeyState::Revoked:
    remember(Guard, Ticket, KeyState::Revoked);
    return {RevokeState::Revoked, {}};
  }
  return {RevokeState::UnknownHere, {}};
}

void learnFence(AgentGuard &Guard, const std::string &Group,
                std::uint64_t Number) {
  std::uint64_t &InForce = Guard.m_Fences[Group];
  InForce = std::max(InForce, Number);
}

std::optional<std::uint64_t> fenceInForce(const AgentGuard &Guard,
                                          const std::string &Group) {
  const auto InForce = Guard.m_Fences.find(Group);
  if (InForce == Guard.m_Fences.end())
    return std::nullopt;
  return InForce->second;
}

OrderVerdict checkOrder(AgentGuard &Guard, const std::string &Group,
                        std::uint64_t Number) {
  const auto InForce = Guard.m_Fences.find(Group);
  if (InForce == Guard.m_Fences.end())
    return OrderVerdict::NotLearnt;
  if (Number < InForce->second)
    return OrderVerdict::OldNumber;
  InForce->second = Number;
  return OrderVerdict::CarryOut;
}

} // namespace mangocart
