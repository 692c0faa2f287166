// Guards against more retries over all gateways than the budget of a service
// allows, while gateways or voters restart. Every request fails at its first
// server, so that gateways make all retries that they may.
#include "Core/Random.h"
#include "Gateway/GatewayContext.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t FleetSize = 16;
constexpr double RequestsPerSecond = 228.0;
constexpr RetryShareOptions Options{0.2, 220.0, 10s};
const std::string Service = "fare-assistant";

// All gateways of a service, with the budgets as the processes have them.
class Fleet {
public:
  // Of gateways that have run for a window.
  explicit Fleet(std::uint64_t Seed) : m_Random(Seed) {
    RuntimeClock::pause();
    // Windows begin alike in all runs.
    RuntimeClock::advance(Options.m_Window -
                          RuntimeClock::now().time_since_epoch() %
                              Options.m_Window);
    m_Gateways.resize(FleetSize);
    for (std::uint32_t I = 0; I < FleetSize; ++I) {
      restart(I);
      know(I, FleetSize);
    }
    run(Options.m_Window, false);
  }
  ~Fleet() { RuntimeClock::resume(); }
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  void restart(std::uint32_t Index) {
    m_Gateways[Index] = std::make_unique<RetryBudgets>(Options);
  }
  void know(std::uint32_t Index, std::uint32_t Count) {
    m_Gateways[Index]->setGateways(Count);
  }

  // Callers send requests for so long, all of which fail once if Failing.
  void run(Duration For, bool Failing = true) {
    const TimePoint Until = RuntimeClock::now() + For;
    while (RuntimeClock::now() < Until) {
      RuntimeClock::advance(std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(1.0 / RequestsPerSecond)));
      RetryBudgets &At = *m_Gateways[uniform(m_Random, 0, FleetSize - 1)];
      At.recordRequest(Service);
      m_Requests.push_back(RuntimeClock::now());
      if (!Failing || !At.takeRetry(Service).m_IsAllowed)
        continue;
      m_Waiting.push_back(&At);
      if (!m_IsDown)
        sendWaiting();
    }
  }

  // No server takes a retry until then.
  void setDown(bool IsDown) {
    m_IsDown = IsDown;
    if (!IsDown)
      sendWaiting();
  }

  std::size_t retries() const { return m_Retries.size(); }

  // The retries of any window beyond the allowed ones. The requests are those
  // of the window, of the one before or of the one half a window before,
  // whichever has most.
  std::size_t maxExcess() const {
    std::size_t Max = 0;
    for (const TimePoint From : m_Retries) {
      const std::size_t Requests = std::max(
          {count(m_Requests, From), count(m_Requests, From - Options.m_Window),
           count(m_Requests, From - Options.m_Window / 2)});
      const auto Allowed = static_cast<std::size_t>(std::floor(
          Options.m_Ratio * static_cast<double>(Requests) + Options.m_Slack));
      const std::size_t Sent = count(m_Retries, From);
      Max = std::max(Max, Sent - std::min(Sent, Allowed));
    }
    return Max;
  }

private:
  static std::size_t count(const std::vector<TimePoint> &Times,
                           TimePoint From) {
    const auto Begin = std::lower_bound(Times.begin(), Times.end(), From);
    const auto End =
        std::lower_bound(Begin, Times.end(), From + Options.m_Window);
    return static_cast<std::size_t>(End - Begin);
  }

  void sendWaiting() {
    for (RetryBudgets *At : std::exchange(m_Waiting, {})) {
      At->recordRetrySent(Service);
      m_Retries.push_back(RuntimeClock::now());
    }
  }

  Random m_Random;
  bool m_IsDown = false;
  // Where a retry waits for a server.
  std::vector<RetryBudgets *> m_Waiting;
  std::vector<std::unique_ptr<RetryBudgets>> m_Gateways;
  // In order of time.
  std::vector<TimePoint> m_Requests;
  std::vector<TimePoint> m_Retries;
};

} // namespace

// Guards against gateways that use the whole slack each, as no voter has told
// them of the others yet.
TEST_CASE("gateways that know of no others keep the common retry budget",
          "[retry-budgets]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Fleet Gateways(Seed);
    Gateways.run(20s);
    for (std::uint32_t I = 0; I < FleetSize; ++I)
      Gateways.restart(I);
    Gateways.run(4s);
    for (std::uint32_t I = 0; I < FleetSize; ++I)
      Gateways.know(I, FleetSize);
    Gateways.run(20s);
    CHECK(Gateways.maxExcess() == 0);
  }
}

// Guards against gateways that divide the slack among the few that voters know
// right after these have restarted.
TEST_CASE("gateways keep the common retry budget while voters restart",
          "[retry-budgets]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Fleet Gateways(Seed);
    Gateways.run(20s);
    for (std::uint32_t Known = 1; Known <= FleetSize; ++Known) {
      for (std::uint32_t I = 0; I < FleetSize; ++I)
        Gateways.know(I, Known);
      Gateways.run(300ms);
    }
    Gateways.run(20s);
    CHECK(Gateways.maxExcess() == 0);
  }
}

// Guards against gateways that have their whole share again after each restart.
TEST_CASE("gateways that restart several times keep the common retry budget",
          "[retry-budgets]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Fleet Gateways(Seed);
    Gateways.run(20s, false);
    Gateways.run(3s);
    for (int Restart = 0; Restart < 3; ++Restart) {
      for (std::uint32_t I = 0; I < FleetSize; ++I) {
        Gateways.restart(I);
        Gateways.know(I, FleetSize);
      }
      Gateways.run(3s);
    }
    Gateways.run(20s);
    CHECK(Gateways.maxExcess() == 0);
  }
}

// Guards against retries that are allowed in several windows, wait for a server
// and are sent in one.
TEST_CASE("retries that wait for a server keep the common retry budget",
          "[retry-budgets]") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Fleet Gateways(Seed);
    Gateways.setDown(true);
    Gateways.run(8s);
    Gateways.setDown(false);
    Gateways.run(20s);
    CHECK(Gateways.maxExcess() == 0);
  }
}

// The bounds above would hold without any retry.
TEST_CASE("gateways use most of the common retry budget", "[retry-budgets]") {
  Fleet Gateways(1);
  Gateways.run(40s);
  CHECK(Gateways.retries() >= 0.8 * Options.m_Ratio * RequestsPerSecond * 40.0);
}
