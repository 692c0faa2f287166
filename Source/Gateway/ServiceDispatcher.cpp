// Queues, choices and answers under one lock.
#include "Gateway/ServiceDispatcher.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"

namespace mangocart {

std::string_view toString(GateRefusal Refusal) {
  switch (Refusal) {
  case GateRefusal::None:
    return "none";
  case GateRefusal::Closed:
    return "no-backend-server";
  case GateRefusal::Busy:
    return "busy";
  }
  return "unknown";
}

ServiceGates::Gate &ServiceGates::gateOf(const std::string &Service,
                                         TimePoint Now) {
  const auto [At, Fresh] = m_Gates.try_emplace(Service);
  if (Fresh)
    At->second.m_Queue.m_Rate =
        startServiceRate(At->second.m_Queue.m_Options.m_Rate, Now);
  return At->second;
}

std::optional<BackendTarget> ServiceGates::choose(const GateCall &Call) {
  ChoiceRequest Request;
  Request.m_Service = Call.m_Service;
  Request.m_Policy = "score";
  Request.m_MaxOutstanding = Call.m_MaxOutstanding;
  Request.m_Size = Call.m_Size;
  Request.m_Tried = &Call.m_Tried;
  Request.m_FailedZone = Call.m_FailedZone;
  std::optional<BackendTarget> Target = m_Directory.choose(Request);
  if (Target)
    m_Directory.callStarted(*Target, Call.m_Size);
  return Target;
}

ServiceState ServiceGates::stateOf(const std::string &Service) const {
  return m_Directory.eligibleCount(Service) > 0 ? ServiceState::Open
                                                : ServiceState::Closed;
}

void ServiceGates::answer(Held Of, GateAnswer With) {
  postTask(Of.m_Executor,
           [Done = std::move(Of.m_Done), With = std::move(With)]() mutable {
             Done(std::move(With));
           });
}

GateAnswer ServiceGates::refusal(const ServiceQueue &Queue,
                                 const WaitingCall &Call, ServiceState State,
                                 TimePoint Now) {
  GateAnswer Answer;
  Answer.m_Refusal =
      State == ServiceState::Open ? GateRefusal::Busy : GateRefusal::Closed;
  Answer.m_RetryAfter = retryAfter(Queue, Call, State, Now, m_Random);
  Answer.m_Waiting = Queue.m_Waiting.size();
  return Answer;
}

std::uint64_t ServiceGates::enter(GateCall Call,
                                  boost::asio::any_io_executor Executor,
                                  Handler Done) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  Gate &Of = gateOf(Call.m_Service, Now);
  const std::uint64_t Number = Call.m_Times.m_Number = ++m_LastNumber;
  Held Entered{std::move(Call), std::move(Executor), std::move(Done)};
  if (Of.m_Queue.m_Waiting.empty()) {
    if (auto Target = choose(Entered.m_Call)) {
      answer(std::move(Entered), {std::move(Target), GateRefusal::None, {}, 0});
      return Number;
    }
  }
  const WaitingCall Times = Entered.m_Call.m_Times;
  const ServiceState State = stateOf(Entered.m_Call.m_Service);
  noteState(Of.m_Queue, State, Now);
  if (!shouldWait(Of.m_Queue, Times, State, Now)) {
    answer(std::move(Entered), refusal(Of.m_Queue, Times, State, Now));
    return Number;
  }
  const std::string Service = Entered.m_Call.m_Service;
  enqueue(Of.m_Queue, Times, Now);
  Of.m_Held.emplace(Number, std::move(Entered));
  pumpLocked(Service, Of, Now);
  return Number;
}

void ServiceGates::cancel(const std::string &Service, std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Gates.find(Service);
  if (Found == m_Gates.end())
    return;
  cancelCall(Found->second.m_Queue, Number);
  Found->second.m_Held.erase(Number);
}

void ServiceGates::noteFirstByte(const std::string &Service,
                                 Duration Observed) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  mangocart::noteFirstByte(gateOf(Service, Now).m_Queue, Observed, Now);
}

Duration ServiceGates::expectedFirstByte(const std::string &Service) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  return mangocart::expectedFirstByte(gateOf(Service, Now).m_Queue, Now);
}

void ServiceGates::pump() {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  for (auto &[Service, Of] : m_Gates)
    pumpLocked(Service, Of, Now);
}

void ServiceGates::pump(const std::string &Service) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  pumpLocked(Service, gateOf(Service, Now), Now);
}

void ServiceGates::pumpLocked(const std::string &Service, Gate &Of,
                              TimePoint Now) {
  const ServiceState State = stateOf(Service);
  noteState(Of.m_Queue, State, Now);
  while (const auto Next = nextCall(Of.m_Queue, Now)) {
    const std::uint64_t Number = Of.m_Queue.m_Waiting[*Next].m_Number;
    const auto Found = Of.m_Held.find(Number);
    auto Target = choose(Found->second.m_Call);
    if (!Target)
      break;
    noteSentOn(Of.m_Queue, *Next, Now);
    Held Sent = std::move(Found->second);
    Of.m_Held.erase(Found);
    answer(std::move(Sent), {std::move(Target),
                             GateRefusal::None,
                             {},
                             Of.m_Queue.m_Waiting.size()});
  }
  for (const WaitingCall &Ended : giveUp(Of.m_Queue, State, Now)) {
    const auto Found = Of.m_Held.find(Ended.m_Number);
    Held Refused = std::move(Found->second);
    Of.m_Held.erase(Found);
    answer(std::move(Refused), refusal(Of.m_Queue, Ended, State, Now));
  }
}

} // namespace mangocart
