// Table tests of the graceful shutdown: events and effects.
#include "Membership/DrainState.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin(1000s);

struct EffectFormatter {
  std::string operator()(const AnnounceLeaving &) const { return "leaving "; }
  std::string operator()(const CloseListener &) const { return "close "; }
  std::string operator()(const AbortOutstanding &Effect) const {
    return "cut " + std::to_string(Effect.m_Outstanding) + " ";
  }
  std::string operator()(const AnnounceLeft &) const { return "left "; }
  std::string operator()(const Exit &) const { return "exit "; }
  std::string operator()(const SetDrainTimer &Effect) const {
    return "wake " +
           std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                              Effect.m_When - Begin)
                              .count()) +
           " ";
  }
};

struct Step {
  DrainEvent m_Event;
  Duration m_At;
  std::string m_Effects;
};

struct Row {
  const char *m_Name;
  std::vector<Step> m_Steps;
};

const Row Rows[] = {
    {"nothing in flight",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainTimerExpired{}, 2s, "close wake 60 left exit "}}},
    {"work in flight is completed",
     {{WorkStarted{}, 0s, ""},
      {WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainTimerExpired{}, 2s, "close wake 60 "},
      {WorkFinished{}, 30s, ""},
      {DrainTimerExpired{}, 40s, ""},
      {WorkFinished{}, 50s, "left exit "}}},
    {"work that starts while the listener is open is completed too",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {WorkStarted{}, 1s, ""},
      {DrainTimerExpired{}, 2s, "close wake 60 "},
      {WorkFinished{}, 59s, "left exit "}}},
    {"remaining work is aborted at the maximum duration",
     {{WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainTimerExpired{}, 2s, "close wake 60 "},
      {DrainTimerExpired{}, 59s, ""},
      {DrainTimerExpired{}, 60s, "cut 1 left exit "},
      {WorkFinished{}, 61s, ""}}},
    {"a second signal is ignored",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainRequested{}, 1s, ""},
      {DrainTimerExpired{}, 2s, "close wake 60 left exit "},
      {DrainRequested{}, 3s, ""}}},
    {"timer fires early",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainTimerExpired{}, 1s, ""}}},
    {"the process was suspended beyond the maximum duration",
     {{WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainTimerExpired{}, 90s, "close wake 60 cut 1 left exit "}}},
    {"serving continues without a drain request",
     {{WorkStarted{}, 0s, ""},
      {WorkFinished{}, 1s, ""},
      {DrainTimerExpired{}, 100s, ""}}},
};

} // namespace

TEST_CASE("drain: events and effects") {
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    DrainState State;
    State.m_Limits.m_MaxDuration = 60s;
    for (const Step &Next : TestRow.m_Steps) {
      std::string Effects;
      for (const DrainEffect &Effect :
           step(State, Next.m_Event, Begin + Next.m_At))
        Effects += std::visit(EffectFormatter{}, Effect);
      CHECK(Effects == Next.m_Effects);
    }
  }
}
