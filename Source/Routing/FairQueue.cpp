// Start-time fair queueing: the start tag of a request is the finish tag of its
// customer's previous request, but not more than the credit below the virtual
// time. Its finish tag is the start tag plus its tokens divided by the weight.
// The request with the lowest start tag is dequeued first.
#include "Routing/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace mangocart {

namespace {

double backlog(const FairQueueCustomer &Customer) {
  return static_cast<double>(Customer.m_WaitingTokens) / Customer.m_Weight;
}

// Start tag of a customer with its full credit.
double minStartTag(const FairQueue &Queue) {
  return Queue.m_VirtualTime - Queue.m_Limits.m_Credit;
}

// Removes the customer from the ordered sets; its keys must be unchanged since
// they were inserted.
void removeFromIndexes(FairQueue &Queue, std::uint64_t Id,
                       const FairQueueCustomer &Customer) {
  if (Customer.m_Waiting.empty()) {
    Queue.m_Idle.erase({Customer.m_FinishTag, Id});
    return;
  }
  Queue.m_ByStartTag.erase({Customer.m_StartTag, Id});
  Queue.m_ByBacklog.erase({backlog(Customer), Id});
  Queue.m_ActiveWeight -= Customer.m_Weight;
}

void addToIndexes(FairQueue &Queue, std::uint64_t Id,
                  const FairQueueCustomer &Customer) {
  if (!Customer.m_Waiting.empty()) {
    Queue.m_ByStartTag.insert({Customer.m_StartTag, Id});
    Queue.m_ByBacklog.insert({backlog(Customer), Id});
    Queue.m_ActiveWeight += Customer.m_Weight;
    return;
  }
  if (Customer.m_FinishTag > minStartTag(Queue))
    Queue.m_Idle.insert({Customer.m_FinishTag, Id});
  else
    Queue.m_Customers.erase(Id);
}

// Customers with their full credit need no state.
void removeIdleCustomers(FairQueue &Queue) {
  while (!Queue.m_Idle.empty() &&
         Queue.m_Idle.begin()->first <= minStartTag(Queue)) {
    Queue.m_Customers.erase(Queue.m_Idle.begin()->second);
    Queue.m_Idle.erase(Queue.m_Idle.begin());
  }
}

QueuedRequest extract(FairQueue &Queue, FairQueueCustomer &Customer,
                      FairQueueCustomer::Position At) {
  const QueuedRequest Removed = *At;
  Queue.m_Requests.erase(Removed.m_Request);
  Queue.m_ByDeadline.erase({Removed.m_Deadline, Removed.m_Request});
  Queue.m_WaitingTokens -= Removed.m_EstimatedTokens;
  Customer.m_WaitingTokens -= Removed.m_EstimatedTokens;
  Customer.m_Waiting.erase(At);
  return Removed;
}

// Removes a request without charging the customer.
QueuedRequest removeAt(FairQueue &Queue, FairQueueCustomer::Position At) {
  const std::uint64_t Id = At->m_Customer;
  FairQueueCustomer &Customer = Queue.m_Customers.at(Id);
  removeFromIndexes(Queue, Id, Customer);
  const QueuedRequest Removed = extract(Queue, Customer, At);
  addToIndexes(Queue, Id, Customer);
  return Removed;
}

bool hasRoomFor(const FairQueue &Queue, std::uint64_t Customer) {
  const auto Found = Queue.m_Customers.find(Customer);
  return Found == Queue.m_Customers.end() ||
         Found->second.m_Waiting.size() < Queue.m_Limits.m_PerCustomer;
}

// Evicts the newest request of the customer with the largest backlog, if that
// is larger than the backlog of the new request's customer.
std::optional<QueuedRequest>
evictForNewRequest(FairQueue &Queue, const QueuedRequest &For, double Weight) {
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
    return {EnqueueStatus::CustomerFull, std::nullopt};
  EnqueueResult Result;
  if (Queue.m_Requests.size() >= Queue.m_Limits.m_Total) {
    Result.m_Evicted = evictForNewRequest(Queue, Request, Weight);
    if (!Result.m_Evicted)
      return {EnqueueStatus::QueueFull, std::nullopt};
  }
  const auto [At, New] = Queue.m_Customers.try_emplace(Request.m_Customer);
  FairQueueCustomer &Customer = At->second;
  if (!New)
    removeFromIndexes(Queue, Request.m_Customer, Customer);
  if (New)
    Customer.m_FinishTag = minStartTag(Queue);
  if (Customer.m_Waiting.empty())
    Customer.m_StartTag = std::max(minStartTag(Queue), Customer.m_FinishTag);
  Customer.m_Weight = Weight;
  Customer.m_Waiting.push_back(Request);
  Customer.m_WaitingTokens += Request.m_EstimatedTokens;
  Queue.m_WaitingTokens += Request.m_EstimatedTokens;
  Queue.m_Requests[Request.m_Request] = std::prev(Customer.m_Waiting.end());
  Queue.m_ByDeadline.insert({Request.m_Deadline, Request.m_Request});
  addToIndexes(Queue, Request.m_Customer, Customer);
  return Result;
}

double nextStartTag(const FairQueue &Queue, std::uint64_t Customer) {
  const auto Found = Queue.m_Customers.find(Customer);
  if (Found == Queue.m_Customers.end())
    return minStartTag(Queue);
  if (!Found->second.m_Waiting.empty())
    return Found->second.m_StartTag;
  return std::max(minStartTag(Queue), Found->second.m_FinishTag);
}

std::optional<QueuedRequest> dequeue(FairQueue &Queue) {
  if (Queue.m_ByStartTag.empty())
    return std::nullopt;
  const std::uint64_t Id = Queue.m_ByStartTag.begin()->second;
  FairQueueCustomer &Customer = Queue.m_Customers.at(Id);
  removeFromIndexes(Queue, Id, Customer);
  Queue.m_VirtualTime = std::max(Queue.m_VirtualTime, Customer.m_StartTag);
  const QueuedRequest Removed =
      extract(Queue, Customer, Customer.m_Waiting.begin());
  Customer.m_FinishTag =
      Customer.m_StartTag +
      static_cast<double>(Removed.m_EstimatedTokens) / Customer.m_Weight;
  Customer.m_StartTag = Customer.m_FinishTag;
  addToIndexes(Queue, Id, Customer);
  removeIdleCustomers(Queue);
  return Removed;
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
