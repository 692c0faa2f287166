// What a gate refuses and ignores, order by order. The interleavings reach
// these only through another guard that covers them.
#include "Experts/RankGate.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;

namespace {

constexpr GroupShape Shape{
    .m_Ranks = 2, .m_Experts = 2, .m_Layers = 1, .m_SlotsPerRank = 1};
constexpr std::uint32_t Rank = 1;
constexpr std::uint64_t Incarnation = 5;
constexpr std::uint64_t Number = 3;
const TimePoint Now{std::chrono::hours(1)};

PlacedMap makeMap(std::uint64_t Version) {
  return {{Version, Number},
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
  return {Kind, Number, Incarnation, makeRecord(1), makeMap(Version), Step};
}

// A gate whose rank has done steps 0 and 1 under map 1.
struct Fixture {
  RankGate m_Gate = startGate(Rank, Incarnation, 0, {});
  GateEffects m_Effects;

  Fixture() {
    order(makeOrder(OrderKind::Learn, 1));
    feed(MapLoaded{makeMap(1).m_Id});
    feed(StepAsked{0});
    feed(StepAsked{1});
  }

  void feed(const GateEvent &Event) { m_Effects = step(m_Gate, Event, Now); }
  void order(const MapOrder &Order) { feed(OrderArrived{Order}); }

  void prepare(std::uint64_t Version) {
    order(makeOrder(OrderKind::Prepare, Version));
    feed(MapLoaded{makeMap(Version).m_Id});
  }

  bool reports(ReportKind Kind) const {
    return std::any_of(
        m_Effects.begin(), m_Effects.end(), [&](const GateEffect &Effect) {
          const auto *Sent = std::get_if<SendReport>(&Effect);
          return Sent != nullptr && Sent->m_Report.m_Kind == Kind;
        });
  }

  template <typename Wanted> bool has() const {
    return std::any_of(m_Effects.begin(), m_Effects.end(),
                       [](const GateEffect &Effect) {
                         return std::holds_alternative<Wanted>(Effect);
                       });
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "a change goes through the gate") {
  REQUIRE(m_Gate.m_NextStep == 2);
  prepare(2);
  CHECK(reports(ReportKind::Loaded));
  order(makeOrder(OrderKind::Hold, 2, 3));
  CHECK(reports(ReportKind::Promised));
  feed(StepAsked{2});
  CHECK(has<StartStep>());
  feed(StepAsked{3});
  CHECK_FALSE(has<StartStep>());
  CHECK(reports(ReportKind::Ask));
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

TEST_CASE_METHOD(Fixture, "a promise needs the loaded map") {
  order(makeOrder(OrderKind::Prepare, 2));
  order(makeOrder(OrderKind::Hold, 2, 9));
  CHECK(reports(ReportKind::Refused));
  feed(MapLoaded{makeMap(2).m_Id});
  order(makeOrder(OrderKind::Hold, 3, 9));
  CHECK(reports(ReportKind::Refused));
  CHECK_FALSE(m_Gate.m_Hold);
}

TEST_CASE_METHOD(Fixture, "a promise stands until the log's decision") {
  prepare(2);
  order(makeOrder(OrderKind::Hold, 2, 9));
  const auto Hold = m_Gate.m_Hold;
  REQUIRE(Hold);
  SECTION("against another step") {
    order(makeOrder(OrderKind::Hold, 2, 12));
    CHECK(reports(ReportKind::Refused));
  }
  SECTION("against a cancel") {
    order(makeOrder(OrderKind::Cancel, 2));
    CHECK(m_Gate.m_Prepared);
  }
  SECTION("against another map") {
    order(makeOrder(OrderKind::Prepare, 3));
    CHECK(reports(ReportKind::Refused));
    CHECK_FALSE(has<LoadMap>());
  }
  CHECK(m_Gate.m_Hold == Hold);
  MapOrder Renewed = makeOrder(OrderKind::Learn, 1);
  Renewed.m_Record = makeRecord(3);
  order(Renewed);
  CHECK_FALSE(m_Gate.m_Hold);
}

TEST_CASE_METHOD(Fixture, "the map beside is kept until the switch") {
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

TEST_CASE("a gate takes part only when the log names its incarnation") {
  Fixture F;
  F.m_Gate = startGate(Rank, Incarnation, 0, {});
  MapOrder Order = makeOrder(OrderKind::Prepare, 2);
  auto Record = makeRecord(1);
  Record->m_Incarnations = {4, Incarnation - 1};
  Order.m_Record = Record;
  F.order(Order);
  CHECK_FALSE(hasJoined(F.m_Gate));
  CHECK_FALSE(F.has<LoadMap>());
  F.feed(StepAsked{0});
  CHECK_FALSE(F.has<StartStep>());
}

TEST_CASE_METHOD(Fixture, "a gate whose rank was taken over does nothing") {
  MapOrder Order = makeOrder(OrderKind::Learn, 2);
  auto Record = makeRecord(2);
  Record->m_Incarnations = {4, Incarnation + 1};
  Order.m_Record = Record;
  order(Order);
  feed(StepAsked{2});
  CHECK(m_Effects.empty());
}

TEST_CASE_METHOD(Fixture, "an order for another incarnation is ignored") {
  MapOrder Order = makeOrder(OrderKind::Prepare, 2);
  Order.m_Incarnation = Incarnation - 1;
  order(Order);
  CHECK(m_Effects.empty());
}
