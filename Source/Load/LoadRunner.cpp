// Closed-loop callers and open-loop arrivals. Each worker has its own client
// and its own report; the reports are merged at the end.
#include "Load/LoadRunner.h"

#include "Core/Hash.h"
#include "Core/Random.h"
#include "Core/Timer.h"
#include "Core/WorkerPool.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <cmath>
#include <future>

namespace mangocart {

namespace {

// Open loop: maximum outstanding requests per worker.
constexpr std::size_t MaxOutstanding = 20000;

// Numbers of the attempts of one request. Each attempt uses the next target.
constexpr unsigned FirstAttempt = 0;
constexpr unsigned RaceAttempt = 1;
constexpr unsigned ResendAttempt = 2;

// State shared by all workers of a run.
struct LoadRun {
  const LoadOptions &m_Options;
  // Index of the next request to send.
  std::atomic<std::uint64_t> m_NextIndex{0};
  std::atomic<std::size_t> m_ActiveWorkers{0};
  std::promise<void> m_Done;

  std::optional<std::uint64_t> takeIndex() {
    const std::uint64_t Index = m_NextIndex.fetch_add(1);
    if (Index >= m_Options.m_Requests)
      return std::nullopt;
    return Index;
  }
};

class LoadWorker : public std::enable_shared_from_this<LoadWorker> {
public:
  LoadWorker(LoadRun &Run, boost::asio::io_context &Context, std::size_t Number)
      : m_Run(Run), m_Options(Run.m_Options), m_Client(Context),
        m_ArrivalTimer(Context),
        m_Random(hash64("arrivals", m_Options.m_Seed + Number)) {}

  void startClosedLoop(std::size_t Callers);
  void startOpenLoop(double Rate);
  LoadReport takeReport() { return std::move(m_Report); }

private:
  struct Request;
  struct Attempt;

  void sendNext();
  void scheduleArrival();
  void onArrivals();
  void sendRequest(std::uint64_t Index, TimePoint Due);
  void sendAttempt(const std::shared_ptr<Request> &Owner, unsigned Number,
                   TimePoint Due);
  void onResponse(Attempt &Done);
  void finishIfIdle();

  LoadRun &m_Run;
  const LoadOptions &m_Options;
  HttpClient m_Client;
  LoadReport m_Report;
  Timer m_ArrivalTimer;
  Random m_Random;
  double m_Rate = 0.0;
  TimePoint m_Started;
  TimePoint m_NextDue;
  std::size_t m_Outstanding = 0;
  bool m_AllIndexesTaken = false;
};

struct LoadWorker::Request {
  PlannedRequest m_Planned;
  // A closed-loop caller continues after all attempts have their responses.
  std::size_t m_PendingAttempts = 0;
};

// One outstanding attempt.
struct LoadWorker::Attempt {
  std::shared_ptr<Request> m_Request;
  unsigned m_Number = 0;
  TimePoint m_Due;
  std::optional<TimePoint> m_FirstByte;
  ReceivedResponse m_Response;
};

void LoadWorker::startClosedLoop(std::size_t Callers) {
  m_Started = RuntimeClock::now();
  for (std::size_t I = 0; I < Callers && !m_AllIndexesTaken; ++I)
    sendNext();
  finishIfIdle();
}

void LoadWorker::startOpenLoop(double Rate) {
  m_Started = RuntimeClock::now();
  m_NextDue = m_Started;
  m_Rate = Rate;
  scheduleArrival();
}

void LoadWorker::sendNext() {
  const auto Index = m_Run.takeIndex();
  m_AllIndexesTaken = !Index;
  if (Index)
    sendRequest(*Index, RuntimeClock::now());
}

void LoadWorker::scheduleArrival() {
  m_ArrivalTimer.expires_at(m_NextDue);
  m_ArrivalTimer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->onArrivals();
      });
}

void LoadWorker::onArrivals() {
  const TimePoint Now = RuntimeClock::now();
  while (m_NextDue <= Now && !m_AllIndexesTaken) {
    const auto Index = m_Run.takeIndex();
    m_AllIndexesTaken = !Index;
    if (Index && m_Outstanding >= MaxOutstanding)
      ++m_Report.m_NotOffered;
    else if (Index)
      sendRequest(*Index, m_NextDue);
    const double Gap = -std::log(1.0 - uniformReal(m_Random)) / m_Rate;
    m_NextDue += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap));
  }
  if (m_AllIndexesTaken)
    return finishIfIdle();
  scheduleArrival();
}

