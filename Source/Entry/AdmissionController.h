// Admission control: bounded queues per service, weighted fair among customers,
// with rate limits per customer. A request that cannot be served in time is
// rejected at once.
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

struct IncomingRequest {
  std::string m_Service;
  std::string m_Customer;
  double m_Weight = 1.0;
  // Rate limit in tokens per second over the whole deployment; 0 for no limit.
  double m_Limit = 0.0;
  std::uint64_t m_Tokens = 1;
  TimePoint m_Deadline;
};

// Held while a request is in flight; its destruction frees the slot.
using AdmissionPermit = std::shared_ptr<void>;

// Called exactly once, possibly before submit() returns and on any thread: with
// a permit if the request is admitted, otherwise with the rejection.
using AdmissionHandler =
    std::function<void(AdmissionPermit, const AdmissionDecision &)>;

// Thread-safe. Its mutex is a leaf of the lock order; handlers are called
// without it.
class AdmissionController
    : public std::enable_shared_from_this<AdmissionController> {
public:
  // EntryIndex and EntryCount identify this entry among those that share the
  // customers' limits.
  AdmissionController(std::uint64_t Seed, std::uint32_t EntryIndex,
                      std::uint32_t EntryCount);

  // Returns the number of a queued request; 0 if it is not queued.
  std::uint64_t submit(const IncomingRequest &Request,
                       AdmissionHandler Handler);
  // Removes a queued request whose caller disconnected; its handler is not
  // called.
  void cancel(const std::string &Service, std::uint64_t Number);

  // Sets the number of slots that the service's backend servers offer to this
  // entry.
  void setCapacity(const std::string &Service, std::size_t Slots);
  // Rejects requests that were queued for too long. Call it about every 100 ms.
  void tick();
  // Records the time from dispatch to the head of the answer.
  void recordFirstByte(const std::string &Service, Duration Observed);

  // Creates the report for the planner of limit shares, and applies its reply.
  ShareReport makeShareReport();
  void applyShareReply(const ShareReply &Reply);
  // Limits of the customers seen in requests, by customer hash.
  std::map<std::uint64_t, double> limits() const;

  struct Load {
    std::size_t m_InFlight = 0;
    std::size_t m_Waiting = 0;
    double m_TokensPerSecond = 0.0;
  };
  Load load(const std::string &Service) const;

private:
  struct Waiting {
    AdmissionHandler m_Handler;
    std::string m_Service;
  };
  struct ServiceAdmission {
    FairQueue m_Queue;
    // Unlimited until the capacity is first set.
    std::optional<std::size_t> m_Slots;
    std::size_t m_InFlight = 0;
    ServiceRate m_Rate;
    FirstTokenLatency m_FirstByte;
  };
  // A handler call to be made after the mutex is released.
  struct Call {
    AdmissionHandler m_Handler;
    AdmissionPermit m_Permit;
    AdmissionDecision m_Decision;
  };

  ServiceAdmission &admissionOf(const std::string &Service, TimePoint Now);
  static bool hasSlot(const ServiceAdmission &Admission);
  AdmissionPermit makePermit(const std::string &Service);
  void release(const std::string &Service);
  void admitWaiting(const std::string &Service, ServiceAdmission &Admission,
                    std::vector<Call> &Calls);
  AdmissionDecision decide(ServiceAdmission &Admission,
                           const IncomingRequest &Request,
                           const QueuedRequest &Queued, TimePoint Now);
  // The customer's token bucket and its rate; null without a limit.
  struct LimitBucket {
    TokenBucket *m_Bucket = nullptr;
    double m_Rate = 0.0;
  };
  LimitBucket limitOf(const IncomingRequest &Request, std::uint64_t Customer,
                      TimePoint Now);
  void refuse(const QueuedRequest &Refused, AdmissionReason Reason,
              std::vector<Call> &Calls);
  static void callAll(std::vector<Call> &Calls);

  mutable std::mutex m_Mutex;
  // The members below are guarded by m_Mutex.
  std::map<std::string, ServiceAdmission> m_Services;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::map<std::uint64_t, TokenBucket> m_Buckets;
  std::map<std::uint64_t, double> m_Limits;
  EntryShares m_Shares;
  Random m_Random;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
