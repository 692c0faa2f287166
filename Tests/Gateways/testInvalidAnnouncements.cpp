// Announcements by another program, among those of the engines. Guards against
// entries that end voters or gateways, or keep gateways from following the
// voters: a gateway can't parse an update whose texts aren't UTF-8, and opens
// the stream again and again.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

std::string announcement(const std::string &Address, const std::string &Slots,
                         const std::string &More = "0",
                         const std::string &Zone = "z0") {
  return fmt::format(R"({{"service":"other","address":"{}","zone":"{}",)"
                     R"("slots":{},"state":"ready","sequence":4,"more":{}}})",
                     Address, Zone, Slots, More);
}

struct InvalidAnnouncement {
  std::string m_Name;
  std::string m_Body;
};

std::vector<InvalidAnnouncement> invalidAnnouncements() {
  const std::string At = "10.1.0.9:8080";
  const std::string Deep(100'000, '[');
  const std::string Closed = Deep + std::string(100'000, ']');
  return {{"deep", announcement(At, "1", Deep)},
          {"deep-closed", announcement(At, "1", Closed)},
          {"slots-exponent", announcement(At, "1e999")},
          {"slots-65-bits", announcement(At, "36893488147419103232")},
          {"slots-33-bits", announcement(At, "4294967296")},
          {"port-range", announcement("10.1.0.9:65536", "1")},
          {"port-zero", announcement("10.1.0.9:0", "1")},
          {"port-negative", announcement("10.1.0.9:-1", "1")},
          {"zone-long", announcement(At, "1", "0", std::string(100'000, 'z'))},
          {"body", "\xff\xfe"},
          {"name-\xff", announcement(At, "1")},
          {std::string(10'000, 'n'), announcement(At, "1")}};
}

} // namespace

TEST_CASE("gateways follow the voters although another program announces") {
  GatewayDeployment D(99, 1);
  D.start();
  FleetOptions Options = fleetOptionsFor(D);
  EngineFleet Fleet(Options);
  Fleet.start();
  std::this_thread::sleep_for(1s);
  for (const InvalidAnnouncement &Each : invalidAnnouncements()) {
    INFO(Each.m_Name.substr(0, 20));
    CHECK(call(D.voter(), {"PUT",
                           "/instances/" + Each.m_Name,
                           {{"Host", "voter"}},
                           Each.m_Body,
                           {}})
              .m_Head.m_Status == 400);
  }
  D.configure(2);
  CallerLoad Load({D.gateway(0)}, {{40.0, true, {}}}, 11);
  Load.start();
  std::this_thread::sleep_for(3s);
  const auto &Records = Load.finish();
  CHECK(std::all_of(Records.begin(), Records.end(), isWhole));
  const std::string Log = D.log(0);
  CHECK(Log.find("cannot be parsed") == std::string::npos);
  CHECK(Log.find(R"("name":"VoterLost")") == std::string::npos);
  CHECK(Log.find(R"("version":2)") != std::string::npos);
}
