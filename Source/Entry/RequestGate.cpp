// Queues, slots and limits of an entry.
#include "Entry/RequestGate.h"

#include "Core/Hash.h"

#include <limits>

namespace mangocart {

namespace {

// Weight of a new sample in the running rate.
constexpr double RateWeight = 0.2;
// A bucket saves up this long at its rate.
constexpr double BurstSeconds = 1.0;
constexpr double NoRateYet = std::numeric_limits<double>::infinity();

const AdmissionOptions AdmitOptions;
const LimitShareOptions ShareOptions;

} // namespace

RequestGate::RequestGate(std::uint64_t Seed, std::uint32_t EntryNumber,
                         std::uint32_t EntryCount)
    : m_Random(Seed), m_LastTick(RuntimeClock::now()) {
  m_Shares.m_Entry = EntryNumber;
  m_Shares.m_EntryCount = EntryCount;
  m_Shares.m_Generation = Seed;
}

bool RequestGate::hasSlot(const ServiceGate &Gate) const {
  return !Gate.m_Slots || Gate.m_AtWork < *Gate.m_Slots;
}

GatePass RequestGate::makePass(const std::string &Service,
                               std::uint64_t Tokens) {
  return {nullptr, [Self = shared_from_this(), Service, Tokens](void *) {
            Self->leave(Service, Tokens);
          }};
}

Duration RequestGate::limitWait(const GateRequest &Request,
                                std::uint64_t Customer, TimePoint Now) {
  if (Request.m_Limit <= 0.0)
    return Duration::zero();
  m_Limits[Customer] = Request.m_Limit;
  const auto Tokens = static_cast<double>(Request.m_Tokens);
  noteDemand(m_Shares, Customer, Tokens, ShareOptions, Now);
  const double Share =
      currentShare(m_Shares, Customer, Request.m_Limit, ShareOptions, Now);
  TokenBucket &Bucket = m_Buckets[Customer];
  if (tryTake(Bucket, Tokens, Share, Share * BurstSeconds, Now))
    return Duration::zero();
  return timeUntil(Bucket, Tokens, Share, Share * BurstSeconds);
}

AdmissionVerdict RequestGate::judge(ServiceGate &Gate,
                                    const GateRequest &Request,
                                    const QueuedRequest &Queued,
                                    TimePoint Now) {
  AdmissionRequest Arrival;
  Arrival.m_Request = Queued;
  Arrival.m_Weight = Request.m_Weight;
  Arrival.m_LimitWait = limitWait(Request, Queued.m_Customer, Now);
  return admit(Gate.m_Queue, Arrival,
               Gate.m_TokensPerSecond.value_or(NoRateYet), AdmitOptions, Now,
               m_Random);
}

std::uint64_t RequestGate::enter(const GateRequest &Request,
                                 GateHandler Handler) {
  const TimePoint Now = RuntimeClock::now();
  std::vector<Call> Calls;
  std::uint64_t Number = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceGate &Gate = m_Services[Request.m_Service];
    const QueuedRequest Queued{++m_LastNumber, hash64(Request.m_Customer),
                               Request.m_Tokens, Request.m_Deadline};
    const AdmissionVerdict Verdict = judge(Gate, Request, Queued, Now);
    if (Verdict.m_Reason != AdmissionReason::Admitted) {
      Calls.push_back({std::move(Handler), nullptr, Verdict});
    } else {
      Number = Queued.m_Request;
      m_Waiting[Number] = {std::move(Handler), Request.m_Service};
      const EnqueueResult Result =
          enqueue(Gate.m_Queue, Queued, Request.m_Weight);
      if (Result.m_Verdict == EnqueueVerdict::CustomerFull)
        refuse(Queued, AdmissionReason::CustomerQueueFull, Calls);
      else if (Result.m_Verdict == EnqueueVerdict::QueueFull)
        refuse(Queued, AdmissionReason::QueueFull, Calls);
      if (Result.m_Displaced)
        refuse(*Result.m_Displaced, AdmissionReason::QueueFull, Calls);
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
    Calls.push_back({std::move(Found->second.m_Handler),
                     makePass(Service, Next->m_EstimatedTokens),
                     {}});
    m_Waiting.erase(Found);
  }
  Gate.m_WasBusy = true;
}

void RequestGate::refuse(const QueuedRequest &Refused, AdmissionReason Reason,
                         std::vector<Call> &Calls) {
  const auto Found = m_Waiting.find(Refused.m_Request);
  if (Found == m_Waiting.end())
    return;
  const ServiceGate &Gate = m_Services[Found->second.m_Service];
  const double Rate = Gate.m_TokensPerSecond.value_or(NoRateYet);
  const std::chrono::duration<double> Wait(
      static_cast<double>(Gate.m_Queue.m_WaitingTokens) / Rate);
  Calls.push_back(
      {std::move(Found->second.m_Handler), nullptr,
       refuseWaiting(Reason, std::chrono::duration_cast<Duration>(Wait),
                     AdmitOptions, m_Random)});
  m_Waiting.erase(Found);
}

void RequestGate::callAll(std::vector<Call> &Calls) {
  for (Call &Each : Calls)
    Each.m_Handler(std::move(Each.m_Pass), Each.m_Verdict);
}

void RequestGate::leave(const std::string &Service, std::uint64_t Tokens) {
  std::vector<Call> Calls;
  {
    const std::lock_guard Lock(m_Mutex);
    ServiceGate &Gate = m_Services[Service];
    --Gate.m_AtWork;
    Gate.m_TokensDone += Tokens;
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
    ServiceGate &Gate = m_Services[Service];
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
    const std::chrono::duration<double> Passed = Now - m_LastTick;
    m_LastTick = Now;
    for (auto &[Service, Gate] : m_Services) {
      const auto Done =
          static_cast<double>(std::exchange(Gate.m_TokensDone, 0));
      if (std::exchange(Gate.m_WasBusy, !hasSlot(Gate)) && !hasSlot(Gate) &&
          Passed.count() > 0) {
        const double Sample = Done / Passed.count();
        const double Before = Gate.m_TokensPerSecond.value_or(Sample);
        Gate.m_TokensPerSecond = Before + RateWeight * (Sample - Before);
      }
      for (const QueuedRequest &Late : expire(Gate.m_Queue, Now))
        refuse(Late, AdmissionReason::DeadlineTooClose, Calls);
    }
  }
  callAll(Calls);
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
          Found->second.m_TokensPerSecond.value_or(0.0)};
}

} // namespace mangocart
