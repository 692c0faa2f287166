#include "Entry/AdmissionController.h"

#include "Core/Hash.h"

namespace mangocart {

namespace {

// Burst of a token bucket, as a time at its rate.
constexpr double BurstSeconds = 1.0;

const AdmissionOptions AdmitOptions;
const LimitShareOptions ShareOptions;
const ServiceRateOptions RateOptions;

// Services other than engines may answer immediately, so no unloaded latency is
// assumed.
FirstTokenLatencyOptions firstByteOptions() {
  FirstTokenLatencyOptions Options;
  Options.m_UnloadedLatency = Duration::zero();
  return Options;
}

} // namespace

AdmissionController::AdmissionController(std::uint64_t Seed,
                                         std::uint32_t EntryIndex,
                                         std::uint32_t EntryCount)
    : m_Random(Seed) {
  m_Shares.m_Entry = EntryIndex;
  m_Shares.m_EntryCount = EntryCount;
  m_Shares.m_Generation = Seed;
}

AdmissionController::ServiceAdmission &
AdmissionController::admissionOf(const std::string &Service, TimePoint Now) {
  const auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    return Found->second;
  ServiceAdmission &Admission = m_Services[Service];
  Admission.m_Rate = startServiceRate(RateOptions, Now);
  return Admission;
}

bool AdmissionController::hasSlot(const ServiceAdmission &Admission) {
  return !Admission.m_Slots || Admission.m_InFlight < *Admission.m_Slots;
}

AdmissionPermit AdmissionController::makePermit(const std::string &Service) {
  return {nullptr, [Self = shared_from_this(), Service](void *) {
            Self->release(Service);
          }};
}

AdmissionController::LimitBucket
AdmissionController::limitOf(const IncomingRequest &Request,
                             std::uint64_t Customer, TimePoint Now) {
  if (Request.m_Limit <= 0.0)
    return {};
  m_Limits[Customer] = Request.m_Limit;
  recordDemand(m_Shares, Customer, static_cast<double>(Request.m_Tokens),
               ShareOptions, Now);
  const double Rate =
      currentShare(m_Shares, Customer, Request.m_Limit, ShareOptions, Now);
  TokenBucket &Bucket = m_Buckets[Customer];
  refill(Bucket, Rate, Rate * BurstSeconds, Now);
  return {&Bucket, Rate};
}

AdmissionDecision AdmissionController::decide(ServiceAdmission &Admission,
                                              const IncomingRequest &Request,
                                              const QueuedRequest &Queued,
                                              TimePoint Now) {
  const LimitBucket Limit = limitOf(Request, Queued.m_Customer, Now);
  const auto Tokens = static_cast<double>(Request.m_Tokens);
  const double Burst = Limit.m_Rate * BurstSeconds;
  AdmissionRequest Arrival;
  Arrival.m_Request = Queued;
  Arrival.m_Weight = Request.m_Weight;
  Arrival.m_ExpectedServiceTime =
      expectedFirstToken(Admission.m_FirstByte, firstByteOptions(), Now);
  if (Limit.m_Bucket)
    Arrival.m_RateLimitDelay =
        timeUntilAvailable(*Limit.m_Bucket, Tokens, Limit.m_Rate, Burst);
  const AdmissionDecision Decision = decideAdmission(
      Admission.m_Queue, Arrival, tokensPerSecond(Admission.m_Rate),
      AdmitOptions, Now, m_Random);
  // Only admitted requests consume tokens of the customer.
  if (Limit.m_Bucket && Decision.m_Reason == AdmissionReason::Admitted)
    tryConsume(*Limit.m_Bucket, Tokens, Limit.m_Rate, Burst, Now);
  return Decision;
}

std::uint64_t AdmissionController::submit(const IncomingRequest &Request,
                                          AdmissionHandler Handler) {
  const TimePoint Now = RuntimeClock::now();
  std::vector<Call> Calls;
  std::uint64_t Number = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceAdmission &Admission = admissionOf(Request.m_Service, Now);
    const QueuedRequest Queued{++m_LastNumber, hash64(Request.m_Customer),
                               Request.m_Tokens, Request.m_Deadline};
    const AdmissionDecision Decision = decide(Admission, Request, Queued, Now);
    if (Decision.m_Reason != AdmissionReason::Admitted) {
      Calls.push_back({std::move(Handler), nullptr, Decision});
    } else {
      Number = Queued.m_Request;
      if (Admission.m_Queue.m_Requests.empty())
        recordBusyStart(Admission.m_Rate, Now);
      m_Waiting[Number] = {std::move(Handler), Request.m_Service};
      const EnqueueResult Result =
          enqueue(Admission.m_Queue, Queued, Request.m_Weight);
      if (Result.m_Status == EnqueueStatus::CustomerFull)
        refuse(Queued, AdmissionReason::CustomerQueueFull, Calls);
      else if (Result.m_Status == EnqueueStatus::QueueFull)
        refuse(Queued, AdmissionReason::QueueFull, Calls);
      if (Result.m_Evicted)
        refuse(*Result.m_Evicted, AdmissionReason::QueueFull, Calls);
      admitWaiting(Request.m_Service, Admission, Calls);
      Number = m_Waiting.contains(Number) ? Number : 0;
    }
  }
  callAll(Calls);
  return Number;
}

