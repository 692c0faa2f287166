// Order of dispatch, expected waits and rejections.
#include "Gateway/ServiceQueue.h"

#include "Gateway/WaitingOrder.h"

#include <algorithm>
#include <limits>

namespace mangocart {

namespace {

// Calls per second that the service takes from this gateway. Time in which
// calls wait and none is dispatched lowers the rate at once.
double dispatchRate(const ServiceQueue &Queue, TimePoint Now) {
  ServiceRate Rate = Queue.m_Rate;
  if (!Queue.m_Waiting.empty() && !Queue.m_UnavailableSince)
    recordServed(Rate, 0, Queue.m_Options.m_Rate, Now);
  return std::max(tokensPerSecond(Rate), 0.1);
}

// Calls per second that are left for others while calls more urgent than the
// priority arrive at the present rate.
double rateBelow(const ServiceQueue &Queue, std::uint32_t Priority,
                 TimePoint Now) {
  const double Rate = dispatchRate(Queue, Now);
  const double Urgent =
      isShort(Queue.m_Reserve, Now)
          ? urgentArrivalsPerSecond(Queue.m_Reserve, Priority, Now)
          : 0.0;
  return std::max(Rate - Urgent, Rate * Queue.m_Options.m_MinCapacityShare);
}

Duration timeFor(double Calls, double PerSecond) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Calls / PerSecond));
}

// Time in which that many calls of the priority are dispatched.
Duration drainTime(const ServiceQueue &Queue, double Calls,
                   std::uint32_t Priority, TimePoint Now) {
  return timeFor(Calls, rateBelow(Queue, Priority, Now));
}

// Number of waiting calls that are dispatched before a new one.
double callsAhead(const ServiceQueue &Queue, const WaitingCall &Call,
                  TimePoint Now) {
  const WaitingRank Rank = rankOf(Queue, Call, Now);
  return static_cast<double>(
      std::count_if(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                    [&](const WaitingCall &Other) {
                      return rankOf(Queue, Other, Now) <= Rank;
                    }));
}

// Numbers of the waiting calls that are not expected to be dispatched before
// their callers disconnect. The first one in the order never is among them: its
// dispatch shows the rate.
std::set<std::uint64_t> hopelessCalls(const ServiceQueue &Queue,
                                      TimePoint Now) {
  std::set<std::uint64_t> Hopeless;
  if (Queue.m_Waiting.size() < 2)
    return Hopeless;
  double Ahead = 0.0;
  for (const std::size_t Index : dispatchOrder(Queue, Now)) {
    const WaitingCall &Call = Queue.m_Waiting[Index];
    const Duration Left = latestStart(Queue, Call, Now) - Now;
    if (drainTime(Queue, Ahead, Call.m_Priority, Now) >
        Left * Queue.m_Options.m_HopelessFactor)
      Hopeless.insert(Call.m_Number);
    else
      ++Ahead;
  }
  return Hopeless;
}

} // namespace

void recordState(ServiceQueue &Queue, ServiceState State, TimePoint Now,
                 std::optional<TimePoint> ResumesAt) {
  // An outage whose end was known says nothing about others.
  if (Queue.m_ResumesAt && !ResumesAt)
    Queue.m_UnavailableSince.reset();
  Queue.m_ResumesAt = ResumesAt;
  // The duration of an evacuation says nothing about outages.
  if (State == ServiceState::Evacuated)
    return Queue.m_UnavailableSince.reset();
  if (State == ServiceState::Unavailable) {
    if (!Queue.m_UnavailableSince)
      Queue.m_UnavailableSince = Now;
    return;
  }
  if (!Queue.m_UnavailableSince)
    return;
  const Duration Lasted = Now - *Queue.m_UnavailableSince;
  const ServiceQueueOptions &Options = Queue.m_Options;
  const Duration Before = Queue.m_MeanOutage.value_or(Options.m_InitialOutage);
  Queue.m_MeanOutage = Before + std::chrono::duration_cast<Duration>(
                                    (Lasted - Before) * Options.m_OutageWeight);
  Queue.m_UnavailableSince.reset();
  // The outage says nothing about the rate of a service that runs.
  recordBusyStart(Queue.m_Rate, Now);
}

