// An agent's probes of a backend server whose load page has no end. Guards
// against an agent that keeps all of its bytes.
#include "Agent/BackendProbe.h"

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/CallGuard.h"
#include "Core/WorkerPool.h"
#include "Events/EventLog.h"
#include "Http/EndlessServer.h"
#include "Metrics/MetricRegistry.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// What both ends of a loopback connection may hold in the kernel.
constexpr std::uint64_t MaxTakenBytesPerProbe = std::uint64_t{24} * 1024 * 1024;

} // namespace

TEST_CASE("a load page without end makes a backend server unavailable") {
  const EndlessServer Server("127.0.0.1", 0, [](const std::string &) {
    return EndlessAnswer{
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        std::string(std::size_t{64} * 1024, '1')};
  });
  schema::AgentSettings Settings;
  Settings.set_backend_address("127.0.0.1");
  Settings.set_backend_port(Server.port());
  WorkerPool Workers(1);
  EventLog Events({"agent", "a", "z"}, "/dev/null");
  MetricRegistry Registry;
  CallGuard Guard(1, {});
  AgentCounters Counters(Registry);
  HttpClients Clients(Workers, agentClientOptions());
  AgentContext Context{Settings, Workers, Events, Clients, Guard, Counters};
  const auto Probe = std::make_shared<BackendProbe>(Context, [] {});
  Probe->start();
  Workers.start();
  const auto Deadline = std::chrono::steady_clock::now() + 10s;
  while (Server.ended() < 2 && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(10ms);
  Workers.stop();
  CHECK(Server.ended() >= 2);
  CHECK_FALSE(Probe->report().m_Available);
  CHECK(Server.sentBytes() < Server.begun() * MaxTakenBytesPerProbe);
}
