// Callers, service and gateways of the model.
#include "Gateway/OverloadModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>

namespace mangocart::model {

using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 5ms;
constexpr Duration LookInterval = 50ms;
constexpr Duration FirstByte = 150ms;
constexpr Duration CallerTime = 8s;
constexpr Duration IdleTime = 2s;
const TimePoint Start{1000s};

constexpr std::array<Duration, Priorities> Targets = {400ms, 400ms, 800ms};
constexpr std::array<double, Priorities> WorthOnTime = {3.0, 1.6, 0.8};
constexpr std::array<double, Priorities> WorthLate = {0.3, 0.41, 0.3};

struct Caller {
  WaitingCall m_Call;
  // Phase in which it first arrived.
  std::size_t m_Phase = 0;
  Duration m_Occupies = Duration::zero();
};

struct Gateway {
  std::unique_ptr<GatewayQueue> m_Queue;
  TimePoint m_NextLook;
  // Since when a slot was free after each look while a call waited.
  std::optional<TimePoint> m_IdleSince;
  // Calls at the service, and as last reported to the other gateways.
  std::size_t m_Running = 0;
  std::size_t m_Reported = 0;
  TimePoint m_NextReport;
};

// A call that waits at the service for a slot.
struct SentCall {
  WaitingCall m_Call;
  std::size_t m_Gateway = 0;
  TimePoint m_SentAt;
};

struct Model {
  Load m_Load;
  // Arrivals draw from a generator of their own, so that they are the same with
  // each kind of queue.
  Random m_Arrivals;
  Random m_Random;
  std::vector<Gateway> m_Gateways;
  // By number of the call.
  std::map<std::uint64_t, Caller> m_Callers;
  std::multimap<TimePoint, std::uint64_t> m_Returns;
  std::deque<SentCall> m_Sent;
  // Ends of running calls and their gateways.
  std::multimap<TimePoint, std::size_t> m_Ends;
  std::size_t m_Slots = 0;
  std::size_t m_Phase = 0;
  Outcome m_Outcome;

