// Start-time fair queueing: a request starts at the finish of its customer's
// request before it, but at most the credit before the virtual time, and ends
// its tokens over the weight later; the earliest start goes first.
#include "Routing/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace mangocart {

namespace {

double backlog(const FairQueueCustomer &Customer) {
  return static_cast<double>(Customer.m_WaitingTokens) / Customer.m_Weight;
}

// Start of a customer whose credit is whole.
double earliestStart(const FairQueue &Queue) {
  return Queue.m_VirtualTime - Queue.m_Limits.m_Credit;
}

// Takes the customer out of the orders; its keys must be as they were put in.
void unlink(FairQueue &Queue, std::uint64_t Id,
            const FairQueueCustomer &Customer) {
  if (Customer.m_Waiting.empty()) {
    Queue.m_Idle.erase({Customer.m_Finish, Id});
    return;
  }
  Queue.m_ByStart.erase({Customer.m_Start, Id});
  Queue.m_ByBacklog.erase({backlog(Customer), Id});
  Queue.m_ActiveWeight -= Customer.m_Weight;
}

void link(FairQueue &Queue, std::uint64_t Id,
          const FairQueueCustomer &Customer) {
  if (!Customer.m_Waiting.empty()) {
    Queue.m_ByStart.insert({Customer.m_Start, Id});
    Queue.m_ByBacklog.insert({backlog(Customer), Id});
    Queue.m_ActiveWeight += Customer.m_Weight;
    return;
  }
  if (Customer.m_Finish > earliestStart(Queue))
    Queue.m_Idle.insert({Customer.m_Finish, Id});
  else
    Queue.m_Customers.erase(Id);
}

// Customers whose credit is whole need no state.
void forgetIdle(FairQueue &Queue) {
  while (!Queue.m_Idle.empty() &&
         Queue.m_Idle.begin()->first <= earliestStart(Queue)) {
    Queue.m_Customers.erase(Queue.m_Idle.begin()->second);
    Queue.m_Idle.erase(Queue.m_Idle.begin());
  }
}

QueuedRequest take(FairQueue &Queue, FairQueueCustomer &Customer,
                   FairQueueCustomer::Position At) {
  const QueuedRequest Taken = *At;
  Queue.m_Requests.erase(Taken.m_Request);
  Queue.m_ByDeadline.erase({Taken.m_Deadline, Taken.m_Request});
  Queue.m_WaitingTokens -= Taken.m_EstimatedTokens;
  Customer.m_WaitingTokens -= Taken.m_EstimatedTokens;
  Customer.m_Waiting.erase(At);
  return Taken;
}

// Removes without charging the customer.
QueuedRequest removeAt(FairQueue &Queue, FairQueueCustomer::Position At) {
  const std::uint64_t Id = At->m_Customer;
  FairQueueCustomer &Customer = Queue.m_Customers.at(Id);
  unlink(Queue, Id, Customer);
  const QueuedRequest Taken = take(Queue, Customer, At);
  link(Queue, Id, Customer);
  return Taken;
}

bool hasRoomFor(const FairQueue &Queue, std::uint64_t Customer) {
  const auto Found = Queue.m_Customers.find(Customer);
  return Found == Queue.m_Customers.end() ||
         Found->second.m_Waiting.size() < Queue.m_Limits.m_PerCustomer;
}

// The newest request of the largest backlog, if another customer should yield.
std::optional<QueuedRequest> displace(FairQueue &Queue,
                                      const QueuedRequest &For, double Weight) {
  if (Queue.m_ByBacklog.empty())
    return std::nullopt;
  const auto [Largest, Id] = *Queue.m_ByBacklog.rbegin();
  const auto Found = Queue.m_Customers.find(For.m_Customer);
  const double Own = Found == Queue.m_Customers.end()
                         ? 0.0
                         : static_cast<double>(Found->second.m_WaitingTokens);
  const double After =
      (Own + static_cast<double>(For.m_EstimatedTokens)) / Weight;
  if (Id == For.m_Customer || After >= Largest)
    return std::nullopt;
  return removeAt(Queue, std::prev(Queue.m_Customers.at(Id).m_Waiting.end()));
}

} // namespace

EnqueueResult enqueue(FairQueue &Queue, const QueuedRequest &Request,
                      double Weight) {
  assert(Weight > 0.0 && !Queue.m_Requests.contains(Request.m_Request));
  if (!hasRoomFor(Queue, Request.m_Customer))
    return {EnqueueVerdict::CustomerFull, std::nullopt};
  EnqueueResult Result;
  if (Queue.m_Requests.size() >= Queue.m_Limits.m_Total) {
    Result.m_Displaced = displace(Queue, Request, Weight);
    if (!Result.m_Displaced)
      return {EnqueueVerdict::QueueFull, std::nullopt};
  }
  const auto [At, New] = Queue.m_Customers.try_emplace(Request.m_Customer);
  FairQueueCustomer &Customer = At->second;
  if (!New)
    unlink(Queue, Request.m_Customer, Customer);
  if (New)
    Customer.m_Finish = earliestStart(Queue);
  if (Customer.m_Waiting.empty())
    Customer.m_Start = std::max(earliestStart(Queue), Customer.m_Finish);
  Customer.m_Weight = Weight;
  Customer.m_Waiting.push_back(Request);
  Customer.m_WaitingTokens += Request.m_EstimatedTokens;
  Queue.m_WaitingTokens += Request.m_EstimatedTokens;
  Queue.m_Requests[Request.m_Request] = std::prev(Customer.m_Waiting.end());
  Queue.m_ByDeadline.insert({Request.m_Deadline, Request.m_Request});
  link(Queue, Request.m_Customer, Customer);
  return Result;
}

double nextStart(const FairQueue &Queue, std::uint64_t Customer) {
  const auto Found = Queue.m_Customers.find(Customer);
  if (Found == Queue.m_Customers.end())
    return earliestStart(Queue);
  if (!Found->second.m_Waiting.empty())
    return Found->second.m_Start;
  return std::max(earliestStart(Queue), Found->second.m_Finish);
}

std::optional<QueuedRequest> dequeue(FairQueue &Queue) {
  if (Queue.m_ByStart.empty())
    return std::nullopt;
  const std::uint64_t Id = Queue.m_ByStart.begin()->second;
  FairQueueCustomer &Customer = Queue.m_Customers.at(Id);
  unlink(Queue, Id, Customer);
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, Customer.m_Start);
  const QueuedRequest Taken = take(Queue, Customer, Customer.m_Waiting.begin());
  Customer.m_Finish =
      Customer.m_Start +
      static_cast<double>(Taken.m_EstimatedTokens) / Customer.m_Weight;
  Customer.m_Start = Customer.m_Finish;
  link(Queue, Id, Customer);
  forgetIdle(Queue);
  return Taken;
}

std::optional<QueuedRequest> cancel(FairQueue &Queue, std::uint64_t Request) {
  const auto Found = Queue.m_Requests.find(Request);
  if (Found == Queue.m_Requests.end())
    return std::nullopt;
  return removeAt(Queue, Found->second);
}

std::vector<QueuedRequest> expire(FairQueue &Queue, TimePoint Before) {
  std::vector<QueuedRequest> Expired;
  while (!Queue.m_ByDeadline.empty() &&
         Queue.m_ByDeadline.begin()->first < Before)
    Expired.push_back(removeAt(
        Queue, Queue.m_Requests.at(Queue.m_ByDeadline.begin()->second)));
  return Expired;
}

} // namespace mangocart
