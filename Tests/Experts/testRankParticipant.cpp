// Tests which orders a participant refuses or ignores. Seeded interleavings
// don't cover these checks alone, because other checks catch the same cases.
#include "Experts/RankParticipant.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;

namespace {

constexpr GroupShape Shape{
    .m_Ranks = 2, .m_Experts = 2, .m_Layers = 1, .m_SlotsPerRank = 1};
constexpr std::uint32_t Rank = 1;
constexpr std::uint64_t Incarnation = 5;
constexpr std::uint64_t FencingNumber = 3;
const TimePoint Now{std::chrono::hours(1)};

PlacedMap makeMap(std::uint64_t Version) {
  return {{Version, FencingNumber},
          std::make_shared<const ExpertMap>(initialMap(Shape))};
}

std::shared_ptr<GroupRecord> makeRecord(std::uint64_t Version) {
  auto Record = std::make_shared<GroupRecord>();
  Record->m_Version = Version;
  Record->m_Current = makeMap(1);
  Record->m_Incarnations = {4, Incarnation};
  return Record;
}

MapOrder makeOrder(OrderKind Kind, std::uint64_t Version,
                   std::uint64_t Step = 0) {
  return {Kind,          FencingNumber,    Incarnation,
          makeRecord(1), makeMap(Version), Step};
}

// A participant whose rank has done steps 0 and 1 with map 1.
struct Fixture {
  RankParticipant m_Participant = makeParticipant(Rank, Incarnation, 0, {});
  ParticipantEffects m_Effects;

  Fixture() {
    order(makeOrder(OrderKind::Learn, 1));
    feed(MapLoaded{makeMap(1).m_Id});
    feed(StepRequested{0});
    feed(StepRequested{1});
  }

  void feed(const ParticipantEvent &Event) {
    m_Effects = step(m_Participant, Event, Now);
  }
  void order(const MapOrder &Order) { feed(OrderArrived{Order}); }

  void prepare(std::uint64_t Version) {
    order(makeOrder(OrderKind::Prepare, Version));
    feed(MapLoaded{makeMap(Version).m_Id});
  }

  bool reports(ReportKind Kind) const {
    return std::any_of(m_Effects.begin(), m_Effects.end(),
                       [&](const ParticipantEffect &Effect) {
                         const auto *Sent = std::get_if<SendReport>(&Effect);
                         return Sent != nullptr &&
                                Sent->m_Report.m_Kind == Kind;
                       });
  }

  template <typename Wanted> bool has() const {
    return std::any_of(m_Effects.begin(), m_Effects.end(),
                       [](const ParticipantEffect &Effect) {
                         return std::holds_alternative<Wanted>(Effect);
                       });
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "a participant carries out a map change") {
  REQUIRE(m_Participant.m_NextStep == 2);
  prepare(2);
  CHECK(reports(ReportKind::Loaded));
  order(makeOrder(OrderKind::Hold, 2, 3));
  CHECK(reports(ReportKind::Promised));
  feed(StepRequested{2});
  CHECK(has<StartStep>());
  feed(StepRequested{3});
  CHECK_FALSE(has<StartStep>());
  CHECK(reports(ReportKind::QueryDecision));
  MapOrder Decision = makeOrder(OrderKind::Learn, 2);
  auto Record = makeRecord(2);
  Record->m_Previous = Record->m_Current;
  Record->m_Current = makeMap(2);
  Record->m_FromStep = 3;
  Decision.m_Record = Record;
  order(Decision);
  CHECK(has<SwitchMap>());
  CHECK(has<StartStep>());
}

TEST_CASE_METHOD(Fixture, "a promise requires the loaded map") {
  order(makeOrder(OrderKind::Prepare, 2));
  order(makeOrder(OrderKind::Hold, 2, 9));
  CHECK(reports(ReportKind::Refused));
  feed(MapLoaded{makeMap(2).m_Id});
  order(makeOrder(OrderKind::Hold, 3, 9));
  CHECK(reports(ReportKind::Refused));
  CHECK_FALSE(m_Participant.m_Hold);
}

TEST_CASE_METHOD(Fixture, "a promise holds until the log's decision") {
  prepare(2);
  order(makeOrder(OrderKind::Hold, 2, 9));
  const auto Hold = m_Participant.m_Hold;
  REQUIRE(Hold);
  SECTION("against another step") {
    order(makeOrder(OrderKind::Hold, 2, 12));
    CHECK(reports(ReportKind::Refused));
  }
  SECTION("against a cancel") {
    order(makeOrder(OrderKind::Cancel, 2));
    CHECK(m_Participant.m_Prepared);
  }
  SECTION("against another map") {
    order(makeOrder(OrderKind::Prepare, 3));
    CHECK(reports(ReportKind::Refused));
    CHECK_FALSE(has<LoadMap>());
  }
  CHECK(m_Participant.m_Hold == Hold);
  MapOrder Renewed = makeOrder(OrderKind::Learn, 1);
  Renewed.m_Record = makeRecord(3);
  order(Renewed);
  CHECK_FALSE(m_Participant.m_Hold);
}

TEST_CASE_METHOD(Fixture, "the standby map is kept until the switch") {
  prepare(2);
  MapOrder Decision = makeOrder(OrderKind::Prepare, 3);
  auto Record = makeRecord(2);
  Record->m_Previous = Record->m_Current;
  Record->m_Current = makeMap(2);
  Record->m_FromStep = 9;
  Decision.m_Record = Record;
  order(Decision);
  CHECK(reports(ReportKind::Refused));
  CHECK_FALSE(has<LoadMap>());
}

TEST_CASE("a participant joins only when the log lists its incarnation") {
  Fixture F;
  F.m_Participant = makeParticipant(Rank, Incarnation, 0, {});
  MapOrder Order = makeOrder(OrderKind::Prepare, 2);
  auto Record = makeRecord(1);
  Record->m_Incarnations = {4, Incarnation - 1};
  Order.m_Record = Record;
  F.order(Order);
  CHECK_FALSE(hasJoined(F.m_Participant));
  CHECK_FALSE(F.has<LoadMap>());
  F.feed(StepRequested{0});
  CHECK_FALSE(F.has<StartStep>());
}

TEST_CASE_METHOD(Fixture,
                 "a participant whose rank was taken over does nothing") {
  MapOrder Order = makeOrder(OrderKind::Learn, 2);
  auto Record = makeRecord(2);
  Record->m_Incarnations = {4, Incarnation + 1};
  Order.m_Record = Record;
  order(Order);
  feed(StepRequested{2});
  CHECK(m_Effects.empty());
}

TEST_CASE_METHOD(Fixture, "an order for another incarnation is ignored") {
  MapOrder Order = makeOrder(OrderKind::Prepare, 2);
  Order.m_Incarnation = Incarnation - 1;
  order(Order);
  CHECK(m_Effects.empty());
}