Duration expectedOutageLeft(const ServiceQueue &Queue, TimePoint Now) {
  if (Queue.m_ResumesAt)
    return std::max(*Queue.m_ResumesAt - Now, Duration::zero());
  const Duration Lasted = Queue.m_UnavailableSince
                              ? Now - *Queue.m_UnavailableSince
                              : Duration::zero();
  return std::max(Queue.m_MeanOutage.value_or(Queue.m_Options.m_InitialOutage) -
                      Lasted,
                  Queue.m_Options.m_MinOutageLeft);
}

TimePoint latestStart(const ServiceQueue &Queue, const WaitingCall &Call,
                      TimePoint Now) {
  return Call.m_CallerTimeoutAt - Queue.m_Options.m_RejectionMargin -
         expectedFirstByte(Queue, Now);
}

bool canMeetTarget(const ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now) {
  return Now + expectedFirstByte(Queue, Now) <= Call.m_TargetTime;
}

void recordArrival(ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now) {
  if (!Call.m_IsRetry)
    recordArrival(Queue.m_Reserve, Call.m_Priority, Now);
}

std::uint32_t reservePriority(const ServiceQueue &Queue,
                              const WaitingCall &Call, TimePoint Now) {
  return Queue.m_Reserve.m_Arrivals.size() > 1 &&
                 !canMeetTarget(Queue, Call, Now)
             ? std::numeric_limits<std::uint32_t>::max()
             : Call.m_Priority;
}

bool isHeld(ServiceQueue &Queue, const WaitingCall &Call, std::size_t Free,
            std::size_t Gateways, TimePoint Now) {
  if (Call.m_IsRetry || isPriorityOwed(Queue.m_Shares, Call.m_Priority))
    return false;
  // Not so long that the call becomes late or can't be answered any more.
  const TimePoint Next = Now + Queue.m_Reserve.m_Options.m_Horizon;
  if (canMeetTarget(Queue, Call, Now) != canMeetTarget(Queue, Call, Next) ||
      latestStart(Queue, Call, Now) <= Next)
    return false;
  return mustHold(Queue.m_Reserve, reservePriority(Queue, Call, Now), Free,
                  Gateways, Now);
}

bool shouldEnqueue(const ServiceQueue &Queue, const WaitingCall &Call,
                   ServiceState State, TimePoint Now) {
  if (State == ServiceState::Evacuated)
    return false;
  const TimePoint LastStart = latestStart(Queue, Call, Now);
  if (State == ServiceState::Unavailable)
    return Now + expectedOutageLeft(Queue, Now) < LastStart;
  const double Ahead = callsAhead(Queue, Call, Now);
  // Without a call that waits, the rate at which calls are dispatched couldn't
  // be observed.
  if (Ahead < 1.0)
    return Now < LastStart;
  // A caller that comes back has no other chance, so it waits unless that is
  // hopeless.
  const double Factor =
      Call.m_Returned ? Queue.m_Options.m_HopelessFactor : 1.0;
  return drainTime(Queue, Ahead + 1, Call.m_Priority, Now) <
         (LastStart - Now) * Factor;
}

void enqueue(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now) {
  if (Queue.m_Waiting.empty())
    recordBusyStart(Queue.m_Rate, Now);
  Queue.m_Waiting.push_back(Call);
}

std::optional<std::size_t> nextCall(const ServiceQueue &Queue, TimePoint Now,
                                    const std::set<std::uint64_t> &PassedOver) {
  std::optional<std::size_t> Best;
  WaitingRank BestRank;
  for (std::size_t I = 0; I < Queue.m_Waiting.size(); ++I) {
    if (PassedOver.contains(Queue.m_Waiting[I].m_Number))
      continue;
    const WaitingRank Rank = rankOf(Queue, Queue.m_Waiting[I], Now);
    if (Best && BestRank <= Rank)
      continue;
    Best = I;
    BestRank = Rank;
  }
  return Best;
}

