// One machine of a service freezes or becomes unreachable while requests wait
// for it and the other servers respond: it must be detected, and a busy server
// must not.
#include "Gateway/SilenceDetector.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

// Attempts at two servers of a service, of which the second keeps responding.
SilenceDetector detectorWithTwoServers() {
  SilenceDetector Detector;
  recordAttempt(Detector, "a", "model", Start);
  recordAttempt(Detector, "b", "model", Start);
  return Detector;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("a server is probed when others send data and it does not") {
  struct Case {
    const char *m_Name;
    Duration m_LastActivityA;
    Duration m_LastActivityB;
    Duration m_Now;
    Names m_Suspects;
  };
  const Case Cases[] = {
      {"both respond", 280ms, 290ms, 300ms, {}},
      {"one is silent", 0ms, 290ms, 310ms, {"a"}},
      {"not for long", 100ms, 290ms, 310ms, {}},
      {"all are silent: the whole service stalls", 10ms, 20ms, 900ms, {}},
      {"silent since an event", 100ms, 600ms, 610ms, {"a"}},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    SilenceDetector Detector = detectorWithTwoServers();
    if (Each.m_LastActivityA > 0ms)
      recordActivity(Detector, "a", Start + Each.m_LastActivityA);
    recordActivity(Detector, "b", Start + Each.m_LastActivityB);
    CHECK(serversToProbe(Detector, Start + Each.m_Now) == Each.m_Suspects);
  }
}

TEST_CASE("only a server that does not respond to a probe is silent") {
  SilenceDetector Detector = detectorWithTwoServers();
  recordActivity(Detector, "b", Start + 290ms);
  REQUIRE(serversToProbe(Detector, Start + 310ms) == Names{"a"});
  SECTION("one probe at a time") {
    CHECK(serversToProbe(Detector, Start + 410ms).empty());
  }
  SECTION("it responds: it is busy, and is probed again later") {
    CHECK_FALSE(recordProbeResult(Detector, "a", true, Start + 315ms));
    recordActivity(Detector, "b", Start + 1200ms);
    CHECK(serversToProbe(Detector, Start + 1200ms).empty());
    CHECK(serversToProbe(Detector, Start + 1400ms) == Names{"a"});
  }
  SECTION("it does not respond") {
    CHECK(recordProbeResult(Detector, "a", false, Start + 610ms));
  }
  SECTION("data was received during the probe") {
    recordActivity(Detector, "a", Start + 400ms);
    CHECK_FALSE(recordProbeResult(Detector, "a", false, Start + 610ms));
  }
  SECTION("its attempts ended during the probe") {
    recordAttemptEnd(Detector, "a");
    CHECK_FALSE(recordProbeResult(Detector, "a", false, Start + 610ms));
  }
}

TEST_CASE(
    "an attempt that starts after an idle time is not taken for silence") {
  SilenceDetector Detector = detectorWithTwoServers();
  recordAttemptEnd(Detector, "a");
  recordActivity(Detector, "b", Start + 5s);
  recordAttempt(Detector, "a", "model", Start + 5s);
  recordActivity(Detector, "b", Start + 5100ms);
  CHECK(serversToProbe(Detector, Start + 5200ms).empty());
}
