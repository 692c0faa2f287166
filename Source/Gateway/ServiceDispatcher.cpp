// Queueing, server choice and results.
#include "Gateway/ServiceDispatcher.h"

#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"

#include <set>

namespace mangocart {

namespace {

// Bounds the work of one pass through the queue.
constexpr std::size_t MaxPassedOver = 16;

ChoiceRequest choiceRequest(const DispatchRequest &Call) {
  ChoiceRequest Request;
  Request.m_Service = Call.m_Service;
  Request.m_Policy = "score";
  Request.m_MaxOutstanding = Call.m_MaxOutstanding;
  Request.m_Size = Call.m_Size;
  Request.m_Tried = &Call.m_Tried;
  Request.m_FailedZone = Call.m_FailedZone;
  Request.m_PrefillTokensPerPass = Call.m_PrefillTokensPerPass;
  Request.m_PassRules = Call.m_PassRules ? &*Call.m_PassRules : nullptr;
  return Request;
}

} // namespace

std::string_view toString(DispatchRejection Rejection) {
  switch (Rejection) {
  case DispatchRejection::None:
    return "none";
  case DispatchRejection::NoBackendServer:
    return "no-backend-server";
  case DispatchRejection::Busy:
    return "busy";
  }
  return "unknown";
}

ServiceDispatcher::ServiceEntry &
ServiceDispatcher::entryOf(const std::string &Service, TimePoint Now) {
  const auto [At, Inserted] = m_Services.try_emplace(Service);
  if (Inserted)
    At->second.m_Queue.m_Rate =
        startServiceRate(At->second.m_Queue.m_Options.m_Rate, Now);
  return At->second;
}

std::optional<BackendTarget>
ServiceDispatcher::choose(const DispatchRequest &Call, ServiceQueue &Queue,
                          TimePoint Now) {
  std::optional<BackendTarget> Target = m_Directory.choose(choiceRequest(Call));
  if (Target)
    m_Directory.callStarted(*Target, Call.m_Size);
  else if (Call.m_Tried.empty())
    recordShortage(Queue.m_Reserve, Now);
  return Target;
}

bool ServiceDispatcher::mustHold(const DispatchRequest &Call,
                                 ServiceQueue &Queue, TimePoint Now) const {
  if (!isShort(Queue.m_Reserve, Now) ||
      urgentArrivalsPerSecond(Queue.m_Reserve,
                              reservePriority(Queue, Call.m_Times, Now),
                              Now) <= 0.0)
    return false;
  const FreeCapacity Free = m_Directory.freeCapacity(choiceRequest(Call));
  return isHeld(Queue, Call.m_Times, Free.m_Requests, Free.m_Entries, Now);
}

void ServiceDispatcher::logShortage(const std::string &Service,
                                    ServiceEntry &Entry, TimePoint Now) {
  const PriorityReserve &Reserve = Entry.m_Queue.m_Reserve;
  const bool IsShort = isShort(Reserve, Now);
  if (IsShort == Entry.m_IsShort)
    return;
  Entry.m_IsShort = IsShort;
  m_Events.write(Event::CapacityShortage,
                 {{"service", Service},
                  {"short", IsShort},
                  {"waiting", Entry.m_Queue.m_Waiting.size()}});
}

ServiceState ServiceDispatcher::updateState(const std::string &Service,
                                            ServiceQueue &Queue,
                                            TimePoint Now) const {
  const ServiceAvailability Found = m_Directory.availability(Service);
  const ServiceState State = Found.m_Servers > 0   ? ServiceState::Available
                             : Found.m_IsEvacuated ? ServiceState::Evacuated
                                                   : ServiceState::Unavailable;
  recordState(Queue, State, Now, Found.m_ResumesAt);
  return State;
}

void ServiceDispatcher::postResult(PendingCall Call, DispatchResult Result) {
  postTask(Call.m_Executor,
           [Done = std::move(Call.m_Done),
            Result = std::move(Result)]() mutable { Done(std::move(Result)); });
}

DispatchResult ServiceDispatcher::makeRejection(ServiceQueue &Queue,
                                                const WaitingCall &Call,
                                                ServiceState State,
                                                TimePoint Now) {
  recordRejected(Queue, Call, Now);
  DispatchResult Result;
  Result.m_Rejection = State == ServiceState::Available
                           ? DispatchRejection::Busy
                           : DispatchRejection::NoBackendServer;
  Result.m_RetryAfter = retryAfter(Queue, Call, State, Now, m_Random);
  Result.m_Waiting = Queue.m_Waiting.size();
  return Result;
}

bool ServiceDispatcher::mayBeSentInTime(const DispatchRequest &Call,
                                        const ServiceQueue &Queue,
                                        TimePoint Now) const {
  if (Call.m_Tried.empty())
    return true;
  const ServiceAvailability Untried =
      m_Directory.availability(Call.m_Service, Call.m_Tried);
  if (Untried.m_IsEvacuated)
    return false;
  return Untried.m_Servers > 0 || !Untried.m_ResumesAt ||
         *Untried.m_ResumesAt < latestStart(Queue, Call.m_Times, Now);
}

std::uint64_t ServiceDispatcher::submit(DispatchRequest Call,
                                        boost::asio::any_io_executor Executor,
                                        Handler Done) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  ServiceEntry &Entry = entryOf(Call.m_Service, Now);
  const std::uint64_t Number = Call.m_Times.m_Number = ++m_LastNumber;
  PendingCall Pending{std::move(Call), std::move(Executor), std::move(Done)};
  recordArrival(Entry.m_Queue, Pending.m_Call.m_Times, Now);
  if (Entry.m_Queue.m_Waiting.empty() &&
      !mustHold(Pending.m_Call, Entry.m_Queue, Now)) {
    if (auto Target = choose(Pending.m_Call, Entry.m_Queue, Now)) {
      recordImmediate(Entry.m_Queue, Pending.m_Call.m_Times, Now);
      postResult(std::move(Pending),
                 {std::move(Target), DispatchRejection::None, {}, 0});
      return Number;
    }
  }
  const WaitingCall Times = Pending.m_Call.m_Times;
  const ServiceState State =
      updateState(Pending.m_Call.m_Service, Entry.m_Queue, Now);
  if (!shouldEnqueue(Entry.m_Queue, Times, State, Now) ||
      !mayBeSentInTime(Pending.m_Call, Entry.m_Queue, Now)) {
    postResult(std::move(Pending),
               makeRejection(Entry.m_Queue, Times, State, Now));
    return Number;
  }
  const std::string Service = Pending.m_Call.m_Service;
  enqueue(Entry.m_Queue, Times, Now);
  Entry.m_Pending.emplace(Number, std::move(Pending));
  dispatchWaitingLocked(Service, Entry, Now);
  return Number;
}