void recordDispatched(ServiceQueue &Queue, std::size_t Index, TimePoint Now) {
  recordImmediate(Queue, Queue.m_Waiting[Index], Now);
  Queue.m_Waiting.erase(Queue.m_Waiting.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  recordServed(Queue.m_Rate, 1, Queue.m_Options.m_Rate, Now);
}

void recordImmediate(ServiceQueue &Queue, const WaitingCall &Call,
                     TimePoint Now) {
  if (!Call.m_IsRetry)
    recordCall(Queue.m_Shares, Call.m_Priority, Call.m_Customer,
               CallEnd::Served, Now);
}

void recordRejected(ServiceQueue &Queue, const WaitingCall &Call,
                    TimePoint Now) {
  if (!Call.m_IsRetry)
    recordCall(Queue.m_Shares, Call.m_Priority, Call.m_Customer,
               CallEnd::Rejected, Now);
}

void recordFirstByte(ServiceQueue &Queue, Duration Observed, TimePoint Now) {
  recordFirstToken(Queue.m_FirstByte, Observed, Queue.m_Options.m_FirstByte,
                   Now);
}

Duration expectedFirstByte(const ServiceQueue &Queue, TimePoint Now) {
  return expectedFirstToken(Queue.m_FirstByte, Queue.m_Options.m_FirstByte,
                            Now);
}

std::vector<WaitingCall> removeExpired(ServiceQueue &Queue, ServiceState State,
                                       TimePoint Now) {
  std::vector<WaitingCall> Expired;
  const Duration First = State == ServiceState::Unavailable
                             ? Duration::zero()
                             : expectedFirstByte(Queue, Now);
  const std::set<std::uint64_t> Hopeless = State == ServiceState::Unavailable
                                               ? std::set<std::uint64_t>()
                                               : hopelessCalls(Queue, Now);
  std::erase_if(Queue.m_Waiting, [&](const WaitingCall &Call) {
    const bool IsExpired = State == ServiceState::Evacuated ||
                           Hopeless.contains(Call.m_Number) ||
                           Now + First + Queue.m_Options.m_RejectionMargin >=
                               Call.m_CallerTimeoutAt;
    if (IsExpired)
      Expired.push_back(Call);
    return IsExpired;
  });
  return Expired;
}

void removeCall(ServiceQueue &Queue, std::uint64_t Number) {
  std::erase_if(Queue.m_Waiting, [&](const WaitingCall &Call) {
    return Call.m_Number == Number;
  });
}

Duration retryAfter(ServiceQueue &Queue, const WaitingCall &Call,
                    ServiceState State, TimePoint Now, Random &Generator) {
  const auto Longest =
      std::max(std::chrono::duration_cast<Duration>(
                   (Call.m_Deadline - Now) * Queue.m_Options.m_RetryAfterShare),
               Duration::zero());
  // Nothing is known about the time of a withdrawal.
  if (State == ServiceState::Evacuated)
    return Longest;
  const Duration Wait = State == ServiceState::Available
                            ? drainTime(Queue, callsAhead(Queue, Call, Now) + 1,
                                        Call.m_Priority, Now)
                            : expectedOutageLeft(Queue, Now);
  ReturnRequest Request;
  Request.m_Priority = Call.m_Priority;
  Request.m_Earliest = Now + std::max(Wait, Queue.m_Options.m_MinRetryAfter);
  Request.m_Latest = Now + Longest;
  // A caller that comes back can hardly be on time any more, so new calls of
  // its priority are dispatched before it.
  Request.m_Spacing = timeFor(1, rateBelow(Queue, Call.m_Priority + 1, Now));
  const Duration After = assignReturn(Queue.m_Returns, Request) - Now;
  const auto Jitter = std::chrono::duration_cast<Duration>(
      Request.m_Spacing * uniformReal(Generator));
  return std::min(After + Jitter, Longest);
}

} // namespace mangocart
