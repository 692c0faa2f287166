// Queue of the calls of one service that wait at a gateway for capacity at a
// backend server: order of dispatch, admission and expiry.
//
// WaitingOrder has the order, PriorityReserve the capacity that less urgent
// calls leave to others, CustomerShares what priorities and customers recently
// got, ReturnTimes when rejected callers come back. A call that cannot be
// answered before its caller disconnects is rejected.
#ifndef MANGOCART_GATEWAY_SERVICEQUEUE_H
#define MANGOCART_GATEWAY_SERVICEQUEUE_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Gateway/CustomerShares.h"
#include "Gateway/PriorityReserve.h"
#include "Gateway/ReturnTimes.h"
#include "Routing/ServiceRate.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

struct WaitingCall {
  // Unique among the waiting calls.
  std::uint64_t m_Number = 0;
  TimePoint m_Arrived;
  // The response meets the target latency if it starts by then.
  TimePoint m_TargetTime;
  // The caller disconnects then if it has received no data, or its deadline
  // passes.
  TimePoint m_CallerTimeoutAt;
  // Deadline of the caller for all its attempts.
  TimePoint m_Deadline;
  // 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  // Empty if the route requires no key.
  std::string m_Customer;
  // The caller comes back after a rejection.
  bool m_Returned = false;
  // Another attempt of a call that has been dispatched before.
  bool m_IsRetry = false;

  bool operator==(const WaitingCall &) const = default;
};

struct ServiceQueueOptions {
  // A rejection is sent this long before the caller would disconnect.
  Duration m_RejectionMargin = std::chrono::milliseconds(150);
  // Callers honour a Retry-After of at most this share of their remaining time.
  double m_RetryAfterShare = 1.0 / 3.0;
  Duration m_MinRetryAfter = std::chrono::milliseconds(200);
  // A waiting call, or one whose caller comes back, is rejected when the
  // expected wait exceeds its remaining time this many times. The rate is known
  // from few calls only, and such a call shouldn't be rejected for a deviation
  // of it.
  double m_HopelessFactor = 4.0;
  // A priority is expected to get at least this fraction of the capacity,
  // whatever arrives of more urgent ones.
  double m_MinCapacityShare = 0.25;
  ServiceRateOptions m_Rate{std::chrono::seconds(2), 20.0,
                            std::chrono::seconds(1)};
  FirstTokenLatencyOptions m_FirstByte{std::chrono::milliseconds(150), 0.1,
                                       std::chrono::seconds(2)};
  // Expected duration of an outage before any was observed: some stalls of a
  // rank group.
  Duration m_InitialOutage = std::chrono::milliseconds(4500);
  // Weight of a new observation in the moving average of outages.
  double m_OutageWeight = 0.3;
  // Lower bound of the expected remaining time of an outage.
  Duration m_MinOutageLeft = std::chrono::milliseconds(500);

  bool operator==(const ServiceQueueOptions &) const = default;
};

struct ServiceQueue {
  ServiceQueueOptions m_Options;
  // In order of arrival.
  std::vector<WaitingCall> m_Waiting;
  // Rate at which calls were dispatched while others waited.
  ServiceRate m_Rate;
  // Time from sending a call to the first byte of its response.
  FirstTokenLatency m_FirstByte;
  // Since when no backend server of the service accepts requests.
  std::optional<TimePoint> m_UnavailableSince;
  // When the service will accept requests again, if that is known.
  std::optional<TimePoint> m_ResumesAt;
  // Moving average of the duration of outages.
  std::optional<Duration> m_MeanOutage;
  CustomerShares m_Shares;
  PriorityReserve m_Reserve;
  ReturnTimes m_Returns;
};

// Unavailable: no backend server of the service accepts requests, so the
// observed dispatch rate does not predict the wait. Evacuated: the same,
// because all are in evacuated zones; no call waits for the withdrawal.
enum class ServiceState { Available, Unavailable, Evacuated };

// Must be called before the functions below. ResumesAt: when an unavailable
// service will accept requests again, if that is known.
void recordState(ServiceQueue &Queue, ServiceState State, TimePoint Now,
                 std::optional<TimePoint> ResumesAt = std::nullopt);

// Expected remaining time of the current outage.
Duration expectedOutageLeft(const ServiceQueue &Queue, TimePoint Now);

// The latest time at which the call is sent, so that its answer begins before
// its caller disconnects.
TimePoint latestStart(const ServiceQueue &Queue, const WaitingCall &Call,
                      TimePoint Now);

// Whether the call's answer can begin within its target latency if it is sent
// now.
bool canMeetTarget(const ServiceQueue &Queue, const WaitingCall &Call,
                   TimePoint Now);

// Must be called for each call before the functions below.
void recordArrival(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now);

// The call leaves capacity to arrivals that are more urgent than this priority:
// its own, and if it is late, to all, as calls on time go before late ones.
// Where all calls have the same priority, none is left.
std::uint32_t reservePriority(const ServiceQueue &Queue,
                              const WaitingCall &Call, TimePoint Now);

// Whether the call must leave the free capacity to more urgent arrivals. Free:
// further requests that the service can take.
bool isHeld(ServiceQueue &Queue, const WaitingCall &Call, std::size_t Free,
            std::size_t Gateways, TimePoint Now);

// Whether a call that finds no free capacity should be queued.
bool shouldEnqueue(const ServiceQueue &Queue, const WaitingCall &Call,
                   ServiceState State, TimePoint Now);

void enqueue(ServiceQueue &Queue, const WaitingCall &Call, TimePoint Now);

// Index in m_Waiting of the call to dispatch next, without those whose numbers
// are passed over; nullopt if none is left.
std::optional<std::size_t>
nextCall(const ServiceQueue &Queue, TimePoint Now,
         const std::set<std::uint64_t> &PassedOver = {});

// Removes a call that was dispatched, and updates the dispatch rate.
void recordDispatched(ServiceQueue &Queue, std::size_t Index, TimePoint Now);
// Records a call that was dispatched without waiting.
void recordImmediate(ServiceQueue &Queue, const WaitingCall &Call,
                     TimePoint Now);
// Records a call that was rejected.
void recordRejected(ServiceQueue &Queue, const WaitingCall &Call,
                    TimePoint Now);
void recordFirstByte(ServiceQueue &Queue, Duration Observed, TimePoint Now);
// Mean time from sending a call to the first byte of its response.
Duration expectedFirstByte(const ServiceQueue &Queue, TimePoint Now);

// Removes and returns the calls that can no longer be answered before their
// callers disconnect, or are not expected to be dispatched by then.
std::vector<WaitingCall> removeExpired(ServiceQueue &Queue, ServiceState State,
                                       TimePoint Now);
// Removes a call whose caller has disconnected.
void removeCall(ServiceQueue &Queue, std::uint64_t Number);

// Retry-After of a rejected call: a time of its own after the expected wait for
// capacity, at most what callers honour. It has a random part shorter than the
// distance to the next one, so that the times of several gateways differ.
Duration retryAfter(ServiceQueue &Queue, const WaitingCall &Call,
                    ServiceState State, TimePoint Now, Random &Generator);

} // namespace mangocart

#endif