  // As the gateway sees it.
  std::size_t freeSlots(std::size_t Index) const {
    std::size_t Used = m_Gateways[Index].m_Running;
    for (std::size_t I = 0; I < m_Gateways.size(); ++I)
      if (I != Index)
        Used += m_Gateways[I].m_Reported;
    return m_Slots > Used ? m_Slots - Used : 0;
  }
};

void count(Model &Of, const WaitingCall &Call, int Tally::*Field) {
  const std::size_t Phase = Of.m_Callers.at(Call.m_Number).m_Phase;
  ++(Of.m_Outcome.m_Phases.at(Phase).at(Call.m_Priority).*Field);
  ++(Of.m_Outcome.m_Priorities.at(Call.m_Priority).*Field);
  ++(Of.m_Outcome.m_Customers[Call.m_Customer].*Field);
}

void setRunning(const Model &Of, Gateway &At, std::size_t Running) {
  At.m_Running = Running;
  if (Of.m_Load.m_ReportInterval == Duration::zero())
    At.m_Reported = Running;
}

// Starts the calls at the service for which there are slots, in order of
// arrival.
void startSent(Model &Of, TimePoint Now) {
  while (!Of.m_Sent.empty() && Of.m_Ends.size() < Of.m_Slots) {
    const SentCall Sent = Of.m_Sent.front();
    Of.m_Sent.pop_front();
    const WaitingCall &Call = Sent.m_Call;
    Gateway &At = Of.m_Gateways[Sent.m_Gateway];
    At.m_Queue->answered(Now - Sent.m_SentAt + FirstByte, Now);
    if (Now + FirstByte > Call.m_CallerTimeoutAt) {
      count(Of, Call, &Tally::m_Disconnected);
      setRunning(Of, At, At.m_Running - 1);
      continue;
    }
    const bool OnTime = Now + FirstByte <= Call.m_TargetTime;
    count(Of, Call, OnTime ? &Tally::m_OnTime : &Tally::m_Late);
    Of.m_Outcome.m_Value +=
        (OnTime ? WorthOnTime : WorthLate).at(Call.m_Priority);
    Of.m_Ends.emplace(Now + Of.m_Callers.at(Call.m_Number).m_Occupies,
                      Sent.m_Gateway);
  }
}

void dispatch(Model &Of, std::size_t Index, const WaitingCall &Call,
              TimePoint Now) {
  Gateway &At = Of.m_Gateways[Index];
  setRunning(Of, At, At.m_Running + 1);
  Of.m_Sent.push_back({Call, Index, Now});
  startSent(Of, Now);
}

void reject(Model &Of, Gateway &At, const WaitingCall &Call, TimePoint Now) {
  if (Call.m_Returned) {
    count(Of, Call, &Tally::m_RejectedTwice);
    return;
  }
  Of.m_Returns.emplace(Now + At.m_Queue->retryAfter(Call, Now), Call.m_Number);
}

void look(Model &Of, std::size_t Index, TimePoint Now) {
  Gateway &At = Of.m_Gateways[Index];
  At.m_NextLook = Now + LookInterval;
  while (Of.freeSlots(Index) > 0) {
    const auto Next = At.m_Queue->take(Of.freeSlots(Index), Now);
    if (!Next)
      break;
    dispatch(Of, Index, *Next, Now);
  }
  if (Of.freeSlots(Index) == 0)
    At.m_Queue->take(0, Now);
  for (const WaitingCall &Call : At.m_Queue->expire(Now))
    reject(Of, At, Call, Now);
  if (At.m_IdleSince)
    Of.m_Outcome.m_LongestIdle =
        std::max(Of.m_Outcome.m_LongestIdle, Now - *At.m_IdleSince);
  if (At.m_Queue->waiting() == 0 || Of.freeSlots(Index) == 0)
    At.m_IdleSince.reset();
  else if (!At.m_IdleSince)
    At.m_IdleSince = Now;
}

void arrive(Model &Of, const WaitingCall &Call, std::size_t Index,
            TimePoint Now) {
  Gateway &At = Of.m_Gateways[Index];
  At.m_Queue->arrived(Call, Now);
  if (At.m_Queue->admit(Call, Now))
    look(Of, Index, Now);
  else
    reject(Of, At, Call, Now);
}

void arriveNew(Model &Of, std::uint32_t Priority, std::string Customer,
               TimePoint Now) {
  WaitingCall Call;
  Call.m_Number = Of.m_Callers.size() + 1;
  Call.m_Arrived = Now;
  Call.m_TargetTime = Now + Targets.at(Priority);
  Call.m_Deadline = Now + CallerTime;
  Call.m_CallerTimeoutAt = Now + IdleTime;
  Call.m_Priority = Priority;
  Call.m_Customer = std::move(Customer);
  const auto Occupies =
      std::chrono::duration_cast<Duration>(2s * uniformReal(Of.m_Arrivals));
  Of.m_Callers[Call.m_Number] = {Call, Of.m_Phase, 500ms + Occupies};
  count(Of, Call, &Tally::m_Calls);
  arrive(Of, Call, uniform(Of.m_Arrivals, 0, Of.m_Gateways.size() - 1), Now);
}

void arriveAgain(Model &Of, std::uint64_t Number, TimePoint Now) {
  WaitingCall &Call = Of.m_Callers.at(Number).m_Call;
  Call.m_Arrived = Now;
  Call.m_CallerTimeoutAt = std::min(Call.m_Deadline, Now + IdleTime);
  Call.m_Returned = true;
  arrive(Of, Call, uniform(Of.m_Random, 0, Of.m_Gateways.size() - 1), Now);
}

// Customer k has about 1/k of the calls of the first one.
std::string anyCustomer(Model &Of) {
  const auto Number = static_cast<std::size_t>(std::pow(
      static_cast<double>(Of.m_Load.m_Customers), uniformReal(Of.m_Arrivals)));
  return fmt::format("c{}", Number);
}

void arrivals(Model &Of, const Phase &In, TimePoint Now) {
  const double Seconds = std::chrono::duration<double>(Step).count();
  for (std::uint32_t P = 0; P < Priorities; ++P)
    if (uniformReal(Of.m_Arrivals) < In.m_Rates.at(P) * Seconds)
      arriveNew(Of, P, anyCustomer(Of), Now);
  if (uniformReal(Of.m_Arrivals) < In.m_LargeRate * Seconds)
    arriveNew(
        Of,
        static_cast<std::uint32_t>(uniform(Of.m_Arrivals, 0, Priorities - 1)),
        "large", Now);
}

void advance(Model &Of, TimePoint Now) {
  while (!Of.m_Ends.empty() && Of.m_Ends.begin()->first <= Now) {
    const std::size_t Index = Of.m_Ends.begin()->second;
    Of.m_Ends.erase(Of.m_Ends.begin());
    Gateway &At = Of.m_Gateways[Index];
    setRunning(Of, At, At.m_Running - 1);
    startSent(Of, Now);
    look(Of, Index, Now);
  }
  while (!Of.m_Returns.empty() && Of.m_Returns.begin()->first <= Now) {
    const std::uint64_t Number = Of.m_Returns.begin()->second;
    Of.m_Returns.erase(Of.m_Returns.begin());
    arriveAgain(Of, Number, Now);
  }
  for (Gateway &Each : Of.m_Gateways)
    if (Each.m_NextReport <= Now) {
      Each.m_Reported = Each.m_Running;
      Each.m_NextReport = Now + Of.m_Load.m_ReportInterval;
    }
  for (std::size_t I = 0; I < Of.m_Gateways.size(); ++I)
    if (Of.m_Gateways[I].m_NextLook <= Now)
      look(Of, I, Now);
}

} // namespace

