// Pattern: one machine of a service stands still or is cut off while requests
// wait there and the others answer.
#include "Gateway/SilenceDetector.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

// Attempts at two servers of a service; the second goes on answering.
SilenceWatch watchOfTwo() {
  SilenceWatch Watch;
  noteAttempt(Watch, "a", "model", Start);
  noteAttempt(Watch, "b", "model", Start);
  return Watch;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("a server is looked at when others answer and it doesn't") {
  struct Case {
    const char *m_Name;
    Duration m_HeardA;
    Duration m_HeardB;
    Duration m_Now;
    Names m_Suspects;
  };
  const Case Cases[] = {
      {"both answer", 280ms, 290ms, 300ms, {}},
      {"one is silent", 0ms, 290ms, 310ms, {"a"}},
      {"not for long", 100ms, 290ms, 310ms, {}},
      {"all are silent: the service stands still", 10ms, 20ms, 900ms, {}},
      {"silent since an event", 100ms, 600ms, 610ms, {"a"}},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    SilenceWatch Watch = watchOfTwo();
    if (Each.m_HeardA > 0ms)
      noteHeard(Watch, "a", Start + Each.m_HeardA);
    noteHeard(Watch, "b", Start + Each.m_HeardB);
    CHECK(serversToProbe(Watch, Start + Each.m_Now) == Each.m_Suspects);
  }
}

TEST_CASE("only a server that gives no sign of life is silent") {
  SilenceWatch Watch = watchOfTwo();
  noteHeard(Watch, "b", Start + 290ms);
  REQUIRE(serversToProbe(Watch, Start + 310ms) == Names{"a"});
  SECTION("one look at a time") {
    CHECK(serversToProbe(Watch, Start + 410ms).empty());
  }
  SECTION("it gives one: it is busy, and is asked again later") {
    CHECK_FALSE(noteProbe(Watch, "a", true, Start + 315ms));
    noteHeard(Watch, "b", Start + 1200ms);
    CHECK(serversToProbe(Watch, Start + 1200ms).empty());
    CHECK(serversToProbe(Watch, Start + 1400ms) == Names{"a"});
  }
  SECTION("it gives none") {
    CHECK(noteProbe(Watch, "a", false, Start + 610ms));
  }
  SECTION("it was heard while the look was under way") {
    noteHeard(Watch, "a", Start + 400ms);
    CHECK_FALSE(noteProbe(Watch, "a", false, Start + 610ms));
  }
  SECTION("its attempts ended meanwhile") {
    noteAttemptOver(Watch, "a");
    CHECK_FALSE(noteProbe(Watch, "a", false, Start + 610ms));
  }
}

TEST_CASE("work that begins after a rest isn't taken for silence") {
  SilenceWatch Watch = watchOfTwo();
  noteAttemptOver(Watch, "a");
  noteHeard(Watch, "b", Start + 5s);
  noteAttempt(Watch, "a", "model", Start + 5s);
  noteHeard(Watch, "b", Start + 5100ms);
  CHECK(serversToProbe(Watch, Start + 5200ms).empty());
}
