#include "QueueingModel.h"

#include "Core/Hash.h"
#include "Routing/CacheHints.h"
#include "Routing/ServiceRate.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace mangocart {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t EntryCount = 4;
constexpr std::size_t ZoneCount = 3;
constexpr std::size_t Slots = 8;
constexpr std::size_t CachedPrefixes = 8;
constexpr std::size_t Prefixes = 40;
constexpr std::uint64_t PrefixTokens = 1500;
constexpr double PrefillSecondsPerToken = 1.0 / 5000;
constexpr double DecodeSecondsPerToken = 0.025;
constexpr double MeanSlotSeconds = 3.4;
constexpr Duration ReportInterval = 200ms;
constexpr Duration FailureTime = 5ms;

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

struct Call {
  std::uint64_t m_Id = 0;
  std::size_t m_Entry = 0;
  std::size_t m_Customer = 0;
  std::uint64_t m_Prefix = 0;
  std::uint64_t m_Output = 0;
  std::uint64_t m_Estimate = 0;
  TimePoint m_Arrival;
  std::uint32_t m_Attempt = 1;
  TimePoint m_Sent;
  std::optional<std::size_t> m_FailedAt;
};

struct Replica {
  std::size_t m_Busy = 0;
  std::deque<Call> m_Waiting;
  std::deque<std::uint64_t> m_Cache;
  double m_Tokens = 0.0;
  double m_ReportedTokens = 0.0;
  double m_ReportedRequests = 0.0;
};

struct Entry {
  ReplicaChoiceState m_ChoiceState;
  std::vector<ReplicaCandidate> m_Candidates;
  CacheHints m_Hints;
  FairQueue m_Queue;
  ServiceRate m_Rate;
  OutlierDetector m_OutlierDetector;
  RetryBudget m_Budget;
  std::map<std::uint64_t, Call> m_Queued;
  FirstTokenLatency m_FirstToken;
  ConcurrencyLimit m_ConcurrencyState;
};

class Model {
public:
  explicit Model(const ModelOptions &Options)
      : m_Options(Options), m_Generator(Options.m_Seed),
        m_Replicas(Options.m_Replicas), m_Entries(EntryCount) {
    m_Result.m_Customers.resize(Options.m_Customers.size());
    ServiceRateOptions Rate;
    for (Entry &Each : m_Entries) {
      Each.m_Queue.m_Limits = {200, 400};
      Each.m_Rate = startServiceRate(Rate, m_Start);
      Each.m_Candidates.resize(Options.m_Replicas);
      for (std::size_t Index = 0; Index < Options.m_Replicas; ++Index) {
        Each.m_Candidates[Index].m_BackendServer =
            hash64("replica" + std::to_string(Index));
        Each.m_Candidates[Index].m_AvailabilityZone =
            static_cast<std::uint32_t>(Index % ZoneCount);
      }
    }
  }

  ModelResult run() {
    arrive();
    report();
    while (!m_Events.empty()) {
      const ScheduledEvent Next = m_Events.top();
      m_Events.pop();
      RuntimeClock::advance(Next.m_Due - RuntimeClock::now());
      Next.m_Action();
    }
    finish();
    return m_Result;
  }

private:
  struct ScheduledEvent {
    TimePoint m_Due;
    std::uint64_t m_Order;
    std::function<void()> m_Action;
    bool operator<(const ScheduledEvent &Other) const {
      return std::tie(m_Due, m_Order) > std::tie(Other.m_Due, Other.m_Order);
    }
  };

  static TimePoint now() { return RuntimeClock::now(); }
  bool acceptsArrivals() const { return now() - m_Start < m_Options.m_Time; }

  void schedule(Duration Wait, std::function<void()> Action) {
    m_Events.push({now() + Wait, m_Order++, std::move(Action)});
  }

  std::size_t drawCustomer() {
    double Draw = uniformReal(m_Generator);
    for (std::size_t Index = 0; Index < m_Options.m_Customers.size(); ++Index)
      if ((Draw -= m_Options.m_Customers[Index]) < 0.0)
        return Index;
    return m_Options.m_Customers.size() - 1;
  }

  std::uint64_t drawOutput() {
    const double Kind = uniformReal(m_Generator);
    if (Kind < 0.7)
      return uniform(m_Generator, 20, 80);
    return Kind < 0.95 ? uniform(m_Generator, 100, 300)
                       : uniform(m_Generator, 600, 1000);
  }

