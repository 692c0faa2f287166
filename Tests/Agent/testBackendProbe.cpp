// An agent's probes of its backend server. Guards against an agent that keeps
// all bytes of a load page without end, against a connection for each probe of
// a server whose answers name their requests, and against a server that counts
// as available by an invalid answer.
#include "Agent/BackendProbe.h"

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/CallGuard.h"
#include "Core/WorkerPool.h"
#include "Events/EventLog.h"
#include "Http/BrokenServer.h"
#include "Http/EndlessServer.h"
#include "Metrics/MetricRegistry.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// What both ends of a loopback connection may hold in the kernel.
constexpr std::uint64_t MaxTakenBytesPerProbe = std::uint64_t{24} * 1024 * 1024;

class ProbeFixture {
public:
  explicit ProbeFixture(const EndlessServer &Server)
      : ProbeFixture(Server.port()) {}
  explicit ProbeFixture(std::uint16_t BackendPort)
      : m_Events({"agent", "a", "z"}, "/dev/null"), m_Guard(1, {}),
        m_Counters(m_Registry), m_Clients(m_Workers, agentClientOptions()) {
    m_Settings.set_backend_address("127.0.0.1");
    m_Settings.set_backend_port(BackendPort);
  }
  ~ProbeFixture() { m_Workers.stop(); }
  ProbeFixture(const ProbeFixture &) = delete;
  ProbeFixture &operator=(const ProbeFixture &) = delete;

  // Sends probes until the condition holds, for at most 10 s.
  BackendReport probeUntil(const std::function<bool()> &Condition) {
    const auto Probe = std::make_shared<BackendProbe>(m_Context, [] {});
    Probe->start();
    m_Workers.start();
    const auto Deadline = std::chrono::steady_clock::now() + 10s;
    while (!Condition() && std::chrono::steady_clock::now() < Deadline)
      std::this_thread::sleep_for(10ms);
    m_Workers.stop();
    return Probe->report();
  }

private:
  schema::AgentSettings m_Settings;
  WorkerPool m_Workers{1};
  EventLog m_Events;
  MetricRegistry m_Registry;
  CallGuard m_Guard;
  AgentCounters m_Counters;
  HttpClients m_Clients;
  AgentContext m_Context{m_Settings, m_Workers, m_Events,
                         m_Clients,  m_Guard,   m_Counters};
};

// A load page that repeats the header with the ID of the request, if wanted.
std::string loadPage(const std::string &Head, bool RepeatsId) {
  const std::string Name = "\r\nMangocart-Request: ";
  const std::size_t At = Head.find(Name);
  std::string Id;
  if (RepeatsId && At != std::string::npos)
    Id = Head.substr(At, Head.find("\r\n", At + 2) - At);
  return "HTTP/1.1 200 OK\r\nContent-Length: 17" + Id +
         "\r\n\r\n{\"outstanding\":7}";
}

} // namespace

TEST_CASE("a load page without end makes a backend server unavailable") {
  const EndlessServer Server("127.0.0.1", 0, [](const std::string &) {
    return EndlessAnswer{
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        std::string(std::size_t{64} * 1024, '1')};
  });
  const BackendReport Report =
      ProbeFixture(Server).probeUntil([&] { return Server.ended() >= 2; });
  CHECK(Server.ended() >= 2);
  CHECK_FALSE(Report.m_Available);
  CHECK(Server.sentBytes() < Server.begun() * MaxTakenBytesPerProbe);
}

TEST_CASE("probes share a connection if the answers name them") {
  // The first probe can't know whether they do.
  constexpr unsigned MaxConnections = 2;
  constexpr unsigned Probes = 6;
  for (const bool RepeatsId : {true, false}) {
    INFO("repeats " << RepeatsId);
    std::atomic<unsigned> Answered{0};
    const EndlessServer Server("127.0.0.1", 0, [&](const std::string &Head) {
      ++Answered;
      return EndlessAnswer{loadPage(Head, RepeatsId), {}};
    });
    const BackendReport Report =
        ProbeFixture(Server).probeUntil([&] { return Answered >= Probes; });
    CHECK(Answered >= Probes);
    CHECK(Report.m_Available);
    CHECK(Report.m_Load == 7);
    if (RepeatsId)
      CHECK(Server.connections() <= MaxConnections);
    else
      CHECK(Server.connections() == Answered);
  }
}

TEST_CASE("probes of a server that stops naming its answers go on") {
  std::atomic<unsigned> Answered{0};
  const EndlessServer Server("127.0.0.1", 0, [&](const std::string &Head) {
    return EndlessAnswer{loadPage(Head, ++Answered <= 3), {}};
  });
  const BackendReport Report =
      ProbeFixture(Server).probeUntil([&] { return Answered >= 6; });
  CHECK(Answered >= 6);
  CHECK(Report.m_Available);
}

TEST_CASE("a load page in an invalid answer doesn't make a backend server "
          "available") {
  constexpr unsigned Probes = 3;
  const std::string Page = "Content-Length: 17\r\n\r\n{\"outstanding\":7}";
  for (const std::string &Text :
       {"HTTP/1.1 000 S\r\n" + Page, "HTTP/1.1 099 S\r\n" + Page,
        "HTTP/1.1 999 S\r\n" + Page, "HTTP/1.1 103 S\r\n" + Page,
        "HTTP/1.1 200 S\r\nX A: v\r\n" + Page,
        "HTTP/1.1 200 S\r\nX-A\x01: v\r\n" + Page,
        "HTTP/1.1 200 S\r\nX-B: w\r\n X-A: v\r\n" + Page,
        "HTTP/1.1 200 S\r\nX-B: w\r\n " + Page}) {
    INFO(Text);
    const BrokenServer Server("127.0.0.1", 0, [&](const std::string &) {
      return BrokenAnswer{Text};
    });
    const BackendReport Report = ProbeFixture(Server.port()).probeUntil([&] {
      return Server.requests() >= Probes;
    });
    CHECK(Server.requests() >= Probes);
    CHECK(Server.connections() == Server.requests());
    CHECK_FALSE(Report.m_Available);
    CHECK(Report.m_Load == 0);
  }
}
