// Decides when a request may go on: bounded queues per service, fair among
// customers by weight, with the customers' limits. What can't be met in time is
// refused at once.
#ifndef MANGOCART_ENTRY_ADMISSIONCONTROLLER_H
#define MANGOCART_ENTRY_ADMISSIONCONTROLLER_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Routing/Admission.h"
#include "Routing/FairQueue.h"
#include "Routing/LimitShares.h"
#include "Routing/ServiceRate.h"
#include "Routing/TokenBucket.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

struct GateRequest {
  std::string m_Service;
  std::string m_Customer;
  double m_Weight = 1.0;
  // Tokens a second over the whole deployment; 0 for no limit.
  double m_Limit = 0.0;
  std::uint64_t m_Tokens = 1;
  TimePoint m_Deadline;
};

// Held while a request is at work; its end frees the slot.
using GatePass = std::shared_ptr<void>;

// Called once, possibly before enter() returns: with a pass when the request
// may go on, else with the refusal. Any thread.
using GateHandler = std::function<void(GatePass, const AdmissionDecision &)>;

// Safe to use from any thread. Its mutex is a leaf of the lock order; handlers
// are called without it.
class RequestGate : public std::enable_shared_from_this<RequestGate> {
public:
  // EntryNumber and EntryCount place this entry among those that share the
  // customers' limits.
  RequestGate(std::uint64_t Seed, std::uint32_t EntryNumber,
              std::uint32_t EntryCount);

  // Returns the number of a waiting request, 0 when it isn't waiting.
  std::uint64_t enter(const GateRequest &Request, GateHandler Handler);
  // The caller has gone; the handler is not called any more.
  void cancel(const std::string &Service, std::uint64_t Number);

  // Slots that the service's backend servers offer this entry.
  void setCapacity(const std::string &Service, std::size_t Slots);
  // Refuses what has waited too long. Every 100 ms or so.
  void tick();
  // Time from sending a request on to the head of its answer.
  void noteFirstByte(const std::string &Service, Duration Observed);

  // Shares of limits: the report for the planner, and its reply.
  ShareReport makeShareReport();
  void applyShareReply(const ShareReply &Reply);
  // The limits that requests have carried, by customer hash.
  std::map<std::uint64_t, double> limits() const;

  struct Load {
    std::size_t m_AtWork = 0;
    std::size_t m_Waiting = 0;
    double m_TokensPerSecond = 0.0;
  };
  Load load(const std::string &Service) const;

private:
  struct Waiting {
    GateHandler m_Handler;
    std::string m_Service;
  };
  struct ServiceGate {
    FairQueue m_Queue;
    // No bound until the first capacity is known.
    std::optional<std::size_t> m_Slots;
    std::size_t m_AtWork = 0;
    ServiceRate m_Rate;
    FirstTokenLatency m_FirstByte;
  };
  // A handler to be called once the mutex is free.
  struct Call {
    GateHandler m_Handler;
    GatePass m_Pass;
    AdmissionDecision m_Verdict;
  };

  ServiceGate &gateOf(const std::string &Service, TimePoint Now);
  static bool hasSlot(const ServiceGate &Gate);
  GatePass makePass(const std::string &Service);
  void leave(const std::string &Service);
  void admitWaiting(const std::string &Service, ServiceGate &Gate,
                    std::vector<Call> &Calls);
  AdmissionDecision judge(ServiceGate &Gate, const GateRequest &Request,
                          const QueuedRequest &Queued, TimePoint Now);
  // The customer's bucket and its rate; null without a limit.
  struct LimitBucket {
    TokenBucket *m_Bucket = nullptr;
    double m_Rate = 0.0;
  };
  LimitBucket limitOf(const GateRequest &Request, std::uint64_t Customer,
                      TimePoint Now);
  void refuse(const QueuedRequest &Refused, AdmissionReason Reason,
              std::vector<Call> &Calls);
  static void callAll(std::vector<Call> &Calls);

  mutable std::mutex m_Mutex;
  // All below guarded by m_Mutex.
  std::map<std::string, ServiceGate> m_Services;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::map<std::uint64_t, TokenBucket> m_Buckets;
  std::map<std::uint64_t, double> m_Limits;
  EntryShares m_Shares;
  Random m_Random;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