  // The popularity of prefixes is skewed and drifts over time.
  std::uint64_t drawPrefix() {
    const double Draw = uniformReal(m_Generator);
    const auto Rank = static_cast<std::uint64_t>(Draw * Draw * Prefixes);
    const auto Drift = static_cast<std::uint64_t>((now() - m_Start) / 60s) * 7;
    return 1 + (Rank + Drift) % Prefixes;
  }

  void arrive() {
    if (!acceptsArrivals())
      return;
    const double PerSecond = m_Options.m_Load * Slots *
                             static_cast<double>(m_Options.m_Replicas) /
                             MeanSlotSeconds;
    schedule(toDuration(-std::log(1.0 - uniformReal(m_Generator)) / PerSecond),
             [this] { arrive(); });
    Call New;
    New.m_Id = m_Result.m_Requests++;
    New.m_Entry = uniform(m_Generator, 0, EntryCount - 1);
    New.m_Customer = drawCustomer();
    New.m_Prefix = drawPrefix();
    New.m_Output = drawOutput();
    const double Error = 0.5 + 1.5 * uniformReal(m_Generator);
    New.m_Estimate = static_cast<std::uint64_t>(
        1.0 + Error * static_cast<double>(New.m_Output));
    New.m_Arrival = now();
    ++m_Result.m_Customers[New.m_Customer].m_Requests;
    creditFirstAttempt(m_Entries[New.m_Entry].m_Budget, m_Options.m_Retry);
    if (m_Options.m_Queued)
      queue(New);
    else
      send(New);
  }

  void queue(const Call &New) {
    Entry &Own = m_Entries[New.m_Entry];
    const AdmissionRequest Arrival{{New.m_Id, New.m_Customer, New.m_Estimate,
                                    New.m_Arrival + m_Options.m_Deadline},
                                   1.0,
                                   expectedService(Own),
                                   {}};
    if (decideAdmission(Own.m_Queue, Arrival, tokensPerSecond(Own.m_Rate), {},
                        now(), m_Generator)
            .m_Reason != AdmissionReason::Admitted) {
      ++m_Result.m_Refused;
      return;
    }
    if (Own.m_Queue.m_Requests.empty())
      recordBusyStart(Own.m_Rate, now());
    const EnqueueResult Put = enqueue(Own.m_Queue, Arrival.m_Request, 1.0);
    if (Put.m_Evicted) {
      Own.m_Queued.erase(Put.m_Evicted->m_Request);
      ++m_Result.m_Dropped;
    }
    if (Put.m_Status == EnqueueStatus::Queued)
      Own.m_Queued[New.m_Id] = New;
    else
      ++m_Result.m_Refused;
    dispatch(New.m_Entry);
  }

  void dispatch(std::size_t Index) {
    Entry &Own = m_Entries[Index];
    for (const QueuedRequest &Late :
         expire(Own.m_Queue, now() + expectedService(Own))) {
      Own.m_Queued.erase(Late.m_Request);
      ++m_Result.m_Dropped;
    }
    for (const QueuedRequest &Late :
         dropInfeasible(Own.m_Queue, tokensPerSecond(Own.m_Rate),
                        expectedService(Own), now())) {
      Own.m_Queued.erase(Late.m_Request);
      ++m_Result.m_Dropped;
    }
    while (hasRoom(Own)) {
      const std::optional<QueuedRequest> Next = dequeue(Own.m_Queue);
      if (!Next)
        return;
      recordServed(Own.m_Rate, Next->m_EstimatedTokens, {}, now());
      const Call Taken = Own.m_Queued.at(Next->m_Request);
      Own.m_Queued.erase(Next->m_Request);
      send(Taken);
    }
  }

  static Duration expectedService(const Entry &Own) {
    return expectedFirstToken(Own.m_FirstToken, {}, now());
  }
  // Updates the entry's view of the replicas.
  void refresh(Entry &Own, std::size_t OtherQueuedRequests) const {
    const std::uint32_t Bound =
        currentLimit(Own.m_ConcurrencyState, m_Options.m_MaxOutstanding,
                     OtherQueuedRequests, m_Options.m_ConcurrencyLimit, now());
    for (std::size_t Index = 0; Index < m_Replicas.size(); ++Index) {
      ReplicaCandidate &Each = Own.m_Candidates[Index];
      Each.m_ReportedTokens = m_Replicas[Index].m_ReportedTokens;
      Each.m_ReportedRequests = m_Replicas[Index].m_ReportedRequests;
      Each.m_ReportAge = m_Options.m_ReportLag;
      Each.m_Ejected =
          isEjected(Own.m_OutlierDetector, Each.m_BackendServer, now());
      Each.m_Full = Bound != 0 && isFull(Each, Bound, EntryCount);
      Each.m_TrafficShare =
          trafficShare(Own.m_OutlierDetector, Each.m_BackendServer, {}, now());
    }
  }
  bool hasRoom(Entry &Own) const {
    const std::size_t Waiting = Own.m_Queue.m_Requests.size();
    refresh(Own, Waiting - std::min<std::size_t>(Waiting, 1));
    return std::any_of(Own.m_Candidates.begin(), Own.m_Candidates.end(),
                       [](const ReplicaCandidate &Each) {
                         return !Each.m_Full && !Each.m_Ejected;
                       });
  }

