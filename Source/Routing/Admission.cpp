// Admission by limit, queue and deadline.
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

// Customers that are looked at one by one; with more of them ahead, the whole
// queue counts.
constexpr std::size_t MaxExamined = 64;
// Tokens a second; a queue that isn't served at all has no rate.
constexpr double LeastRate = 1.0;

// Tokens that are served before a new request of the customer starts: its own
// waiting ones, and of each other customer what starts before.
double tokensAhead(const FairQueue &Queue, const AdmissionRequest &Arrival) {
  const std::uint64_t Id = Arrival.m_Request.m_Customer;
  const auto Found = Queue.m_Customers.find(Id);
  const double Own = Found == Queue.m_Customers.end()
                         ? 0.0
                         : static_cast<double>(Found->second.m_WaitingTokens);
  const double Start = nextStart(Queue, Id) + Own / Arrival.m_Weight;
  double Ahead = Own;
  std::size_t Examined = 0;
  for (const auto &[OtherStart, Other] : Queue.m_ByStart) {
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

std::vector<QueuedRequest> giveUpHopeless(FairQueue &Queue,
                                          double TokensPerSecond,
                                          Duration ExpectedService,
                                          TimePoint Now) {
  const double Rate = std::max(TokensPerSecond, LeastRate);
  std::vector<QueuedRequest> Hopeless;
  for (const auto &[Id, Customer] : Queue.m_Customers) {
    double Before = 0.0;
    for (const QueuedRequest &Each : Customer.m_Waiting) {
      const std::chrono::duration<double> Left =
          Each.m_Deadline - Now - ExpectedService;
      // What is given up holds up nothing behind it.
      if (Before / Rate > std::max(Left.count(), 0.0))
        Hopeless.push_back(Each);
      else
        Before += static_cast<double>(Each.m_EstimatedTokens);
    }
  }
  for (const QueuedRequest &Each : Hopeless)
    cancel(Queue, Each.m_Request);
  return Hopeless;
}

AdmissionVerdict refuseWaiting(AdmissionReason Reason, Duration Wait,
                               const AdmissionOptions &Options,
                               Random &Generator) {
  const double Spread = 1.0 + Options.m_RetrySpread * uniformReal(Generator);
  const double Least =
      std::chrono::duration<double>(Options.m_LeastRetryAfter).count();
  const double Base =
      std::max(std::chrono::duration<double>(Wait).count(), Least);
  const double Longest =
      std::chrono::duration<double>(Options.m_LongestRetryAfter).count();
  // The cap is spread too, or all callers would return at it together.
  const double Seconds = std::min(Base, Longest / (1 + Options.m_RetrySpread));
  return {Reason, statusOf(Reason),
          std::chrono::seconds(std::lround(std::ceil(Seconds * Spread)))};
}

AdmissionVerdict admit(const FairQueue &Queue, const AdmissionRequest &Arrival,
                       double TokensPerSecond, const AdmissionOptions &Options,
                       TimePoint Now, Random &Generator) {
  const auto Refuse = [&](AdmissionReason Reason, Duration Wait) {
    return refuseWaiting(Reason, Wait, Options, Generator);
  };
  if (Arrival.m_LimitWait > Duration::zero())
    return Refuse(AdmissionReason::CustomerLimit, Arrival.m_LimitWait);
  const Duration Wait = expectedWait(Queue, Arrival, TokensPerSecond);
  const auto Found = Queue.m_Customers.find(Arrival.m_Request.m_Customer);
  const std::size_t Waiting =
      Found == Queue.m_Customers.end() ? 0 : Found->second.m_Waiting.size();
  if (Waiting >= Queue.m_Limits.m_PerCustomer)
    return Refuse(AdmissionReason::CustomerQueueFull, Wait);
  const auto Left = std::chrono::duration<double>(
      Arrival.m_Request.m_Deadline - Now - Arrival.m_ExpectedService);
  const auto Usable =
      std::chrono::duration_cast<Duration>(Left * Options.m_DeadlineShare);
  if (Usable <= Duration::zero() || Wait > Usable)
    return Refuse(AdmissionReason::DeadlineTooClose, Wait - Usable);
  return {};
}

} // namespace mangocart
