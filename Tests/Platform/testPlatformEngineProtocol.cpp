// Parsing of reports, counts and expert lists of the platform's engines, and
// writing of orders.
#include "PlatformEngineProtocol.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace mangocart::platform;

TEST_CASE("a report is parsed into a rank's state") {
  const auto State = PlatformEngineProtocol().parseState(
      R"({"stage":"prefill_decode","busy":true,"sequence":2,"waiting":1,)"
      R"("running":12,"kv_used":41000,"step":812,"map":7,"prepared":9,)"
      R"("armed":{"version":9,"step":900},"held":900,)"
      R"("group":{"name":"g0-0","epoch":3,"rank":5,"state":"open"},"size":12,)"
      R"("pace":3.5})");
  REQUIRE(State);
  CHECK(State->m_Group == "g0-0");
  CHECK(State->m_Rank == 5);
  CHECK(State->m_Size == 12);
  CHECK(State->m_Running == 12);
  CHECK(State->m_Waiting == 1);
  CHECK(State->m_Slowness == 3.5);
  CHECK(State->m_Report == RankReport{3, true, 2, true, 812, 7, 9, 9, 900});
}

TEST_CASE("nothing prepared, armed or held; a broken group") {
  const auto State = PlatformEngineProtocol().parseState(
      R"({"busy":false,"sequence":0,"step":1,"map":0,"prepared":null,)"
      R"("group":{"name":"g","epoch":1,"rank":0,"state":"broken"},"size":3})");
  REQUIRE(State);
  CHECK(State->m_Report == RankReport{1, false, 0, false, 1, 0, 0, 0, 0});
}

TEST_CASE("invalid reports are rejected") {
  for (const char *Body : {"", "{}", "[]", R"({"group":5})"}) {
    INFO(Body);
    CHECK_FALSE(PlatformEngineProtocol().parseState(Body));
  }
}

TEST_CASE("counts are accepted as a flat list or by layer") {
  const PlatformEngineProtocol P;
  const std::vector<std::uint64_t> Expected{1, 2, 3, 4};
  CHECK(P.parseCounts(R"({"step":1,"epoch":1,"counts":[1,2,3,4]})") ==
        Expected);
  CHECK(P.parseCounts(R"({"counts":[[1,2],[3,4]]})") == Expected);
  CHECK_FALSE(P.parseCounts(R"({"counts":5})"));
}

TEST_CASE("the experts of a rank are parsed") {
  const auto Experts = PlatformEngineProtocol().parseExperts(
      R"({"map":{"version":7,"experts":[[0,2],[1]]},"prepared":null})");
  REQUIRE(Experts);
  CHECK(Experts->m_MapVersion == 7);
  CHECK(Experts->m_ByLayer == std::vector<std::vector<ExpertId>>{{0, 2}, {1}});
}

TEST_CASE("orders are written as the engine expects them") {
  const PlatformEngineProtocol P;
  RankOrder Order;
  Order.m_Version = 4;
  Order.m_Pass = 80;
  Order.m_Epoch = 1;
  Order.m_ExpectedSequence = 6;
  const auto Body = [&](RankOrderKind Kind) {
    Order.m_Kind = Kind;
    return P.orderRequest(Order).m_Body;
  };
  CHECK(Body(RankOrderKind::Arm) ==
        R"({"epoch":1,"expected":6,"operation":"arm","version":4,"step":80})");
  CHECK(Body(RankOrderKind::Disarm) ==
        R"({"epoch":1,"expected":6,"operation":"disarm","version":4})");
  CHECK(Body(RankOrderKind::Hold) ==
        R"({"epoch":1,"expected":6,"operation":"hold","step":80})");
  CHECK(Body(RankOrderKind::Release) ==
        R"({"epoch":1,"expected":6,"operation":"go","step":80})");
  // One layer, two ranks with two slots, the last one empty.
  Order.m_Map = std::make_shared<const ExpertMap>(
      ExpertMap{{2, 3, 1, 2}, {0, 2, 1, EmptySlot}});
  CHECK(Body(RankOrderKind::Prepare) ==
        R"({"epoch":1,"expected":6,"operation":"prepare","version":4,)"
        R"("map":[[[0,2],[1]]]})");
}