  void send(Call Sent) {
    Entry &Own = m_Entries[Sent.m_Entry];
    RoutedRequest Request{hash64(std::to_string(Sent.m_Prefix)),
                          PrefixTokens,
                          Sent.m_Estimate,
                          static_cast<std::uint32_t>(Sent.m_Entry % ZoneCount),
                          {},
                          {}};
    if (Sent.m_FailedAt) {
      Request.m_AvoidBackendServer =
          Own.m_Candidates[*Sent.m_FailedAt].m_BackendServer;
      Request.m_AvoidZone =
          Own.m_Candidates[*Sent.m_FailedAt].m_AvailabilityZone;
    }
    refresh(Own, Own.m_Queue.m_Requests.size());
    for (ReplicaCandidate &Each : Own.m_Candidates)
      Each.m_CachedTokens = expectedCachedTokens(
          Own.m_Hints, {Each.m_BackendServer, Sent.m_Prefix}, now(), {});
    const std::optional<std::size_t> Choice =
        chooseReplica(Own.m_Candidates, Request, m_Options.m_Choice,
                      Own.m_ChoiceState, m_Generator);
    if (!Choice) {
      ++m_Result.m_Failed;
      return;
    }
    const std::size_t Chosen = *Choice;
    ++m_Result.m_Attempts;

    ReplicaCandidate &To = Own.m_Candidates[Chosen];
    ++To.m_OutstandingRequests;
    To.m_OutstandingTokens += Sent.m_Estimate;
    Sent.m_Sent = now();
    recordStart(Own.m_OutlierDetector, To.m_BackendServer, now());
    m_Replicas[Chosen].m_Tokens += static_cast<double>(Sent.m_Estimate);
    if (Chosen < m_Options.m_Failing)
      return schedule(FailureTime, [=, this] { end(Sent, Chosen, true); });
    m_Replicas[Chosen].m_Waiting.push_back(Sent);
    serve(Chosen);
  }

  void serve(std::size_t Index) {
    Replica &Own = m_Replicas[Index];
    while (Own.m_Busy < Slots && !Own.m_Waiting.empty()) {
      const Call Next = Own.m_Waiting.front();
      Own.m_Waiting.pop_front();
      ++Own.m_Busy;
      const double Slowness = m_Options.m_OneSlow && Index == 0 ? 10.0 : 1.0;
      const double Prompt =
          100.0 + (takeCached(Own, Next.m_Prefix) ? 0.0 : PrefixTokens);
      const Duration Prefill =
          toDuration(Slowness * PrefillSecondsPerToken * Prompt);
      const Duration Decode = toDuration(Slowness * DecodeSecondsPerToken *
                                         static_cast<double>(Next.m_Output));
      schedule(Prefill, [=, this] { firstToken(Next, Index); });
      for (Duration Done = 1s; Done < Decode; Done += 1s)
        schedule(Prefill + Done, [=, this] {
          Entry &From = m_Entries[Next.m_Entry];
          recordProgress(From.m_OutlierDetector,
                         From.m_Candidates[Index].m_BackendServer, now());
        });
      schedule(Prefill + Decode, [=, this] {
        --m_Replicas[Index].m_Busy;
        end(Next, Index, false);
        serve(Index);
      });
    }
  }

  bool takeCached(Replica &Own, std::uint64_t Prefix) {
    const auto Found =
        std::find(Own.m_Cache.begin(), Own.m_Cache.end(), Prefix);
    const bool Hit = Found != Own.m_Cache.end();
    if (Hit)
      Own.m_Cache.erase(Found);
    Own.m_Cache.push_front(Prefix);
    if (Own.m_Cache.size() > CachedPrefixes)
      Own.m_Cache.pop_back();
    m_Hits += Hit ? 1 : 0;
    ++m_Lookups;
    return Hit;
  }

