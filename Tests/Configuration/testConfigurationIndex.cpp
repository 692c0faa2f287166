// Look-ups against a scan of the whole configuration, and the index that is in
// force.
#include "Configuration/ConfigurationHolder.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::shared_ptr<schema::Configuration>
withRoutes(const std::vector<std::string> &Paths) {
  auto Made = std::make_shared<schema::Configuration>();
  for (const std::string &Path : Paths) {
    schema::Service &Service = *Made->add_services();
    Service.set_name("service of " + Path);
    Service.add_routes()->set_path(Path);
  }
  return Made;
}

bool prefixMatches(std::string_view Prefix, std::string_view Target) {
  if (!Target.starts_with(Prefix))
    return false;
  if (Target.size() == Prefix.size() || Prefix.ends_with('/'))
    return true;
  const char Next = Target[Prefix.size()];
  return Next == '/' || Next == '?';
}

// The rule as it reads: of all routes that match, the longest.
const schema::Route *scan(const schema::Configuration &In,
                          std::string_view Target) {
  const schema::Route *Best = nullptr;
  for (const schema::Service &Service : In.services())
    for (const schema::Route &Route : Service.routes())
      if (prefixMatches(Route.path(), Target) &&
          (Best == nullptr || Route.path().size() > Best->path().size()))
        Best = &Route;
  return Best;
}

std::string pathOf(const ConfigurationIndex &Index, std::string_view Target) {
  const RoutePlace *Place = Index.findRoute(Target);
  if (Place == nullptr)
    return "none";
  CHECK(Place->m_Service->name() == "service of " + Place->m_Route->path());
  return Place->m_Route->path();
}

} // namespace

TEST_CASE("the longest prefix of whole segments answers") {
  const ConfigurationIndex Index(
      withRoutes({"/bookings", "/v1/drafts", "/v1", "/v1/drafts/kept"}));
  struct Row {
    const char *m_Target;
    const char *m_Path;
  };
  const Row Rows[] = {{"/bookings", "/bookings"},
                      {"/bookings/7", "/bookings"},
                      {"/bookings?day=3", "/bookings"},
                      {"/bookingsale", "none"},
                      {"/v1/drafts/7", "/v1/drafts"},
                      {"/v1/drafts/kept/7/8?x=/y", "/v1/drafts/kept"},
                      {"/v1/draft", "/v1"},
                      {"/", "none"},
                      {"", "none"}};
  for (const Row &Each : Rows) {
    INFO(Each.m_Target);
    CHECK(pathOf(Index, Each.m_Target) == Each.m_Path);
  }
  CHECK(pathOf(ConfigurationIndex(withRoutes({})), "/v1") == "none");
}

TEST_CASE("look-ups find what a scan of all routes finds") {
  Random Draw(20);
  const auto Text = [&](std::size_t Longest) {
    std::string Made;
    for (std::size_t Left = Draw() % (Longest + 1); Left > 0; --Left)
      Made += "/a?b"[Draw() % 4];
    return Made;
  };
  std::size_t Matches = 0;
  for (int Round = 0; Round < 300; ++Round) {
    std::vector<std::string> Paths(6);
    for (std::string &Path : Paths)
      Path = Text(5);
    const auto Configuration = withRoutes(Paths);
    const ConfigurationIndex Index(Configuration);
    for (int I = 0; I < 40; ++I) {
      const std::string Target = Text(9);
      const schema::Route *Expected = scan(*Configuration, Target);
      const RoutePlace *Found = Index.findRoute(Target);
      INFO("target " << Target);
      REQUIRE((Found != nullptr ? Found->m_Route : nullptr) == Expected);
      Matches += Expected != nullptr ? 1 : 0;
    }
  }
  CHECK(Matches > 1000);
}

TEST_CASE("the index in force is the newest configuration's") {
  ConfigurationHolder Holder;
  CHECK(Holder.index()->findCustomer("letters") == nullptr);
  schema::Configuration Offered;
  Offered.set_version(2);
  Offered.add_customers()->set_name("letters");
  Offered.mutable_customers(0)->set_share(3);
  REQUIRE(Holder.offer(Offered));
  const ConfigurationIndexPtr Second = Holder.index();
  CHECK(Second->configuration()->version() == 2);
  REQUIRE(Second->findCustomer("letters") != nullptr);
  CHECK(Second->findCustomer("letters")->share() == 3);
  CHECK(Second->findCustomer("letter") == nullptr);

  Offered.mutable_customers(0)->set_share(9);
  CHECK_FALSE(Holder.offer(Offered));
  CHECK(Holder.index() == Second);
  Offered.set_version(3);
  Offered.mutable_customers(0)->set_name("parcels");
  REQUIRE(Holder.offer(Offered));
  CHECK(Holder.index()->findCustomer("letters") == nullptr);
  CHECK(Holder.index()->findCustomer("parcels")->share() == 9);
  // A request under way keeps what it began with.
  CHECK(Second->findCustomer("letters")->share() == 3);
}