void AdmissionController::admitWaiting(const std::string &Service,
                                       ServiceAdmission &Admission,
                                       std::vector<Call> &Calls) {
  while (hasSlot(Admission)) {
    const auto Next = dequeue(Admission.m_Queue);
    if (!Next)
      return;
    const auto Found = m_Waiting.find(Next->m_Request);
    ++Admission.m_InFlight;
    recordServed(Admission.m_Rate, Next->m_EstimatedTokens, RateOptions,
                 RuntimeClock::now());
    Calls.push_back(
        {std::move(Found->second.m_Handler), makePermit(Service), {}});
    m_Waiting.erase(Found);
  }
}

void AdmissionController::refuse(const QueuedRequest &Refused,
                                 AdmissionReason Reason,
                                 std::vector<Call> &Calls) {
  const auto Found = m_Waiting.find(Refused.m_Request);
  if (Found == m_Waiting.end())
    return;
  const ServiceAdmission &Admission = m_Services[Found->second.m_Service];
  const Duration Wait = expectedWait(Admission.m_Queue, {Refused},
                                     tokensPerSecond(Admission.m_Rate));
  Calls.push_back({std::move(Found->second.m_Handler), nullptr,
                   makeRefusal(Reason, Wait, AdmitOptions, m_Random)});
  m_Waiting.erase(Found);
}

void AdmissionController::callAll(std::vector<Call> &Calls) {
  for (Call &Each : Calls)
    Each.m_Handler(std::move(Each.m_Permit), Each.m_Decision);
}

void AdmissionController::release(const std::string &Service) {
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceAdmission &Admission = m_Services[Service];
    --Admission.m_InFlight;
    admitWaiting(Service, Admission, Calls);
  }
  callAll(Calls);
}

void AdmissionController::cancel(const std::string &Service,
                                 std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::cancel(m_Services[Service].m_Queue, Number);
  m_Waiting.erase(Number);
}

void AdmissionController::setCapacity(const std::string &Service,
                                      std::size_t Slots) {
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceAdmission &Admission = admissionOf(Service, RuntimeClock::now());
    Admission.m_Slots = Slots;
    admitWaiting(Service, Admission, Calls);
  }
  callAll(Calls);
}

void AdmissionController::tick() {
  const TimePoint Now = RuntimeClock::now();
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    for (auto &[Service, Admission] : m_Services) {
      // Time without dispatches lowers the rate.
      if (!Admission.m_Queue.m_Requests.empty())
        recordServed(Admission.m_Rate, 0, RateOptions, Now);
      const Duration Needed =
          expectedFirstToken(Admission.m_FirstByte, firstByteOptions(), Now);
      for (const QueuedRequest &Late : expire(Admission.m_Queue, Now + Needed))
        refuse(Late, AdmissionReason::DeadlineTooClose, Calls);
      for (const QueuedRequest &Late :
           dropInfeasible(Admission.m_Queue, tokensPerSecond(Admission.m_Rate),
                          Needed, Now))
        refuse(Late, AdmissionReason::DeadlineTooClose, Calls);
    }
  }
  callAll(Calls);
}

void AdmissionController::recordFirstByte(const std::string &Service,
                                          Duration Observed) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  recordFirstToken(admissionOf(Service, Now).m_FirstByte, Observed,
                   firstByteOptions(), Now);
}

ShareReport AdmissionController::makeShareReport() {
  const std::lock_guard Lock(m_Mutex);
  return makeReport(m_Shares, m_Limits, ShareOptions, RuntimeClock::now());
}

void AdmissionController::applyShareReply(const ShareReply &Reply) {
  const std::lock_guard Lock(m_Mutex);
  applyReply(m_Shares, Reply, ShareOptions, RuntimeClock::now());
}

std::map<std::uint64_t, double> AdmissionController::limits() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Limits;
}

AdmissionController::Load
AdmissionController::load(const std::string &Service) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return {};
  return {Found->second.m_InFlight, Found->second.m_Queue.m_Requests.size(),
          tokensPerSecond(Found->second.m_Rate)};
}

} // namespace mangocart
