// Model of callers, gateways and a service of fixed capacity for tests of the
// order of waiting calls.
//
// Each gateway has a queue of its own and looks for free slots of the service
// when a call arrives, when one of its calls ends, and every 50 ms. Calls
// beyond the slots wait at the service in order of arrival. A call occupies a
// slot for 0.5 to 2.5 s and gets its first data 150 ms after its dispatch. A
// caller that is rejected comes back once, to any gateway, at the time that it
// was given.
#ifndef MANGOCART_TESTS_OVERLOADMODEL_H
#define MANGOCART_TESTS_OVERLOADMODEL_H

#include "Gateway/ServiceQueue.h"

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace mangocart::model {

constexpr std::size_t Priorities = 3;

// One phase of a load; the phases follow each other.
struct Phase {
  Duration m_Length;
  // Calls per second of each priority, over all gateways.
  std::array<double, Priorities> m_Rates;
  // Slots of the service.
  std::size_t m_Slots = 160;
  // Calls per second of the customer "large", of all priorities alike.
  double m_LargeRate = 0.0;
};

struct Load {
  std::vector<Phase> m_Phases;
  std::size_t m_Gateways = 16;
  std::size_t m_Customers = 24;
  // How often a gateway tells the others how many calls it has at the service;
  // 0: they know at once.
  Duration m_ReportInterval = Duration::zero();
};

struct Tally {
  int m_Calls = 0;
  int m_OnTime = 0;
  int m_Late = 0;
  int m_RejectedTwice = 0;
  int m_Disconnected = 0;

  double onTimeShare() const {
    return m_Calls ? static_cast<double>(m_OnTime) / m_Calls : 1.0;
  }
  double servedShare() const {
    return m_Calls ? static_cast<double>(m_OnTime + m_Late) / m_Calls : 1.0;
  }
};

using Tallies = std::array<Tally, Priorities>;

struct Outcome {
  Tallies m_Priorities;
  // By the phase in which the callers first arrived.
  std::vector<Tallies> m_Phases;
  std::map<std::string, Tally> m_Customers;
  double m_Value = 0.0;
  // Longest time for which a slot was free while the same gateway had a call
  // waiting at each of its looks.
  Duration m_LongestIdle = Duration::zero();
};

// The decisions of one gateway.
class GatewayQueue {
public:
  virtual ~GatewayQueue() = default;

  virtual void arrived(const WaitingCall &Call, TimePoint Now) = 0;
  // Whether the call waits; otherwise it is rejected.
  virtual bool admit(const WaitingCall &Call, TimePoint Now) = 0;
  // Removes and returns the call to dispatch now, if any. Free: free slots of
  // the service.
  virtual std::optional<WaitingCall> take(std::size_t Free, TimePoint Now) = 0;
  virtual std::vector<WaitingCall> expire(TimePoint Now) = 0;
  virtual Duration retryAfter(const WaitingCall &Call, TimePoint Now) = 0;
  // A call has got its first data this long after it was sent.
  virtual void answered(Duration FirstByte, TimePoint Now) = 0;
  virtual std::size_t waiting() const = 0;
};

using QueueFactory = std::function<std::unique_ptr<GatewayQueue>(
    std::size_t Gateways, std::uint64_t Seed)>;

// ServiceQueue as the dispatcher uses it.
std::unique_ptr<GatewayQueue> presentQueue(std::size_t Gateways,
                                           std::uint64_t Seed);
// The order, admission and return times before priorities had reserves and
// customers shares: on time before late, then priority, then arrival.
std::unique_ptr<GatewayQueue> formerQueue(std::size_t Gateways,
                                          std::uint64_t Seed);

Outcome run(const Load &Of, const QueueFactory &Make, std::uint64_t Seed);

// Sum over several seeds.
Outcome runSeeds(const Load &Of, const QueueFactory &Make);

std::string describe(const Outcome &Of);

} // namespace mangocart::model

#endif
