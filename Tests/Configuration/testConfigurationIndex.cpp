// Lookups compared with a linear scan of the configuration, and replacement of
// the current index.
#include "Configuration/ConfigurationHolder.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::shared_ptr<schema::Configuration>
withRoutes(const std::vector<std::string> &Paths) {
  auto Result = std::make_shared<schema::Configuration>();
  for (const std::string &Path : Paths) {
    schema::Service &Service = *Result->add_services();
    Service.set_name("service of " + Path);
    Service.add_routes()->set_path(Path);
  }
  return Result;
}

bool prefixMatches(std::string_view Prefix, std::string_view Target) {
  if (!Target.starts_with(Prefix))
    return false;
  if (Target.size() == Prefix.size() || Prefix.ends_with('/'))
    return true;
  const char Next = Target[Prefix.size()];
  return Next == '/' || Next == '?';
}

// Reference implementation: the longest of all matching routes.
const schema::Route *longestMatch(const schema::Configuration &In,
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
  const ServiceRoute *Found = Index.findRoute(Target);
  if (Found == nullptr)
    return "none";
  CHECK(Found->m_Service->name() == "service of " + Found->m_Route->path());
  return Found->m_Route->path();
}

} // namespace

TEST_CASE("the longest prefix of whole segments is found") {
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

TEST_CASE("lookups return the same routes as a linear scan") {
  Random Generator(20);
  const auto RandomText = [&](std::size_t Longest) {
    std::string Result;
    for (std::size_t Remaining = Generator() % (Longest + 1); Remaining > 0;
         --Remaining)
      Result += "/a?b"[Generator() % 4];
    return Result;
  };
  std::size_t Matches = 0;
  for (int Round = 0; Round < 300; ++Round) {
    std::vector<std::string> Paths(6);
    for (std::string &Path : Paths)
      Path = RandomText(5);
    const auto Configuration = withRoutes(Paths);
    const ConfigurationIndex Index(Configuration);
    for (int I = 0; I < 40; ++I) {
      const std::string Target = RandomText(9);
      const schema::Route *Expected = longestMatch(*Configuration, Target);
      const ServiceRoute *Found = Index.findRoute(Target);
      INFO("target " << Target);
      REQUIRE((Found != nullptr ? Found->m_Route : nullptr) == Expected);
      Matches += Expected != nullptr ? 1 : 0;
    }
  }
  CHECK(Matches > 1000);
}

TEST_CASE("the current index belongs to the newest configuration") {
  ConfigurationHolder Holder;
  CHECK(Holder.index()->findCustomer("letters") == nullptr);
  schema::Configuration Offered;
  Offered.set_version(2);
  Offered.add_customers()->set_name("letters");
  Offered.mutable_customers(0)->set_share(3);
  REQUIRE(Holder.offer(Offered));
  const ConfigurationIndexPtr IndexOfVersion2 = Holder.index();
  CHECK(IndexOfVersion2->configuration()->version() == 2);
  REQUIRE(IndexOfVersion2->findCustomer("letters") != nullptr);
  CHECK(IndexOfVersion2->findCustomer("letters")->share() == 3);
  CHECK(IndexOfVersion2->findCustomer("letter") == nullptr);

  Offered.mutable_customers(0)->set_share(9);
  CHECK_FALSE(Holder.offer(Offered));
  CHECK(Holder.index() == IndexOfVersion2);
  Offered.set_version(3);
  Offered.mutable_customers(0)->set_name("parcels");
  REQUIRE(Holder.offer(Offered));
  CHECK(Holder.index()->findCustomer("letters") == nullptr);
  CHECK(Holder.index()->findCustomer("parcels")->share() == 9);
  // A request in progress keeps the index that it started with.
  CHECK(IndexOfVersion2->findCustomer("letters")->share() == 3);
}