void LoadWorker::sendRequest(std::uint64_t Index, TimePoint Due) {
  const auto Planned = std::make_shared<Request>();
  Planned->m_Planned = planRequest(m_Options, Index);
  sendAttempt(Planned, FirstAttempt, Due);
  if (Planned->m_Planned.m_Race)
    sendAttempt(Planned, RaceAttempt, Due);
}

void LoadWorker::sendAttempt(const std::shared_ptr<Request> &Owner,
                             unsigned Number, TimePoint Due) {
  ++m_Outstanding;
  ++Owner->m_PendingAttempts;
  const auto Sent = std::make_shared<Attempt>();
  Sent->m_Request = Owner;
  Sent->m_Number = Number;
  Sent->m_Due = Due;
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Sent](HttpHead Head) {
    Sent->m_Response.m_Head = std::move(Head);
  };
  Handlers.m_OnBody = [Sent](std::string_view Chunk) {
    if (!Sent->m_FirstByte)
      Sent->m_FirstByte = RuntimeClock::now();
    Sent->m_Response.m_Body.append(Chunk);
  };
  Handlers.m_OnEnd = [Self = shared_from_this(), Sent] {
    Self->onResponse(*Sent);
  };
  Handlers.m_OnError = [Self = shared_from_this(), Sent](HttpError Error) {
    Sent->m_Response.m_Error = std::move(Error);
    Self->onResponse(*Sent);
  };
  const PlannedRequest &Planned = Owner->m_Planned;
  m_Client.send(chooseTarget(Planned, m_Options, Number),
                toHttpRequest(Planned, m_Options), m_Options.m_Deadline,
                std::move(Handlers));
}

void LoadWorker::onResponse(Attempt &Done) {
  const TimePoint Now = RuntimeClock::now();
  const PlannedRequest &Planned = Done.m_Request->m_Planned;
  KindReport &Kind = Planned.m_Kind == RequestKind::Booking
                         ? m_Report.m_Bookings
                         : m_Report.m_Drafts;
  if (!Done.m_Response.m_Error) {
    Kind.m_FirstByte.add(Done.m_FirstByte.value_or(Now) - Done.m_Due);
    Kind.m_TotalTime.add(Now - Done.m_Due);
  }
  recordResponse(m_Report, Planned, Done.m_Response, m_Options.m_Direct);
  if (Done.m_Number == FirstAttempt && Planned.m_Resend)
    sendAttempt(Done.m_Request, ResendAttempt, Now);
  --m_Outstanding;
  const bool RequestDone = --Done.m_Request->m_PendingAttempts == 0;
  const bool ClosedLoop = m_Rate <= 0.0;
  if (RequestDone && ClosedLoop && !m_AllIndexesTaken)
    sendNext();
  finishIfIdle();
}

void LoadWorker::finishIfIdle() {
  if (!m_AllIndexesTaken || m_Outstanding > 0)
    return;
  m_Report.m_Elapsed = RuntimeClock::now() - m_Started;
  if (m_Run.m_ActiveWorkers.fetch_sub(1) == 1)
    m_Run.m_Done.set_value();
}

} // namespace

LoadReport runLoad(const LoadOptions &Options) {
  const std::size_t WorkerCount =
      std::min(Options.m_Workers, Options.m_Callers);
  WorkerPool Workers(WorkerCount);
  LoadRun Run{Options};
  Run.m_ActiveWorkers = WorkerCount;
  std::vector<std::shared_ptr<LoadWorker>> Senders;
  for (std::size_t I = 0; I < WorkerCount; ++I) {
    auto Sender = std::make_shared<LoadWorker>(Run, Workers.worker(I), I);
    // The remainder of the division goes to the first workers, one caller each.
    const std::size_t Callers = Options.m_Callers / WorkerCount +
                                (I < Options.m_Callers % WorkerCount ? 1 : 0);
    boost::asio::post(
        Workers.worker(I), [Sender, Callers, &Options, WorkerCount] {
          if (Options.m_Rate > 0)
            Sender->startOpenLoop(Options.m_Rate /
                                  static_cast<double>(WorkerCount));
          else
            Sender->startClosedLoop(Callers);
        });
    Senders.push_back(std::move(Sender));
  }
  Workers.start();
  Run.m_Done.get_future().wait();
  Workers.stop();
  LoadReport Report;
  for (const auto &Sender : Senders)
    Report.merge(Sender->takeReport());
  return Report;
}

} // namespace mangocart
