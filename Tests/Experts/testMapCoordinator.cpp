// Tests which answers the coordinator counts and what it proposes, and the
// conversion of records to the log and back.
#include "Experts/MapCoordinator.h"

#include "Log.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr GroupShape Shape{
    .m_Ranks = 2, .m_Experts = 4, .m_Layers = 1, .m_SlotsPerRank = 3};
constexpr std::uint64_t FencingNumber = 7;

struct Fixture {
  MapCoordinator m_State = makeCoordinator(
      FencingNumber, std::make_shared<const ExpertMap>(initialMap(Shape)), {});
  TimePoint m_Now{1h};
  CoordinatorEffects m_Effects;

  // A group with incarnations 1 and 2 at version 1 of the log, taken over with
  // version 2.
  Fixture() {
    GroupRecord Record;
    Record.m_Version = 1;
    Record.m_Current = {{1, 1}, m_State.m_InitialMap};
    Record.m_Incarnations = {1, 2};
    feed(CoordinatorStarted{});
    feed(RecordRead{std::make_shared<const GroupRecord>(Record)});
    // A change that an earlier coordinator left in progress can no longer be
    // committed.
    REQUIRE(m_State.m_Proposal->m_Current == Record.m_Current);
    REQUIRE(m_Effects.size() > 2);
    feed(ProposalReplied{2, true});
    ExpertMap Next = initialMap(Shape);
    Next.m_Slots = {0, 1, 2, 3, 1, 2};
    feed(ChangeRequested{Next});
  }

  void feed(const CoordinatorEvent &Event) {
    m_Effects = step(m_State, Event, m_Now);
  }

  void report(ReportKind Kind, std::uint32_t Rank, std::uint64_t Incarnation,
              std::uint64_t NextStep = 10) {
    const MapId Map = m_State.m_Change ? m_State.m_Change->m_Id : MapId{};
    feed(ReportArrived{{Kind, Rank, Incarnation, Map, NextStep}});
  }

  void reportAll(ReportKind Kind) {
    report(Kind, 0, 1);
    report(Kind, 1, 2);
  }

  std::size_t orders(OrderKind Kind) const {
    return static_cast<std::size_t>(
        std::count_if(m_Effects.begin(), m_Effects.end(),
                      [&](const CoordinatorEffect &Effect) {
                        const auto *Sent = std::get_if<SendOrder>(&Effect);
                        return Sent != nullptr && Sent->m_Order.m_Kind == Kind;
                      }));
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "ranks load one after the other") {
  REQUIRE(m_State.m_Phase == CoordinatorPhase::Loading);
  CHECK(orders(OrderKind::Prepare) == 1);
  report(ReportKind::Loaded, 0, 1);
  m_Now = m_State.m_LoadStartTimes[1] - 1us;
  feed(CoordinatorTimerFired{});
  CHECK(orders(OrderKind::Prepare) == 0);
  m_Now += m_State.m_Limits.m_ResendDelay;
  feed(CoordinatorTimerFired{});
  CHECK(orders(OrderKind::Prepare) == 1);
}

TEST_CASE_METHOD(Fixture,
                 "a change collects promises, then commits to the log") {
  report(ReportKind::Loaded, 0, 1, 17);
  report(ReportKind::Loaded, 1, 2, 16);
  CHECK(orders(OrderKind::Hold) == 2);
  CHECK(m_State.m_SwitchStep == 17 + m_State.m_Limits.m_LeadSteps);
  reportAll(ReportKind::Promised);
  REQUIRE(m_State.m_Phase == CoordinatorPhase::Proposing);
  CHECK(m_State.m_Proposal->m_FromStep == m_State.m_SwitchStep);
  CHECK(m_State.m_Proposal->m_Previous == m_State.m_Record->m_Current);
  feed(ProposalReplied{m_State.m_Proposal->m_Version, true});
  CHECK(orders(OrderKind::Learn) == 2);
  CHECK(m_State.m_Phase == CoordinatorPhase::Idle);
}

TEST_CASE_METHOD(Fixture, "only the incarnation in the log counts") {
  reportAll(ReportKind::Loaded);
  report(ReportKind::Promised, 0, 1);
  report(ReportKind::Promised, 1, 3);
  CHECK(m_State.m_Phase == CoordinatorPhase::CollectingPromises);
  report(ReportKind::Refused, 1, 1);
  CHECK(m_State.m_Phase == CoordinatorPhase::CollectingPromises);
  report(ReportKind::Promised, 9, 2);
  CHECK(m_State.m_Phase == CoordinatorPhase::CollectingPromises);
}

TEST_CASE_METHOD(Fixture,
                 "missing promises end with a new version of the record") {
  reportAll(ReportKind::Loaded);
  report(ReportKind::Promised, 0, 1);
  m_Now = m_State.m_Deadline;
  feed(CoordinatorTimerFired{});
  REQUIRE(m_State.m_Phase == CoordinatorPhase::Proposing);
  CHECK(m_State.m_Proposal->m_Version > 3);
  CHECK(m_State.m_Proposal->m_Current == m_State.m_Record->m_Current);
  CHECK(m_State.m_Replaces == 2);
}

TEST_CASE_METHOD(Fixture, "a record survives a round trip through the log") {
  GroupRecord Record = *m_State.m_Record;
  Record.m_Version = 9;
  Record.m_FromStep = 44;
  Record.m_Previous = Record.m_Current;
  Record.m_Current = *m_State.m_Change;
  const schema::ActivateExpertMap Command = toCommand("drafting", Record, 8);
  schema::ExpertMapRecord Logged;
  Logged.set_map_version(Command.map_version());
  Logged.set_from_step(Command.from_step());
  Logged.set_map(Command.map());
  const auto Restored = fromLog(Logged);
  REQUIRE(Restored);
  CHECK(*Restored == Record);
  CHECK(*Restored->m_Current.m_Map == *Record.m_Current.m_Map);
  Logged.set_map(Command.map().substr(0, Command.map().size() / 2));
  CHECK_FALSE(fromLog(Logged));
}