Outcome run(const Load &Of, const QueueFactory &Make, std::uint64_t Seed) {
  Model M;
  M.m_Load = Of;
  M.m_Arrivals.seed(Seed);
  M.m_Random.seed(Seed);
  for (std::size_t I = 0; I < Of.m_Gateways; ++I) {
    Gateway Each;
    Each.m_Queue = Make(Of.m_Gateways, Seed * 100 + I);
    Each.m_NextLook = Start + 3ms * static_cast<int>(I);
    Each.m_NextReport = Start + 7ms * static_cast<int>(I);
    M.m_Gateways.push_back(std::move(Each));
  }
  std::vector<Phase> Phases = Of.m_Phases;
  Phases.push_back({CallerTime, {}, Phases.back().m_Slots});
  M.m_Outcome.m_Phases.resize(Phases.size());
  TimePoint Now = Start;
  for (M.m_Phase = 0; M.m_Phase < Phases.size(); ++M.m_Phase) {
    const Phase &In = Phases[M.m_Phase];
    M.m_Slots = In.m_Slots;
    for (const TimePoint End = Now + In.m_Length; Now < End; Now += Step) {
      advance(M, Now);
      arrivals(M, In, Now);
    }
  }
  return M.m_Outcome;
}

Outcome runSeeds(const Load &Of, const QueueFactory &Make) {
  Outcome Sum;
  const auto Add = [](Tally &To, const Tally &Each) {
    To.m_Calls += Each.m_Calls;
    To.m_OnTime += Each.m_OnTime;
    To.m_Late += Each.m_Late;
    To.m_RejectedTwice += Each.m_RejectedTwice;
    To.m_Disconnected += Each.m_Disconnected;
  };
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    const Outcome Each = run(Of, Make, Seed);
    for (std::size_t P = 0; P < Priorities; ++P)
      Add(Sum.m_Priorities.at(P), Each.m_Priorities.at(P));
    Sum.m_Phases.resize(Each.m_Phases.size());
    for (std::size_t I = 0; I < Each.m_Phases.size(); ++I)
      for (std::size_t P = 0; P < Priorities; ++P)
        Add(Sum.m_Phases[I].at(P), Each.m_Phases[I].at(P));
    for (const auto &[Name, Of] : Each.m_Customers)
      Add(Sum.m_Customers[Name], Of);
    Sum.m_Value += Each.m_Value;
    Sum.m_LongestIdle = std::max(Sum.m_LongestIdle, Each.m_LongestIdle);
  }
  return Sum;
}

std::string describe(const Outcome &Of) {
  int Again = 0;
  for (const Tally &Each : Of.m_Priorities)
    Again += Each.m_RejectedTwice;
  std::string Text = fmt::format(
      "value {:.1f}, rejected twice {}, longest idle {} ms", Of.m_Value, Again,
      std::chrono::duration_cast<std::chrono::milliseconds>(Of.m_LongestIdle)
          .count());
  for (std::size_t P = 0; P < Priorities; ++P) {
    const Tally &Each = Of.m_Priorities.at(P);
    Text += fmt::format("; p{}: {} calls, on time {:.4f}, served {:.4f}, "
                        "rejected twice {}, disconnected {}",
                        P, Each.m_Calls, Each.onTimeShare(), Each.servedShare(),
                        Each.m_RejectedTwice, Each.m_Disconnected);
  }
  return Text;
}

} // namespace mangocart::model