void ServiceDispatcher::cancel(const std::string &Service,
                               std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return;
  removeCall(Found->second.m_Queue, Number);
  Found->second.m_Pending.erase(Number);
}

void ServiceDispatcher::recordFirstByte(const std::string &Service,
                                        Duration Observed) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  mangocart::recordFirstByte(entryOf(Service, Now).m_Queue, Observed, Now);
}

Duration ServiceDispatcher::expectedFirstByte(const std::string &Service) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  return mangocart::expectedFirstByte(entryOf(Service, Now).m_Queue, Now);
}

void ServiceDispatcher::recordAnswered(const std::string &Service,
                                       Duration Observed) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  recordAnswerTime(entryOf(Service, Now).m_AnswerTimes, Observed, Now);
}

std::optional<Duration>
ServiceDispatcher::longestAnswer(const std::string &Service) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  return longestAnswerTime(entryOf(Service, Now).m_AnswerTimes, Now);
}

void ServiceDispatcher::dispatchWaiting() {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  for (auto &[Service, Entry] : m_Services)
    dispatchWaitingLocked(Service, Entry, Now);
}

void ServiceDispatcher::dispatchWaiting(const std::string &Service) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  dispatchWaitingLocked(Service, entryOf(Service, Now), Now);
}

void ServiceDispatcher::dispatchWaitingLocked(const std::string &Service,
                                              ServiceEntry &Entry,
                                              TimePoint Now) {
  const ServiceState State = updateState(Service, Entry.m_Queue, Now);
  std::set<std::uint64_t> PassedOver;
  while (const auto Next = nextCall(Entry.m_Queue, Now, PassedOver)) {
    const std::uint64_t Number = Entry.m_Queue.m_Waiting[*Next].m_Number;
    const auto Found = Entry.m_Pending.find(Number);
    if (mustHold(Found->second.m_Call, Entry.m_Queue, Now)) {
      if (PassedOver.size() >= MaxPassedOver)
        break;
      PassedOver.insert(Number);
      continue;
    }
    auto Target = choose(Found->second.m_Call, Entry.m_Queue, Now);
    if (!Target) {
      // A call that has tried a server may find none where others still do.
      if (Found->second.m_Call.m_Tried.empty() ||
          PassedOver.size() >= MaxPassedOver)
        break;
      PassedOver.insert(Number);
      continue;
    }
    recordDispatched(Entry.m_Queue, *Next, Now);
    PendingCall Sent = std::move(Found->second);
    Entry.m_Pending.erase(Found);
    postResult(std::move(Sent), {std::move(Target),
                                 DispatchRejection::None,
                                 {},
                                 Entry.m_Queue.m_Waiting.size()});
  }
  for (const WaitingCall &Ended : removeExpired(Entry.m_Queue, State, Now)) {
    const auto Found = Entry.m_Pending.find(Ended.m_Number);
    PendingCall Expired = std::move(Found->second);
    Entry.m_Pending.erase(Found);
    postResult(std::move(Expired),
               makeRejection(Entry.m_Queue, Ended, State, Now));
  }
  logShortage(Service, Entry, Now);
}

} // namespace mangocart
