// Order, expected waits and refusals.
#include "Gateway/ServiceQueue.h"

#include <algorithm>

namespace mangocart {

namespace {

bool canBeOnTime(const ServiceQueue &Queue, const WaitingCall &Call,
                 TimePoint Now) {
  return Now + expectedFirstByte(Queue, Now) <= Call.m_OnTimeUntil;
}

Duration timeFor(const ServiceQueue &Queue, double Calls) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Calls / std::max(tokensPerSecond(Queue.m_Rate), 0.1)));
}

// Calls that go before a new one of the class.
double callsBefore(const ServiceQueue &Queue, bool OnTime, TimePoint Now) {
  return static_cast<double>(
      std::count_if(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                    [&](const WaitingCall &Other) {
                      return !OnTime || canBeOnTime(Queue, Other, Now);
                    }));
}

// Whether A goes before B.
bool goesFirst(const ServiceQueue &Queue, const WaitingCall &A,
               const WaitingCall &B, TimePoint Now) {
  const bool OnTimeA = canBeOnTime(Queue, A, Now);
  const bool OnTimeB = canBeOnTime(Queue, B, Now);
  if (OnTimeA != OnTimeB)
    return OnTimeA;
  if (A.m_Priority != B.m_Priority)
    return A.m_Priority < B.m_Priority;
  return OnTimeA ? A.m_Arrived < B.m_Arrived : A.m_LeavesAt < B.m_LeavesAt;
}

} // namespace

void noteState(ServiceQueue &Queue, ServiceState State, TimePoint Now) {
  if (State == ServiceState::Closed) {
    if (!Queue.m_ClosedSince)
      Queue.m_ClosedSince = Now;
    return;
  }
  if (!Queue.m_ClosedSince)
    return;
  const Duration Lasted = Now - *Queue.m_ClosedSince;
  const ServiceQueueOptions &Options = Queue.m_Options;
  const Duration Before = Queue.m_Outage.value_or(Options.m_FirstOutage);
  Queue.m_Outage = Before + std::chrono::duration_cast<Duration>(
                                (Lasted - Before) * Options.m_OutageWeight);
  Queue.m_ClosedSince.reset();
}

Duration expectedOutageLeft(const ServiceQueue &Queue, TimePoint Now) {
  const Duration Lasted =
      Queue.m_ClosedSince ? Now - *Queue.m_ClosedSince : Duration::zero();
  return std::max(Queue.m_Outage.value_or(Queue.m_Options.m_FirstOutage) -
                      Lasted,
                  Queue.m_Options.m_LeastOutageLeft);
}

bool shouldWait(const ServiceQueue &Queue, const WaitingCall &Call,
                ServiceState State, TimePoint Now) {
  const TimePoint LastStart = Call.m_LeavesAt -
                              Queue.m_Options.m_RefusalMargin -
                              expectedFirstByte(Queue, Now);
  if (State == ServiceState::Closed)
    return Now + expectedOutageLeft(Queue, Now) < LastStart;
  const bool OnTime = canBeOnTime(Queue, Call, Now);
  const Duration Wait = timeFor(Queue, callsBefore(Queue, OnTime, Now) + 1);
  return Now + Wait < LastStart;
}

void enqueue(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now) {
  if (Queue.m_Waiting.empty())
    recordBusyStart(Queue.m_Rate, Now);
  Queue.m_Waiting.push_back(Call);
}

std::optional<std::size_t> nextCall(const ServiceQueue &Queue, TimePoint Now) {
  const auto Best =
      std::min_element(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                       [&](const WaitingCall &A, const WaitingCall &B) {
                         return goesFirst(Queue, A, B, Now);
                       });
  if (Best == Queue.m_Waiting.end())
    return std::nullopt;
  return static_cast<std::size_t>(Best - Queue.m_Waiting.begin());
}

void noteSentOn(ServiceQueue &Queue, std::size_t Index, TimePoint Now) {
  Queue.m_Waiting.erase(Queue.m_Waiting.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  recordServed(Queue.m_Rate, 1, Queue.m_Options.m_Rate, Now);
}

void noteFirstByte(ServiceQueue &Queue, Duration Observed, TimePoint Now) {
  recordFirstToken(Queue.m_FirstByte, Observed, Queue.m_Options.m_FirstByte,
                   Now);
}

Duration expectedFirstByte(const ServiceQueue &Queue, TimePoint Now) {
  return expectedFirstToken(Queue.m_FirstByte, Queue.m_Options.m_FirstByte,
                            Now);
}

std::vector<WaitingCall> giveUp(ServiceQueue &Queue, ServiceState State,
                                TimePoint Now) {
  std::vector<WaitingCall> Hopeless;
  const Duration First = State == ServiceState::Closed
                             ? Duration::zero()
                             : expectedFirstByte(Queue, Now);
  std::erase_if(Queue.m_Waiting, [&](const WaitingCall &Call) {
    const bool Ends =
        Now + First + Queue.m_Options.m_RefusalMargin >= Call.m_LeavesAt;
    if (Ends)
      Hopeless.push_back(Call);
    return Ends;
  });
  return Hopeless;
}

void cancelCall(ServiceQueue &Queue, std::uint64_t Number) {
  std::erase_if(Queue.m_Waiting, [&](const WaitingCall &Call) {
    return Call.m_Number == Number;
  });
}

Duration retryAfter(const ServiceQueue &Queue, const WaitingCall &Call,
                    ServiceState State, TimePoint Now, Random &Generator) {
  const auto Longest = std::chrono::duration_cast<Duration>(
      (Call.m_Deadline - Now) * Queue.m_Options.m_RetryAfterPart);
  const Duration Wait = State == ServiceState::Open
                            ? timeFor(Queue, callsBefore(Queue, false, Now) + 1)
                            : expectedOutageLeft(Queue, Now);
  const double Spread =
      1.0 + Queue.m_Options.m_RetrySpread * uniformReal(Generator);
  const auto Drawn = std::chrono::duration_cast<Duration>(Wait * Spread);
  return std::clamp(Drawn, std::min(Queue.m_Options.m_LeastRetryAfter, Longest),
                    std::max(Longest, Duration::zero()));
}

} // namespace mangocart