  void firstToken(const Call &Of, std::size_t Index) {
    Entry &Own = m_Entries[Of.m_Entry];
    const Duration Wait = now() - Of.m_Arrival;
    m_FirstTokens.push_back(std::chrono::duration<double>(Wait).count());
    recordFirstToken(Own.m_FirstToken, now() - Of.m_Sent, {}, now());
    const std::uint64_t Server = Own.m_Candidates[Index].m_BackendServer;
    applyCacheEvent(Own.m_Hints, {Server, 0, Of.m_Prefix, PrefixTokens}, now(),
                    {});
    recordProgress(Own.m_OutlierDetector, Server, now());
    if (Wait > m_Options.m_Deadline)
      return;
    ++m_Result.m_Customers[Of.m_Customer].m_InTime;
    if (acceptsArrivals())
      m_Useful += Of.m_Output;
  }

  void end(Call Of, std::size_t Index, bool Failed) {
    Entry &Own = m_Entries[Of.m_Entry];
    ReplicaCandidate &From = Own.m_Candidates[Index];
    --From.m_OutstandingRequests;
    From.m_OutstandingTokens -= Of.m_Estimate;

    m_Replicas[Index].m_Tokens -= static_cast<double>(Of.m_Estimate);
    recordEnd(Own.m_OutlierDetector, From.m_BackendServer, Failed,
              now() - Of.m_Sent, Of.m_Output, {}, now());
    if (Failed) {
      const FailedAttempt Attempt{Of.m_Attempt,
                                  true,
                                  false,
                                  false,
                                  false,
                                  Of.m_Arrival + m_Options.m_Deadline,
                                  expectedService(Own)};
      const RetryDecision Decision = decideRetry(
          Own.m_Budget, Attempt, m_Options.m_Retry, now(), m_Generator);
      if (Decision.m_Outcome != RetryOutcome::Retry) {
        ++m_Result.m_Failed;
      } else {
        ++Of.m_Attempt;
        Of.m_FailedAt = Index;
        schedule(Decision.m_Delay, [=, this] { send(Of); });
      }
    }
    if (m_Options.m_Queued)
      dispatch(Of.m_Entry);
  }

  // Load reports and outlier detection.
  void report() {
    for (std::size_t Index = 0; Index < m_Replicas.size(); ++Index)
      schedule(
          m_Options.m_ReportLag,
          [this, Index, Tokens = m_Replicas[Index].m_Tokens,
           Requests = static_cast<double>(m_Replicas[Index].m_Busy +
                                          m_Replicas[Index].m_Waiting.size())] {
            m_Replicas[Index].m_ReportedTokens = Tokens;
            m_Replicas[Index].m_ReportedRequests = Requests;
          });
    if (m_Options.m_Ejection)
      for (Entry &Each : m_Entries)
        updateEjections(Each.m_OutlierDetector, {}, now());
    if (m_Options.m_Queued)
      for (std::size_t Index = 0; Index < EntryCount; ++Index)
        dispatch(Index);
    if (acceptsArrivals())
      schedule(ReportInterval, [this] { report(); });
  }

  double quantile(double Share) {
    if (m_FirstTokens.empty())
      return 0.0;
    std::sort(m_FirstTokens.begin(), m_FirstTokens.end());
    return m_FirstTokens[static_cast<std::size_t>(
        Share * static_cast<double>(m_FirstTokens.size() - 1))];
  }

  void finish() {
    m_Result.m_FirstTokenP50 = quantile(0.5);
    m_Result.m_FirstTokenP99 = quantile(0.99);
    m_Result.m_UsefulTokens =
        static_cast<double>(m_Useful) /
        std::chrono::duration<double>(m_Options.m_Time).count();
    m_Result.m_CacheHits =
        static_cast<double>(m_Hits) /
        static_cast<double>(std::max<std::uint64_t>(m_Lookups, 1));
  }

  const ModelOptions m_Options;
  Random m_Generator;
  TimePoint m_Start = RuntimeClock::now();
  std::vector<Replica> m_Replicas;
  std::vector<Entry> m_Entries;
  std::priority_queue<ScheduledEvent> m_Events;
  std::uint64_t m_Order = 0;
  std::vector<double> m_FirstTokens;
  std::uint64_t m_Useful = 0;
  std::uint64_t m_Hits = 0;
  std::uint64_t m_Lookups = 0;
  ModelResult m_Result;
};

} // namespace

ModelResult runModel(const ModelOptions &Options) {
  RuntimeClock::pause();
  ModelResult Result = Model(Options).run();
  RuntimeClock::resume();
  return Result;
}

} // namespace mangocart
