#include "Routing/Admission.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t ServiceUnavailable = 503;

std::uint16_t statusOf(AdmissionReason Reason) {
  switch (Reason) {
  case AdmissionReason::Admitted:
    return 0;
  case AdmissionReason::CustomerLimit:
  case AdmissionReason::CustomerQueueFull:
    return TooManyRequests;
  case AdmissionReason::QueueFull:
  case AdmissionReason::DeadlineTooClose:
    return ServiceUnavailable;
  }
  return ServiceUnavailable;
}

// Customers examined individually; if more are ahead, the whole queue is
// counted.
constexpr std::size_t MaxExamined = 64;
// Lower bound in tokens per second; avoids a division by zero while the queue
// is not served.
constexpr double MinTokensPerSecond = 1.0;

// Tokens served before a new request of the customer starts: those of its own
// queued requests, and those of other customers with an earlier start tag.
double tokensAhead(const FairQueue &Queue, const AdmissionRequest &Arrival) {
  const std::uint64_t Id = Arrival.m_Request.m_Customer;
  const auto Found = Queue.m_Customers.find(Id);
  const double Own = Found == Queue.m_Customers.end()
                         ? 0.0
                         : static_cast<double>(Found->second.m_WaitingTokens);
  const double Start = nextStartTag(Queue, Id) + Own / Arrival.m_Weight;
  double Ahead = Own;
  std::size_t Examined = 0;
  for (const auto &[OtherStart, Other] : Queue.m_ByStartTag) {
    if (OtherStart >= Start)
      break;
    if (++Examined > MaxExamined)
      return static_cast<double>(Queue.m_WaitingTokens);
    if (Other == Id)
      continue;
    const FairQueueCustomer &Customer = Queue.m_Customers.at(Other);
    Ahead += std::min(static_cast<double>(Customer.m_WaitingTokens),
                      (Start - OtherStart) * Customer.m_Weight);
  }
  return Ahead;
}

Duration toDuration(double Seconds) {
  constexpr double Longest = 86400.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, Longest)));
}

} // namespace

std::string_view toString(AdmissionReason Reason) {
  switch (Reason) {
  case AdmissionReason::Admitted:
    return "admitted";
  case AdmissionReason::CustomerLimit:
    return "customer-limit";
  case AdmissionReason::CustomerQueueFull:
    return "customer-queue-full";
  case AdmissionReason::QueueFull:
    return "queue-full";
  case AdmissionReason::DeadlineTooClose:
    return "deadline-too-close";
  }
  return "unknown";
}

Duration expectedWait(const FairQueue &Queue, const AdmissionRequest &Arrival,
                      double TokensPerSecond) {
  if (Queue.m_Requests.empty())
    return Duration::zero();
  if (TokensPerSecond <= 0.0)
    return Duration::max() / 4;
  return toDuration(tokensAhead(Queue, Arrival) / TokensPerSecond);
}

std::vector<QueuedRequest> dropInfeasible(FairQueue &Queue,
                                          double TokensPerSecond,
                                          Duration ExpectedService,
                                          TimePoint Now) {
  const double Rate = std::max(TokensPerSecond, MinTokensPerSecond);
  std::vector<QueuedRequest> Infeasible;
  for (const auto &[Id, Customer] : Queue.m_Customers) {
    double Before = 0.0;
    for (const QueuedRequest &Each : Customer.m_Waiting) {
      const std::chrono::duration<double> Left =
          Each.m_Deadline - Now - ExpectedService;
      // A removed request does not delay those behind it.
      if (Before / Rate > std::max(Left.count(), 0.0))
        Infeasible.push_back(Each);
      else
        Before += static_cast<double>(Each.m_EstimatedTokens);
    }
  }
  for (const QueuedRequest &Each : Infeasible)
    cancel(Queue, Each.m_Request);
  return Infeasible;
}

AdmissionDecision makeRefusal(AdmissionReason Reason, Duration Wait,
                              const AdmissionOptions &Options,
                              Random &Generator) {
  const double JitterFactor =
      1.0 + Options.m_RetryAfterJitter * uniformReal(Generator);
  const double Least =
      std::chrono::duration<double>(Options.m_MinRetryAfter).count();
  const double Base =
      std::max(std::chrono::duration<double>(Wait).count(), Least);
  const double Longest =
      std::chrono::duration<double>(Options.m_MaxRetryAfter).count();
  // The maximum gets jitter too; otherwise all capped callers would retry at
  // the same time.
  const double Seconds =
      std::min(Base, Longest / (1 + Options.m_RetryAfterJitter));
  return {Reason, statusOf(Reason),
          std::chrono::seconds(std::lround(std::ceil(Seconds * JitterFactor)))};
}

AdmissionDecision decideAdmission(const FairQueue &Queue,
                                  const AdmissionRequest &Arrival,
                                  double TokensPerSecond,
                                  const AdmissionOptions &Options,
                                  TimePoint Now, Random &Generator) {
  const auto Refuse = [&](AdmissionReason Reason, Duration Wait) {
    return makeRefusal(Reason, Wait, Options, Generator);
  };
  if (Arrival.m_RateLimitDelay > Duration::zero())
    return Refuse(AdmissionReason::CustomerLimit, Arrival.m_RateLimitDelay);
  const Duration Wait = expectedWait(Queue, Arrival, TokensPerSecond);
  const auto Found = Queue.m_Customers.find(Arrival.m_Request.m_Customer);
  const std::size_t Waiting =
      Found == Queue.m_Customers.end() ? 0 : Found->second.m_Waiting.size();
  if (Waiting >= Queue.m_Limits.m_PerCustomer)
    return Refuse(AdmissionReason::CustomerQueueFull, Wait);
  const auto Left = std::chrono::duration<double>(
      Arrival.m_Request.m_Deadline - Now - Arrival.m_ExpectedServiceTime);
  const auto Usable =
      std::chrono::duration_cast<Duration>(Left * Options.m_DeadlineFraction);
  if (Usable <= Duration::zero() || Wait > Usable)
    return Refuse(AdmissionReason::DeadlineTooClose, Wait - Usable);
  return {};
}

} // namespace mangocart
