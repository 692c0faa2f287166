// The present and the former decisions of a gateway, for the model.
#include "Gateway/OverloadModel.h"

#include <algorithm>

namespace mangocart::model {

using namespace std::chrono_literals;

namespace {

constexpr ServiceState State = ServiceState::Available;

class PresentQueue : public GatewayQueue {
public:
  PresentQueue(std::size_t Gateways, std::uint64_t Seed)
      : m_Gateways(Gateways), m_Random(Seed) {
    m_Queue.m_Rate =
        startServiceRate(m_Queue.m_Options.m_Rate, TimePoint{1000s});
  }

  void arrived(const WaitingCall &Call, TimePoint Now) override {
    recordArrival(m_Queue, Call, Now);
  }
  bool admit(const WaitingCall &Call, TimePoint Now) override {
    // The dispatcher sends a call at once if none waits and there is capacity.
    if (!m_Queue.m_Waiting.empty() && !shouldEnqueue(m_Queue, Call, State, Now))
      return false;
    enqueue(m_Queue, Call, Now);
    return true;
  }
  std::optional<WaitingCall> take(std::size_t Free, TimePoint Now) override {
    if (Free == 0) {
      if (!m_Queue.m_Waiting.empty())
        recordShortage(m_Queue.m_Reserve, Now);
      return std::nullopt;
    }
    std::set<std::uint64_t> PassedOver;
    while (const auto Next = nextCall(m_Queue, Now, PassedOver)) {
      const WaitingCall Call = m_Queue.m_Waiting[*Next];
      if (isHeld(m_Queue, Call, Free, m_Gateways, Now)) {
        PassedOver.insert(Call.m_Number);
        continue;
      }
      recordDispatched(m_Queue, *Next, Now);
      return Call;
    }
    return std::nullopt;
  }
  std::vector<WaitingCall> expire(TimePoint Now) override {
    return removeExpired(m_Queue, State, Now);
  }
  Duration retryAfter(const WaitingCall &Call, TimePoint Now) override {
    recordRejected(m_Queue, Call, Now);
    return mangocart::retryAfter(m_Queue, Call, State, Now, m_Random);
  }
  void answered(Duration FirstByte, TimePoint Now) override {
    recordFirstByte(m_Queue, FirstByte, Now);
  }
  std::size_t waiting() const override { return m_Queue.m_Waiting.size(); }

private:
  ServiceQueue m_Queue;
  const std::size_t m_Gateways;
  Random m_Random;
};

class FormerQueue : public GatewayQueue {
public:
  explicit FormerQueue(std::uint64_t Seed) : m_Random(Seed) {
    m_Rate = startServiceRate(Options.m_Rate, TimePoint{1000s});
  }

  void arrived(const WaitingCall &, TimePoint) override {}
  bool admit(const WaitingCall &Call, TimePoint Now) override {
    const bool OnTime = isOnTime(Call, Now);
    if (!m_Waiting.empty() &&
        Now + drainTime(callsAhead(OnTime, Now) + 1) >=
            Call.m_CallerTimeoutAt - Options.m_RejectionMargin - firstByte(Now))
      return false;
    if (m_Waiting.empty())
      recordBusyStart(m_Rate, Now);
    m_Waiting.push_back(Call);
    return true;
  }
  std::optional<WaitingCall> take(std::size_t Free, TimePoint Now) override {
    const auto Next =
        std::min_element(m_Waiting.begin(), m_Waiting.end(),
                         [&](const WaitingCall &A, const WaitingCall &B) {
                           return precedes(A, B, Now);
                         });
    if (Free == 0 || Next == m_Waiting.end())
      return std::nullopt;
    const WaitingCall Call = *Next;
    m_Waiting.erase(Next);
    recordServed(m_Rate, 1, Options.m_Rate, Now);
    return Call;
  }
  std::vector<WaitingCall> expire(TimePoint Now) override {
    std::vector<WaitingCall> Expired;
    std::erase_if(m_Waiting, [&](const WaitingCall &Call) {
      const bool IsExpired = Now + firstByte(Now) + Options.m_RejectionMargin >=
                             Call.m_CallerTimeoutAt;
      if (IsExpired)
        Expired.push_back(Call);
      return IsExpired;
    });
    return Expired;
  }
  Duration retryAfter(const WaitingCall &Call, TimePoint Now) override {
    const auto Longest = std::chrono::duration_cast<Duration>(
        (Call.m_Deadline - Now) * Options.m_RetryAfterShare);
    const auto Drawn = std::chrono::duration_cast<Duration>(
        drainTime(callsAhead(false, Now) + 1) *
        (1.0 + 0.5 * uniformReal(m_Random)));
    return std::clamp(Drawn, std::min(Options.m_MinRetryAfter, Longest),
                      std::max(Longest, Duration::zero()));
  }
  void answered(Duration FirstByte, TimePoint Now) override {
    recordFirstToken(m_FirstByte, FirstByte, Options.m_FirstByte, Now);
  }
  std::size_t waiting() const override { return m_Waiting.size(); }

private:
  static inline const ServiceQueueOptions Options;

  Duration firstByte(TimePoint Now) const {
    return expectedFirstToken(m_FirstByte, Options.m_FirstByte, Now);
  }
  bool isOnTime(const WaitingCall &Call, TimePoint Now) const {
    return Now + firstByte(Now) <= Call.m_TargetTime;
  }
  Duration drainTime(double Calls) const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        Calls / std::max(tokensPerSecond(m_Rate), 0.1)));
  }
  double callsAhead(bool OnTime, TimePoint Now) const {
    return static_cast<double>(std::count_if(
        m_Waiting.begin(), m_Waiting.end(), [&](const WaitingCall &Other) {
          return !OnTime || isOnTime(Other, Now);
        }));
  }
  bool precedes(const WaitingCall &A, const WaitingCall &B,
                TimePoint Now) const {
    const bool OnTimeA = isOnTime(A, Now);
    if (OnTimeA != isOnTime(B, Now))
      return OnTimeA;
    if (A.m_Priority != B.m_Priority)
      return A.m_Priority < B.m_Priority;
    return OnTimeA ? A.m_Arrived < B.m_Arrived
                   : A.m_CallerTimeoutAt < B.m_CallerTimeoutAt;
  }

  std::vector<WaitingCall> m_Waiting;
  FirstTokenLatency m_FirstByte;
  ServiceRate m_Rate;
  Random m_Random;
};

} // namespace

std::unique_ptr<GatewayQueue> presentQueue(std::size_t Gateways,
                                           std::uint64_t Seed) {
  return std::make_unique<PresentQueue>(Gateways, Seed);
}

std::unique_ptr<GatewayQueue> formerQueue(std::size_t, std::uint64_t Seed) {
  return std::make_unique<FormerQueue>(Seed);
}

} // namespace mangocart::model
