// Queues, slots and limits of an entry.
#include "Entry/AdmissionController.h"

#include "Core/Hash.h"

namespace mangocart {

namespace {

// A bucket saves up this long at its rate.
constexpr double BurstSeconds = 1.0;

const AdmissionOptions AdmitOptions;
const LimitShareOptions ShareOptions;
const ServiceRateOptions RateOptions;

// Plain services may answer in no time, so nothing is presumed.
FirstTokenLatencyOptions firstByteOptions() {
  FirstTokenLatencyOptions Options;
  Options.m_UnloadedLatency = Duration::zero();
  return Options;
}

} // namespace

RequestGate::RequestGate(std::uint64_t Seed, std::uint32_t EntryNumber,
                         std::uint32_t EntryCount)
    : m_Random(Seed) {
  m_Shares.m_Entry = EntryNumber;
  m_Shares.m_EntryCount = EntryCount;
  m_Shares.m_Generation = Seed;
}

RequestGate::ServiceGate &RequestGate::gateOf(const std::string &Service,
                                              TimePoint Now) {
  const auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    return Found->second;
  ServiceGate &Gate = m_Services[Service];
  Gate.m_Rate = startServiceRate(RateOptions, Now);
  return Gate;
}

bool RequestGate::hasSlot(const ServiceGate &Gate) {
  return !Gate.m_Slots || Gate.m_AtWork < *Gate.m_Slots;
}

GatePass RequestGate::makePass(const std::string &Service) {
  return {nullptr, [Self = shared_from_this(), Service](void *) {
            Self->leave(Service);
          }};
}

RequestGate::LimitBucket RequestGate::limitOf(const GateRequest &Request,
                                              std::uint64_t Customer,
                                              TimePoint Now) {
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

AdmissionDecision RequestGate::judge(ServiceGate &Gate,
                                     const GateRequest &Request,
                                     const QueuedRequest &Queued,
                                     TimePoint Now) {
  const LimitBucket Limit = limitOf(Request, Queued.m_Customer, Now);
  const auto Tokens = static_cast<double>(Request.m_Tokens);
  const double Burst = Limit.m_Rate * BurstSeconds;
  AdmissionRequest Arrival;
  Arrival.m_Request = Queued;
  Arrival.m_Weight = Request.m_Weight;
  Arrival.m_ExpectedServiceTime =
      expectedFirstToken(Gate.m_FirstByte, firstByteOptions(), Now);
  if (Limit.m_Bucket)
    Arrival.m_RateLimitDelay =
        timeUntilAvailable(*Limit.m_Bucket, Tokens, Limit.m_Rate, Burst);
  const AdmissionDecision Verdict =
      decideAdmission(Gate.m_Queue, Arrival, tokensPerSecond(Gate.m_Rate),
                      AdmitOptions, Now, m_Random);
  // Only what is admitted costs the customer tokens.
  if (Limit.m_Bucket && Verdict.m_Reason == AdmissionReason::Admitted)
    tryConsume(*Limit.m_Bucket, Tokens, Limit.m_Rate, Burst, Now);
  return Verdict;
}

std::uint64_t RequestGate::enter(const GateRequest &Request,
                                 GateHandler Handler) {
  const TimePoint Now = RuntimeClock::now();
  std::vector<Call> Calls;
  std::uint64_t Number = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceGate &Gate = gateOf(Request.m_Service, Now);
    const QueuedRequest Queued{++m_LastNumber, hash64(Request.m_Customer),
                               Request.m_Tokens, Request.m_Deadline};
    const AdmissionDecision Verdict = judge(Gate, Request, Queued, Now);
    if (Verdict.m_Reason != AdmissionReason::Admitted) {
      Calls.push_back({std::move(Handler), nullptr, Verdict});
    } else {
      Number = Queued.m_Request;
      if (Gate.m_Queue.m_Requests.empty())
        recordBusyStart(Gate.m_Rate, Now);
      m_Waiting[Number] = {std::move(Handler), Request.m_Service};
      const EnqueueResult Result =
          enqueue(Gate.m_Queue, Queued, Request.m_Weight);
      if (Result.m_Status == EnqueueStatus::CustomerFull)
        refuse(Queued, AdmissionReason::CustomerQueueFull, Calls);
      else if (Result.m_Status == EnqueueStatus::QueueFull)
        refuse(Queued, AdmissionReason::QueueFull, Calls);
      if (Result.m_Evicted)
        refuse(*Result.m_Evicted, AdmissionReason::QueueFull, Calls);
      admitWaiting(Request.m_Service, Gate, Calls);
      Number = m_Waiting.contains(Number) ? Number : 0;
    }
  }
  callAll(Calls);
  return Number;
}

void RequestGate::admitWaiting(const std::string &Service, ServiceGate &Gate,
                               std::vector<Call> &Calls) {
  while (hasSlot(Gate)) {
    const auto Next = dequeue(Gate.m_Queue);
    if (!Next)
      return;
    const auto Found = m_Waiting.find(Next->m_Request);
    ++Gate.m_AtWork;
    recordServed(Gate.m_Rate, Next->m_EstimatedTokens, RateOptions,
                 RuntimeClock::now());
    Calls.push_back(
        {std::move(Found->second.m_Handler), makePass(Service), {}});
    m_Waiting.erase(Found);
  }
}

void RequestGate::refuse(const QueuedRequest &Refused, AdmissionReason Reason,
                         std::vector<Call> &Calls) {
  const auto Found = m_Waiting.find(Refused.m_Request);
  if (Found == m_Waiting.end())
    return;
  const ServiceGate &Gate = m_Services[Found->second.m_Service];
  const Duration Wait =
      expectedWait(Gate.m_Queue, {Refused}, tokensPerSecond(Gate.m_Rate));
  Calls.push_back({std::move(Found->second.m_Handler), nullptr,
                   makeRefusal(Reason, Wait, AdmitOptions, m_Random)});
  m_Waiting.erase(Found);
}

void RequestGate::callAll(std::vector<Call> &Calls) {
  for (Call &Each : Calls)
    Each.m_Handler(std::move(Each.m_Pass), Each.m_Verdict);
}

void RequestGate::leave(const std::string &Service) {
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceGate &Gate = m_Services[Service];
    --Gate.m_AtWork;
    admitWaiting(Service, Gate, Calls);
  }
  callAll(Calls);
}

