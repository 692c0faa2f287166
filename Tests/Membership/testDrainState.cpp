// Graceful shutdown as a table of events and effects.
#include "Membership/DrainState.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin(1000s);

struct Namer {
  std::string operator()(const AnnounceLeaving &) const { return "leaving "; }
  std::string operator()(const CloseListener &) const { return "close "; }
  std::string operator()(const CutOff &Effect) const {
    return "cut " + std::to_string(Effect.m_Outstanding) + " ";
  }
  std::string operator()(const AnnounceLeft &) const { return "left "; }
  std::string operator()(const Exit &) const { return "exit "; }
  std::string operator()(const DrainWakeAt &Effect) const {
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
      {DrainWoken{}, 2s, "close wake 60 left exit "}}},
    {"work in flight is finished",
     {{WorkStarted{}, 0s, ""},
      {WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainWoken{}, 2s, "close wake 60 "},
      {WorkFinished{}, 30s, ""},
      {DrainWoken{}, 40s, ""},
      {WorkFinished{}, 50s, "left exit "}}},
    {"work that starts while the listener is open is finished too",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {WorkStarted{}, 1s, ""},
      {DrainWoken{}, 2s, "close wake 60 "},
      {WorkFinished{}, 59s, "left exit "}}},
    {"the maximum cuts off what is left",
     {{WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainWoken{}, 2s, "close wake 60 "},
      {DrainWoken{}, 59s, ""},
      {DrainWoken{}, 60s, "cut 1 left exit "},
      {WorkFinished{}, 61s, ""}}},
    {"a second signal changes nothing",
     {{DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainRequested{}, 1s, ""},
      {DrainWoken{}, 2s, "close wake 60 left exit "},
      {DrainRequested{}, 3s, ""}}},
    {"early wake",
     {{DrainRequested{}, 0s, "leaving wake 2 "}, {DrainWoken{}, 1s, ""}}},
    {"a process that was stopped past the maximum",
     {{WorkStarted{}, 0s, ""},
      {DrainRequested{}, 0s, "leaving wake 2 "},
      {DrainWoken{}, 90s, "close wake 60 cut 1 left exit "}}},
    {"serving goes on without a request",
     {{WorkStarted{}, 0s, ""},
      {WorkFinished{}, 1s, ""},
      {DrainWoken{}, 100s, ""}}},
};

} // namespace

TEST_CASE("a drain's events and effects") {
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    DrainState State;
    State.m_Limits.m_Maximum = 60s;
    for (const Step &Next : Each.m_Steps) {
      std::string Effects;
      for (const DrainEffect &Effect :
           step(State, Next.m_Event, Begin + Next.m_At))
        Effects += std::visit(Namer{}, Effect);
      CHECK(Effects == Next.m_Effects);
    }
  }
}
