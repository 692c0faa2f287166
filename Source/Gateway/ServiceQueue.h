// Requests of one service that wait at a gateway for a place at a backend
// server: who is next, who is refused at once, who is given up.
//
// Who can still be answered on time goes before who can't, so that in an
// overload most are on time and not all late; within each class the more urgent
// and then the earlier goes first. Who can't be answered before its caller
// leaves isn't kept waiting.
#ifndef MANGOCART_GATEWAY_SERVICEQUEUE_H
#define MANGOCART_GATEWAY_SERVICEQUEUE_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Routing/ServiceRate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangocart {

struct WaitingCall {
  // Unique among the waiting calls.
  std::uint64_t m_Number = 0;
  TimePoint m_Arrived;
  // An answer that begins by then is on time.
  TimePoint m_OnTimeUntil;
  // The caller leaves then if nothing has come, or its time is over.
  TimePoint m_LeavesAt;
  // End of the time that the caller has for all its tries.
  TimePoint m_Deadline;
  // 0 is the most urgent.
  std::uint32_t m_Priority = 0;

  bool operator==(const WaitingCall &) const = default;
};

struct ServiceQueueOptions {
  // A caller is told its refusal this long before it would leave.
  Duration m_RefusalMargin = std::chrono::milliseconds(150);
  // Callers honour a Retry-After of at most this part of the time they have
  // left.
  double m_RetryAfterPart = 1.0 / 3.0;
  Duration m_LeastRetryAfter = std::chrono::milliseconds(200);
  // Retry-After is drawn from [wait, wait * (1 + spread)].
  double m_RetrySpread = 0.5;
  ServiceRateOptions m_Rate{std::chrono::seconds(2), 20.0,
                            std::chrono::seconds(1)};
  FirstTokenLatencyOptions m_FirstByte{std::chrono::milliseconds(150), 0.1,
                                       std::chrono::seconds(2)};
  // Time that a service is closed before any was observed: some stalls of a
  // rank group.
  Duration m_FirstOutage = std::chrono::milliseconds(4500);
  // Weight of a new observation.
  double m_OutageWeight = 0.3;
  // A closed service is expected to open no sooner than this.
  Duration m_LeastOutageLeft = std::chrono::milliseconds(500);

  bool operator==(const ServiceQueueOptions &) const = default;
};

struct ServiceQueue {
  ServiceQueueOptions m_Options;
  // In the order of arrival.
  std::vector<WaitingCall> m_Waiting;
  // Calls that were sent on while others waited.
  ServiceRate m_Rate;
  // From sending a call on to the first byte of its answer.
  FirstTokenLatency m_FirstByte;
  // Since when no backend server of the service takes work.
  std::optional<TimePoint> m_ClosedSince;
  // Running mean of the times that the service was closed.
  std::optional<Duration> m_Outage;
};

// Closed: no backend server of the service takes work, so that how fast calls
// were sent on says nothing of the wait.
enum class ServiceState { Open, Closed };

// To be told before the functions below are asked.
void noteState(ServiceQueue &Queue, ServiceState State, TimePoint Now);

// How long a closed service is expected to stay so.
Duration expectedOutageLeft(const ServiceQueue &Queue, TimePoint Now);

// Whether a call that finds no free place should wait.
bool shouldWait(const ServiceQueue &Queue, const WaitingCall &Call,
                ServiceState State, TimePoint Now);

void enqueue(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now);

// Index in m_Waiting of the call that a free place goes to; nothing if none
// waits.
std::optional<std::size_t> nextCall(const ServiceQueue &Queue, TimePoint Now);

// Takes out the call that was sent on.
void noteSentOn(ServiceQueue &Queue, std::size_t Index, TimePoint Now);
void noteFirstByte(ServiceQueue &Queue, Duration Observed, TimePoint Now);
// Mean time from sending a call on to the first byte of its answer.
Duration expectedFirstByte(const ServiceQueue &Queue, TimePoint Now);

// Takes out and returns the calls that can't be answered any more before their
// callers leave.
std::vector<WaitingCall> giveUp(ServiceQueue &Queue, ServiceState State,
                                TimePoint Now);
// Takes out one call whose caller has gone.
void cancelCall(ServiceQueue &Queue, std::uint64_t Number);

// When a refused caller should come again: when there will be room, or as late
// as callers honour while nobody knows.
Duration retryAfter(const ServiceQueue &Queue, const WaitingCall &Call,
                    ServiceState State, TimePoint Now, Random &Generator);

} // namespace mangocart

#endif
