// Orders between balancers. A map that is sent as a difference must be rebuilt
// exactly, and an order whose base is unknown must not reach the engine.
#include "Balancer/KnownMaps.h"

#include "Balancer/RankSchema.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

ExpertMap makeMap(ExpertId First) {
  ExpertMap Map;
  Map.m_Shape = {2, 4, 1, 2};
  Map.m_Slots = {First, 1, 2, 3};
  return Map;
}

RankOrder prepareOrder(std::uint64_t Version, ExpertId First) {
  RankOrder Order;
  Order.m_Version = Version;
  Order.m_Epoch = 3;
  Order.m_ExpectedSequence = 9;
  Order.m_Map = std::make_shared<const ExpertMap>(makeMap(First));
  return Order;
}

RankOrder changeOrder(std::uint64_t Version, ExpertId First, ExpertId BaseFirst,
                      KnownMaps &Maps) {
  const RankOrder Order = prepareOrder(Version, First);
  const auto Decoded = Maps.decode(toSchema(Order, makeMap(BaseFirst)));
  REQUIRE(Decoded);
  CHECK(*Decoded->m_Map == *Order.m_Map);
  return *Decoded;
}

} // namespace

TEST_CASE("rank orders: a difference to a known map gives the whole map") {
  KnownMaps Maps;
  REQUIRE(Maps.decode(toSchema(prepareOrder(5, 0))));
  const RankOrder Order = changeOrder(6, 1, 0, Maps);
  CHECK(Order.m_Version == 6);
  CHECK(Order.m_Epoch == 3);
  CHECK(Order.m_ExpectedSequence == 9);
  // A map that was sent as a difference can be a base itself.
  changeOrder(7, 2, 1, Maps);
}

TEST_CASE("rank orders: an equal map is sent as an empty difference") {
  KnownMaps Maps;
  REQUIRE(Maps.decode(toSchema(prepareOrder(5, 0))));
  const schema::RankOrder Order = toSchema(prepareOrder(6, 0), makeMap(0));
  CHECK(Order.slots().empty());
  const auto Decoded = Maps.decode(Order);
  REQUIRE(Decoded);
  REQUIRE(Decoded->m_Map);
  CHECK(*Decoded->m_Map == makeMap(0));
}

TEST_CASE("rank orders: a difference to an unknown map is rejected") {
  KnownMaps Maps;
  const schema::RankOrder Order = toSchema(prepareOrder(6, 1), makeMap(0));
  CHECK_FALSE(Maps.decode(Order));
  // Only the latest maps are kept.
  for (ExpertId First = 0; First <= KnownMaps::MaxMaps; ++First)
    REQUIRE(Maps.decode(toSchema(prepareOrder(7, First))));
  CHECK_FALSE(Maps.decode(Order));
}

TEST_CASE("rank orders: a malformed difference is rejected") {
  KnownMaps Maps;
  REQUIRE(Maps.decode(toSchema(prepareOrder(5, 0))));
  schema::RankOrder Order = toSchema(prepareOrder(6, 1), makeMap(0));
  Order.set_changed_positions(0, 4);
  CHECK_FALSE(Maps.decode(Order));
  Order.clear_changed_positions();
  CHECK_FALSE(Maps.decode(Order));
}

// Pattern: a group breaks and forms anew, with its first map, after many
// changes. Its first change must not need whole maps again: they take 1.2 s for
// 64 ranks on links of 6 Mbit/s, while all streams run with an unbalanced map.
TEST_CASE("rank orders: the base map is kept over all changes") {
  KnownMaps Maps;
  Maps.keepBase(toSchema(prepareOrder(0, 0)));
  for (ExpertId First = 1; First <= 2 * KnownMaps::MaxMaps; ++First)
    REQUIRE(Maps.decode(toSchema(prepareOrder(7, First))));
  changeOrder(20, 1, 0, Maps);
  CHECK(Maps.hashes().front() == hashOf(makeMap(0)));
  CHECK(Maps.hashes().size() == KnownMaps::MaxMaps + 1);
}

TEST_CASE("rank orders: a base map without a map changes nothing") {
  KnownMaps Maps;
  Maps.keepBase(schema::RankOrder());
  CHECK(Maps.hashes().empty());
}

TEST_CASE("rank orders: an order without a map needs no base") {
  KnownMaps Maps;
  RankOrder Arm;
  Arm.m_Kind = RankOrderKind::Arm;
  Arm.m_Version = 5;
  Arm.m_Pass = 40;
  CHECK(Maps.decode(toSchema(Arm)) == Arm);
}
