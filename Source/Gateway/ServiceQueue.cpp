// Order of dispatch, expected waits and rejections.
#include "Gateway/ServiceQueue.h"

#include <algorithm>

namespace mangocart {

namespace {

bool canMeetTarget(const ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now) {
  return Now + expectedFirstByte(Queue, Now) <= Call.m_TargetTime;
}

Duration drainTime(const ServiceQueue &Queue, double Calls) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Calls / std::max(tokensPerSecond(Queue.m_Rate), 0.1)));
}

// Number of waiting calls that are dispatched before a new one, which can meet
// its target (OnTime) or not.
double callsAhead(const ServiceQueue &Queue, bool OnTime, TimePoint Now) {
  return static_cast<double>(
      std::count_if(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                    [&](const WaitingCall &Other) {
                      return !OnTime || canMeetTarget(Queue, Other, Now);
                    }));
}

// Whether A is dispatched before B.
bool precedes(const ServiceQueue &Queue, const WaitingCall &A,
              const WaitingCall &B, TimePoint Now) {
  const bool OnTimeA = canMeetTarget(Queue, A, Now);
  const bool OnTimeB = canMeetTarget(Queue, B, Now);
  if (OnTimeA != OnTimeB)
    return OnTimeA;
  if (A.m_Priority != B.m_Priority)
    return A.m_Priority < B.m_Priority;
  return OnTimeA ? A.m_Arrived < B.m_Arrived
                 : A.m_CallerTimeoutAt < B.m_CallerTimeoutAt;
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

bool shouldEnqueue(const ServiceQueue &Queue, const WaitingCall &Call,
                   ServiceState State, TimePoint Now) {
  if (State == ServiceState::Evacuated)
    return false;
  const TimePoint LastStart = latestStart(Queue, Call, Now);
  if (State == ServiceState::Unavailable)
    return Now + expectedOutageLeft(Queue, Now) < LastStart;
  const bool OnTime = canMeetTarget(Queue, Call, Now);
  const Duration Wait = drainTime(Queue, callsAhead(Queue, OnTime, Now) + 1);
  return Now + Wait < LastStart;
}

void enqueue(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now) {
  if (Queue.m_Waiting.empty())
    recordBusyStart(Queue.m_Rate, Now);
  Queue.m_Waiting.push_back(Call);
}

std::optional<std::size_t> nextCall(const ServiceQueue &Queue, TimePoint Now,
                                    const std::set<std::uint64_t> &PassedOver) {
  const auto Best = std::min_element(
      Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
      [&](const WaitingCall &A, const WaitingCall &B) {
        const bool PassesA = PassedOver.contains(A.m_Number);
        const bool PassesB = PassedOver.contains(B.m_Number);
        return PassesA != PassesB ? PassesB : precedes(Queue, A, B, Now);
      });
  if (Best == Queue.m_Waiting.end() || PassedOver.contains(Best->m_Number))
    return std::nullopt;
  return static_cast<std::size_t>(Best - Queue.m_Waiting.begin());
}

void recordDispatched(ServiceQueue &Queue, std::size_t Index, TimePoint Now) {
  Queue.m_Waiting.erase(Queue.m_Waiting.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  recordServed(Queue.m_Rate, 1, Queue.m_Options.m_Rate, Now);
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
  std::erase_if(Queue.m_Waiting, [&](const WaitingCall &Call) {
    const bool IsExpired = State == ServiceState::Evacuated ||
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

Duration retryAfter(const ServiceQueue &Queue, const WaitingCall &Call,
                    ServiceState State, TimePoint Now, Random &Generator) {
  const auto Longest = std::chrono::duration_cast<Duration>(
      (Call.m_Deadline - Now) * Queue.m_Options.m_RetryAfterShare);
  const Duration Wait =
      State == ServiceState::Available
          ? drainTime(Queue, callsAhead(Queue, false, Now) + 1)
          : expectedOutageLeft(Queue, Now);
  // Nothing is known about the time of a withdrawal.
  if (State == ServiceState::Evacuated)
    return std::max(Longest, Duration::zero());
  const double Spread =
      1.0 + Queue.m_Options.m_RetrySpread * uniformReal(Generator);
  const auto Drawn = std::chrono::duration_cast<Duration>(Wait * Spread);
  return std::clamp(Drawn, std::min(Queue.m_Options.m_MinRetryAfter, Longest),
                    std::max(Longest, Duration::zero()));
}

} // namespace mangocart
