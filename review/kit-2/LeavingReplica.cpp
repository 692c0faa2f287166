// A replica leaves by DELETE, and processes are killed about then: gateways
// that start again right after that ("gateways"), or the voter that has just
// acknowledged it ("voter"). No gateway may send to the replica later than
// drain_ms after the acknowledgement.
#include "Kit.h"

#include <csignal>

using namespace review;

namespace {

constexpr unsigned Gateways = 4;
// Half of the gateways are killed at once.
constexpr unsigned KilledGateways = 2;
constexpr unsigned Replicas = 3;
constexpr unsigned Leaver = 2;
// Numbers of voters.
constexpr unsigned HeardBeats = 2;
constexpr unsigned HeardLeaving = 0;
constexpr Milliseconds BeatInterval(1200);
constexpr Milliseconds DrainTime(2000);
constexpr Milliseconds StableWindow(3000);
// A replica serves this much longer than drain_ms.
constexpr Milliseconds Linger(6000);
constexpr Milliseconds WorkTime(60);
// Each client waits so long between an answer and its next request.
constexpr Milliseconds RequestGap(40);
constexpr unsigned Clients = 24;
constexpr Milliseconds LeadTime(10000);

// A replica of the service "desk" that heartbeats to one voter.
class Replica {
public:
  Replica(unsigned Number, Endpoint At, const Deployment &System, Record &Log)
      : m_Number(Number), m_At(std::move(At)), m_System(System), m_Log(Log),
        m_Born(std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_Server(std::make_unique<HttpServer>(
            m_At,
            [this](const HttpRequest &Request) { return answer(Request); })) {}

  std::string id() const { return "i-desk-" + std::to_string(m_Number); }

  bool beat() {
    const std::string Body =
        R"({"service":"desk","address":")" + m_At.m_Address + ":" +
        std::to_string(m_At.m_Port) + R"(","zone":")" +
        m_System.zone(m_Number) +
        R"(","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,)"
        R"("born":)" +
        std::to_string(m_Born) + R"(,"sequence":)" +
        std::to_string(++m_Sequence) + "}";
    return call(m_System.control(HeardBeats),
                {"PUT",
                 "/instances/" + id(),
                 {{"content-type", "application/json"}},
                 Body},
                std::chrono::seconds(1))
               .m_Status == 200;
  }

  bool leave() {
    return call(m_System.control(HeardLeaving),
                {"DELETE", "/instances/" + id(), {}, {}},
                std::chrono::seconds(1))
               .m_Status == 200;
  }

  // Ends like a process: its connections close, and what runs gets no answer.
  void end() {
    m_HasEnded = true;
    m_Server.reset();
  }

  // Arrivals by time of the record, with the request's id.
  std::vector<std::pair<std::int64_t, std::string>> arrivals() {
    const std::lock_guard Lock(m_Mutex);
    return m_Arrivals;
  }

private:
  HttpAnswer answer(const HttpRequest &Request) {
    const auto Header = [&](const char *Name) {
      const auto Found = Request.m_Headers.find(Name);
      return Found == Request.m_Headers.end() ? std::string() : Found->second;
    };
    if (Request.m_Target == "/health")
      return {200, {{"x-mangocart-instance-id", id()}}, ""};
    const std::string RequestId = Header("x-mangocart-request-id");
    if (RequestId.empty())
      return {400, {{"x-mangocart-not-run", "1"}}, ""};
    const std::string Expected = Header("x-mangocart-expect-instance");
    if (!Expected.empty() && Expected != id())
      return {
          421,
          {{"x-mangocart-not-run", "1"}, {"x-mangocart-request-id", RequestId}},
          ""};
    {
      const std::lock_guard Lock(m_Mutex);
      m_Arrivals.emplace_back(Record::now(), RequestId);
    }
    if (m_Number == Leaver)
      m_Log.write("request " + RequestId + " reaches " + id());
    std::this_thread::sleep_for(WorkTime);
    if (m_HasEnded)
      return {};
    return {200,
            {{"x-mangocart-request-id", RequestId},
             {"x-mangocart-server-stamp", id() + "." + RequestId}},
            "done"};
  }

  const unsigned m_Number;
  const Endpoint m_At;
  const Deployment &m_System;
  Record &m_Log;
  const std::int64_t m_Born;
  std::uint64_t m_Sequence = 0;
  std::mutex m_Mutex;
  std::vector<std::pair<std::int64_t, std::string>> m_Arrivals;
  std::atomic<bool> m_HasEnded{false};
  std::unique_ptr<HttpServer> m_Server;
};

class Case {
public:
  Case(Record &Log, bool KillsVoter)
      : m_Log(Log), m_Octet(KillsVoter ? 63 : 62),
        m_KillsVoter(KillsVoter && hasTrouble()),
        m_KillsGateways(!KillsVoter && hasTrouble()),
        m_System(m_Octet, Gateways, Log) {}

