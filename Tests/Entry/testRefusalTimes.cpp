// Tests that each kind of rejection by admission control happens immediately,
// or as soon as it is known that the request cannot be served in time, and is
// not delayed until near the deadline.
#include "Entry/AdmissionController.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *Service = "assistant";
constexpr Duration TickInterval = 100ms;

// One slot, occupied until the end of the test.
struct RefusalFixture {
  RefusalFixture() { RuntimeClock::pause(); }
  ~RefusalFixture() {
    // Releasing a permit admits another request.
    while (!m_Permits.empty()) {
      const AdmissionPermit Ended = std::move(m_Permits.back());
      m_Permits.pop_back();
    }
    RuntimeClock::resume();
  }

  // Records when and why the request is rejected.
  void submit(const std::string &Customer, std::uint64_t Tokens,
              Duration Deadline, double Limit = 0.0,
              std::optional<TimePoint> *RefusedAt = nullptr,
              AdmissionReason *Reason = nullptr) {
    const TimePoint Now = RuntimeClock::now();
    m_Admission->submit(
        {Service, Customer, 1.0, Limit, Tokens, Now + Deadline},
        [this, RefusedAt, Reason](AdmissionPermit Permit,
                                  const AdmissionDecision &Decision) {
          if (Decision.m_Reason == AdmissionReason::Admitted)
            m_Permits.push_back(std::move(Permit));
          else if (RefusedAt) {
            *RefusedAt = RuntimeClock::now();
            *Reason = Decision.m_Reason;
          }
        });
  }

  std::shared_ptr<AdmissionController> m_Admission =
      std::make_shared<AdmissionController>(1, 0, 1);
  std::vector<AdmissionPermit> m_Permits;
};

struct RefusalCase {
  const char *m_Name;
  // Setup before the observed request.
  void (*m_Setup)(RefusalFixture &);
  Duration m_Deadline;
  double m_Limit;
  AdmissionReason m_Reason;
  Duration m_MaxDelay;
};

void noSetup(RefusalFixture &) {}

void fill(RefusalFixture &Fixture, const char *Customer, int Count,
          std::uint64_t Tokens) {
  for (int I = 0; I < Count; ++I)
    Fixture.submit(Customer, Tokens, 1h);
}

const RefusalCase RefusalCases[] = {
    {"over the customer's rate limit",
     [](RefusalFixture &F) { F.submit("watched", 10, 1h, 10.0); }, 1h, 10.0,
     AdmissionReason::CustomerLimit, 0ms},
    {"too many queued requests of the customer",
     [](RefusalFixture &F) { fill(F, "watched", 300, 1); }, 1h, 0.0,
     AdmissionReason::CustomerQueueFull, 0ms},
    {"the queue is full",
     [](RefusalFixture &F) {
       for (int I = 0; I < 4200; ++I)
         F.submit(std::to_string(I), 1, 1h);
     },
     1h, 0.0, AdmissionReason::QueueFull, 0ms},
    {"the expected wait is too long",
     [](RefusalFixture &F) { fill(F, "watched", 100, 1000); }, 10s, 0.0,
     AdmissionReason::DeadlineTooClose, 0ms},
    {"the deadline has passed already", noSetup, -1s, 0.0,
     AdmissionReason::DeadlineTooClose, 0ms},
    // Admitted at 1,000 tokens per second; afterwards nothing is served.
    {"the servers stop while it is queued",
     [](RefusalFixture &F) { fill(F, "watched", 10, 1000); }, 60s, 0.0,
     AdmissionReason::DeadlineTooClose, 30s}};

} // namespace

TEST_CASE("a rejection is not delayed until near the deadline") {
  for (const RefusalCase &Case : RefusalCases) {
    INFO(Case.m_Name);
    RefusalFixture Fixture;
    Fixture.m_Admission->setCapacity(Service, 1);
    Fixture.submit("first", 1, 1h);
    Case.m_Setup(Fixture);
    std::optional<TimePoint> RefusedAt;
    AdmissionReason Reason = AdmissionReason::Admitted;
    const TimePoint Arrived = RuntimeClock::now();
    Fixture.submit("watched", 10, Case.m_Deadline, Case.m_Limit, &RefusedAt,
                   &Reason);
    while (!RefusedAt && RuntimeClock::now() - Arrived < Case.m_MaxDelay) {
      RuntimeClock::advance(TickInterval);
      Fixture.m_Admission->tick();
    }
    REQUIRE(RefusedAt.has_value());
    CHECK(*RefusedAt - Arrived <= Case.m_MaxDelay);
    CHECK(Reason == Case.m_Reason);
  }
}