void RequestGate::cancel(const std::string &Service, std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::cancel(m_Services[Service].m_Queue, Number);
  m_Waiting.erase(Number);
}

void RequestGate::setCapacity(const std::string &Service, std::size_t Slots) {
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceGate &Gate = gateOf(Service, RuntimeClock::now());
    Gate.m_Slots = Slots;
    admitWaiting(Service, Gate, Calls);
  }
  callAll(Calls);
}

void RequestGate::tick() {
  const TimePoint Now = RuntimeClock::now();
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    for (auto &[Service, Gate] : m_Services) {
      // Waiting in vain lowers the rate as well.
      if (!Gate.m_Queue.m_Requests.empty())
        recordServed(Gate.m_Rate, 0, RateOptions, Now);
      const Duration Needed =
          expectedFirstToken(Gate.m_FirstByte, firstByteOptions(), Now);
      for (const QueuedRequest &Late : expire(Gate.m_Queue, Now + Needed))
        refuse(Late, AdmissionReason::DeadlineTooClose, Calls);
      for (const QueuedRequest &Late : dropInfeasible(
               Gate.m_Queue, tokensPerSecond(Gate.m_Rate), Needed, Now))
        refuse(Late, AdmissionReason::DeadlineTooClose, Calls);
    }
  }
  callAll(Calls);
}

void RequestGate::noteFirstByte(const std::string &Service, Duration Observed) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  recordFirstToken(gateOf(Service, Now).m_FirstByte, Observed,
                   firstByteOptions(), Now);
}

ShareReport RequestGate::makeShareReport() {
  const std::lock_guard Lock(m_Mutex);
  return makeReport(m_Shares, m_Limits, ShareOptions, RuntimeClock::now());
}

void RequestGate::applyShareReply(const ShareReply &Reply) {
  const std::lock_guard Lock(m_Mutex);
  applyReply(m_Shares, Reply, ShareOptions, RuntimeClock::now());
}

std::map<std::uint64_t, double> RequestGate::limits() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Limits;
}

RequestGate::Load RequestGate::load(const std::string &Service) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return {};
  return {Found->second.m_AtWork, Found->second.m_Queue.m_Requests.size(),
          tokensPerSecond(Found->second.m_Rate)};
}

} // namespace mangocart