  Verdict run() {
    std::vector<std::string> Addresses;
    for (unsigned I = 0; I < Replicas; ++I)
      Addresses.push_back(replicaAddress(I));
    const std::uint16_t Port = findFreePort(Addresses);
    for (unsigned Voter = 0; Voter < 3; ++Voter)
      m_System.startVoter(Voter, true);
    for (unsigned I = 0; I < Gateways; ++I)
      m_System.startGateway(I);
    if (!m_System.putConfiguration(makeConfiguration(1, {"desk"}),
                                   std::chrono::seconds(15)))
      return notRun("the configuration was not acknowledged");
    for (unsigned I = 0; I < Replicas; ++I)
      m_Replicas.push_back(std::make_unique<Replica>(
          I, Endpoint{replicaAddress(I), Port}, m_System, m_Log));
    std::thread Beats([this] { sendBeats(); });
    std::this_thread::sleep_for(LeadTime);
    const bool IsReady = areAllReady();
    std::vector<std::thread> Requests;
    for (unsigned Client = 0; Client < Clients; ++Client)
      Requests.emplace_back([this, Client] { sendRequests(Client); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Verdict Result = IsReady ? leaveAndRestart() : notRun("not ready");
    m_IsStopping = true;
    for (std::thread &Each : Requests)
      Each.join();
    Beats.join();
    return Result;
  }

private:
  Verdict notRun(const std::string &Reason) {
    m_Log.write("not run: " + Reason);
    return Verdict::NotRun;
  }

  std::string replicaAddress(unsigned Number) const {
    return "127." + std::to_string(m_Octet) + ".2." +
           std::to_string(Number + 1);
  }

  bool areAllReady() const {
    for (unsigned I = 0; I < Gateways; ++I)
      if (!m_System.isReady(I))
        return false;
    return true;
  }

  void sendBeats() {
    while (!m_IsStopping) {
      {
        const std::lock_guard Lock(m_BeatMutex);
        for (unsigned I = 0; I < Replicas; ++I)
          if (I != Leaver || !m_HasLeft)
            m_Replicas[I]->beat();
      }
      std::this_thread::sleep_for(BeatInterval);
    }
  }

  void sendRequests(unsigned Client) {
    for (unsigned I = 0; !m_IsStopping; ++I) {
      const std::string Id =
          "q" + std::to_string(Client) + "-" + std::to_string(I);
      {
        const std::lock_guard Lock(m_SentMutex);
        m_Sent[Id] = Record::now();
      }
      const HttpAnswer Answer = call(m_System.caller(Client % Gateways),
                                     {"POST",
                                      "/desk/unsafe/x",
                                      {{"host", "test.example"},
                                       {"x-mangocart-request-id", Id},
                                       {"x-mangocart-deadline-ms", "1500"}},
                                      "body"},
                                     Milliseconds(1500));
      if (Answer.m_Status != 200)
        m_Log.write("request " + Id + " answered " +
                    std::to_string(Answer.m_Status));
      {
        const std::lock_guard Lock(m_SentMutex);
        m_Answered[Id] = Answer.m_Status;
      }
      std::this_thread::sleep_for(RequestGap);
    }
  }

  Verdict leaveAndRestart() {
    Replica &Leaving = *m_Replicas[Leaver];
    for (unsigned I = 0; m_KillsGateways && I < KilledGateways; ++I) {
      m_System.gateway(I).signal(SIGKILL);
      m_System.gateway(I).waitForEnd(std::chrono::seconds(5));
      m_Log.write("kill gateway-" + std::to_string(I));
    }
    {
      const std::lock_guard Lock(m_BeatMutex);
      m_HasLeft = true;
    }
    if (!Leaving.leave())
      return notRun("DELETE was not acknowledged");
    if (m_KillsVoter)
      m_System.voter(HeardLeaving).signal(SIGKILL);
    const std::int64_t AcknowledgedAt = Record::now();
    m_Log.write("DELETE of " + Leaving.id() + " acknowledged");
    std::this_thread::sleep_for(Milliseconds(300));
    std::int64_t StartedAt = 0;
    if (m_KillsVoter) {
      m_System.voter(HeardLeaving).waitForEnd(std::chrono::seconds(5));
      m_Log.write("voter-0 was killed right after the acknowledgement");
      m_System.startVoter(HeardLeaving, false);
      StartedAt = Record::now();
    }
    if (m_KillsGateways) {
      for (unsigned I = 0; I < KilledGateways; ++I)
        m_System.startGateway(I);
      StartedAt = Record::now();
      if (!waitFor(std::chrono::seconds(3), [&] { return areAllReady(); }))
        return notRun("the gateways did not become ready");
      m_Log.write("the gateways are ready");
    }
    std::this_thread::sleep_for(Milliseconds(
        AcknowledgedAt + (DrainTime + Linger).count() - Record::now()));
    Leaving.end();
    m_Log.write(Leaving.id() + " has ended");
    // By then all requests that it had begun have their answers.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return judge(AcknowledgedAt, StartedAt);
  }

  Verdict judge(std::int64_t AcknowledgedAt, std::int64_t StartedAt) {
    const std::lock_guard Lock(m_SentMutex);
    std::size_t Late = 0;
    std::size_t Lost = 0;
    for (const auto &[Time, Id] : m_Replicas[Leaver]->arrivals()) {
      if (Time <= AcknowledgedAt + DrainTime.count() ||
          m_Sent[Id] <= StartedAt + StableWindow.count())
        continue;
      ++Late;
      if (m_Answered[Id] != 200)
        ++Lost;
    }
    m_Log.write("requests that reached the replica later than 2 s after the "
                "acknowledgement, from a gateway in touch: " +
                std::to_string(Late) +
                "; of these, begun and lost as the replica ended: " +
                std::to_string(Lost));
    return Late > 0 ? Verdict::Broken : Verdict::Held;
  }

  Record &m_Log;
  const int m_Octet;
  const bool m_KillsVoter;
  const bool m_KillsGateways;
  Deployment m_System;
  std::vector<std::unique_ptr<Replica>> m_Replicas;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<bool> m_HasLeft{false};
  std::mutex m_BeatMutex;
  std::mutex m_SentMutex;
  // By request, the time at which it was sent and the status of its answer.
  std::map<std::string, std::int64_t> m_Sent;
  std::map<std::string, int> m_Answered;
};

} // namespace

int main(int, char **Argv) {
  const bool KillsVoter = std::string_view(Argv[2]) == "voter";
  Record Log(std::string(Argv[1]) + "/record.txt");
  return runCase(Log, [&] { return Case(Log, KillsVoter).run(); });
}
