// Each way in which the gate refuses: at once, or as soon as it is known that
// the request can't be met, never held until near its deadline.
#include "Entry/AdmissionController.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *Service = "assistant";
constexpr Duration TickInterval = 100ms;

// One slot, taken by a request that ends only with the world.
struct World {
  World() { RuntimeClock::pause(); }
  ~World() {
    // Each pass that ends admits another request.
    while (!m_Passes.empty()) {
      const GatePass Ended = std::move(m_Passes.back());
      m_Passes.pop_back();
    }
    RuntimeClock::resume();
  }

  // Notes when the request is refused.
  void enter(const std::string &Customer, std::uint64_t Tokens,
             Duration Deadline, double Limit = 0.0,
             std::optional<TimePoint> *RefusedAt = nullptr,
             AdmissionReason *Reason = nullptr) {
    const TimePoint Now = RuntimeClock::now();
    m_Gate->enter({Service, Customer, 1.0, Limit, Tokens, Now + Deadline},
                  [this, RefusedAt, Reason](GatePass Pass,
                                            const AdmissionDecision &Verdict) {
                    if (Verdict.m_Reason == AdmissionReason::Admitted)
                      m_Passes.push_back(std::move(Pass));
                    else if (RefusedAt) {
                      *RefusedAt = RuntimeClock::now();
                      *Reason = Verdict.m_Reason;
                    }
                  });
  }

  std::shared_ptr<RequestGate> m_Gate = std::make_shared<RequestGate>(1, 0, 1);
  std::vector<GatePass> m_Passes;
};

struct RefusalCase {
  const char *m_Name;
  // What comes before the request that is watched.
  void (*m_Before)(World &);
  Duration m_Deadline;
  double m_Limit;
  AdmissionReason m_Reason;
  Duration m_Longest;
};

void nothing(World &) {}

void fill(World &In, const char *Customer, int Count, std::uint64_t Tokens) {
  for (int I = 0; I < Count; ++I)
    In.enter(Customer, Tokens, 1h);
}

const RefusalCase RefusalCases[] = {
    {"over the customer's limit",
     [](World &W) { W.enter("watched", 10, 1h, 10.0); }, 1h, 10.0,
     AdmissionReason::CustomerLimit, 0ms},
    {"too many of the customer wait",
     [](World &W) { fill(W, "watched", 300, 1); }, 1h, 0.0,
     AdmissionReason::CustomerQueueFull, 0ms},
    {"the queue is full",
     [](World &W) {
       for (int I = 0; I < 4200; ++I)
         W.enter(std::to_string(I), 1, 1h);
     },
     1h, 0.0, AdmissionReason::QueueFull, 0ms},
    {"the expected wait is too long",
     [](World &W) { fill(W, "watched", 100, 1000); }, 10s, 0.0,
     AdmissionReason::DeadlineTooClose, 0ms},
    {"the deadline has passed already", nothing, -1s, 0.0,
     AdmissionReason::DeadlineTooClose, 0ms},
    // Admitted at 1,000 tokens a second; then nothing is served any more.
    {"the servers stop while it waits",
     [](World &W) { fill(W, "watched", 10, 1000); }, 60s, 0.0,
     AdmissionReason::DeadlineTooClose, 30s}};

} // namespace

TEST_CASE("a refusal isn't held back until near the deadline") {
  for (const RefusalCase &Case : RefusalCases) {
    INFO(Case.m_Name);
    World In;
    In.m_Gate->setCapacity(Service, 1);
    In.enter("first", 1, 1h);
    Case.m_Before(In);
    std::optional<TimePoint> RefusedAt;
    AdmissionReason Reason = AdmissionReason::Admitted;
    const TimePoint Arrived = RuntimeClock::now();
    In.enter("watched", 10, Case.m_Deadline, Case.m_Limit, &RefusedAt, &Reason);
    while (!RefusedAt && RuntimeClock::now() - Arrived < Case.m_Longest) {
      RuntimeClock::advance(TickInterval);
      In.m_Gate->tick();
    }
    REQUIRE(RefusedAt.has_value());
    CHECK(*RefusedAt - Arrived <= Case.m_Longest);
    CHECK(Reason == Case.m_Reason);
  }
}
