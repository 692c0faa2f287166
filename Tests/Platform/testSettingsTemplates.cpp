// The platform fills the templates in platform/ with values of a deployment. A
// value that the settings reader rejects keeps every process of that role from
// starting, so each template is rendered with all values that a deployment may
// have and read with the real settings reader.
#include "Settings/SettingsReader.h"

#include "Settings.pb.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace mangocart;

namespace {

// Values by dotted name. A name that is missing has no value.
using Fields = std::map<std::string, std::string>;

Fields deploymentFields() {
  return {{"node_id", "front-zone-a-1"},
          {"zone", "zone-a"},
          {"listen.front", "10.1.0.40:8227"},
          {"listen.ready", "10.1.0.40:8220"},
          {"listen.control", "10.1.0.41:8229"},
          {"app", "10.1.0.50:8080"},
          {"internal_ports.0", "7340"},
          {"bootstrap", "true"},
          {"data_dir", "/data"},
          {"heartbeat_interval_ms", "1200"},
          {"fault_tolerance.machines", "2"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.budget_slack", "88"},
          {"bounds.budget_window_s", "10"},
          {"bounds.grace_s", "8"},
          {"bounds.cold_overshoot", "1.5"},
          {"bounds.cold_slack", "5"}};
}

void replaceAll(std::string &Text, const std::string &Old,
                const std::string &New) {
  for (std::size_t At = Text.find(Old); At != std::string::npos;
       At = Text.find(Old, At + New.size()))
    Text.replace(At, Old.size(), New);
}

// Renders the sections and placeholders that the templates use. A section is
// rendered once if its field has a value other than false.
std::string render(std::string Text, const Fields &Values) {
  replaceAll(Text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
             "\"10.1.0.42:8229\",\"10.2.0.30:8229\"");
  replaceAll(Text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}",
             "\"zone-a\",\"zone-b\"");
  replaceAll(Text, "{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}",
             "\"zone-a=north\",\"zone-b=south\"");
  for (std::size_t Begin = Text.find("{{#"); Begin != std::string::npos;
       Begin = Text.find("{{#")) {
    const std::size_t NameEnd = Text.find("}}", Begin);
    const std::string Name = Text.substr(Begin + 3, NameEnd - Begin - 3);
    const std::string Close = "{{/" + Name + "}}";
    const std::size_t End = Text.find(Close, NameEnd);
    REQUIRE(End != std::string::npos);
    std::string Section = Text.substr(NameEnd + 2, End - NameEnd - 2);
    const auto Value = Values.find(Name);
    if (Value == Values.end() || Value->second == "false")
      Section.clear();
    else
      replaceAll(Section, "{{.}}", Value->second);
    Text.replace(Begin, End + Close.size() - Begin, Section);
  }
  for (const auto &[Name, Value] : Values)
    replaceAll(Text, "{{" + Name + "}}", Value);
  REQUIRE(Text.find("{{") == std::string::npos);
  return Text;
}

std::string templateText(const std::string &Role) {
  return readTextFile(std::string(MANGOCART_SOURCE_ROOT) + "/platform/" + Role +
                      ".toml")
      .value();
}

schema::GatewaySettings gatewaySettings(const Fields &Values) {
  SettingsWarnings Warnings;
  const auto Read = parseGatewaySettings(
      "f.toml", render(templateText("gateway"), Values), Warnings);
  INFO((Read ? std::string() : toString(Read.error())));
  REQUIRE(Read);
  return Read.value();
}

schema::VoterSettings voterSettings(const Fields &Values) {
  SettingsWarnings Warnings;
  const auto Read = parseVoterSettings(
      "f.toml", render(templateText("voter"), Values), Warnings);
  INFO((Read ? std::string() : toString(Read.error())));
  REQUIRE(Read);
  return Read.value();
}

schema::BalancerSettings balancerSettings(const Fields &Values) {
  SettingsWarnings Warnings;
  const auto Read = parseBalancerSettings(
      "f.toml", render(templateText("balancer"), Values), Warnings);
  INFO((Read ? std::string() : toString(Read.error())));
  REQUIRE(Read);
  return Read.value();
}

} // namespace

TEST_CASE("templates: bounds given as fractions are accepted") {
  Fields Values = deploymentFields();
  Values["bounds.budget_slack"] = "34.10526315789474";
  Values["bounds.budget_window_s"] = "2.5";
  Values["bounds.grace_s"] = "0.75";
  Values["heartbeat_interval_ms"] = "1200.4";
  const schema::GatewaySettings Gateway = gatewaySettings(Values);
  CHECK(Gateway.retry_slack() == 34.10526315789474);
  CHECK(Gateway.retry_window_ms() == 2500);
  CHECK(Gateway.drain_max_ms() == 750);
  CHECK(Gateway.cold_burst_factor() == 1.5);
  CHECK(Gateway.cold_burst_slack() == 5.0);
  CHECK(Gateway.announce_interval_ms() == 1200);
  CHECK(voterSettings(Values).announce_interval_ms() == 1200);
  CHECK(balancerSettings(Values).announce_interval_ms() == 1200);
}

TEST_CASE("templates: bounds of zero are accepted") {
  Fields Values = deploymentFields();
  for (const char *Name :
       {"bounds.retry_budget_ratio", "bounds.budget_slack",
        "bounds.budget_window_s", "bounds.grace_s", "bounds.cold_overshoot",
        "bounds.cold_slack", "fault_tolerance.machines"})
    Values[Name] = "0";
  const schema::GatewaySettings Gateway = gatewaySettings(Values);
  CHECK(Gateway.retry_ratio() == 0.0);
  CHECK(Gateway.retry_slack() == 0.0);
  CHECK(Gateway.retry_window_ms() == 0);
  CHECK(Gateway.drain_max_ms() == 0);
  CHECK(Gateway.cold_burst_factor() == 0.0);
  CHECK(Gateway.cold_burst_slack() == 0.0);
  CHECK(voterSettings(Values).tolerated_losses() == 0);
}

TEST_CASE("templates: absent and false bounds leave the defaults") {
  Fields Values = deploymentFields();
  Values.erase("bounds.budget_slack");
  Values.erase("bounds.budget_window_s");
  Values["bounds.grace_s"] = "false";
  Values["bounds.retry_budget_ratio"] = "false";
  Values.erase("bounds.cold_overshoot");
  Values["bounds.cold_slack"] = "false";
  Values.erase("fault_tolerance.machines");
  const schema::GatewaySettings Gateway = gatewaySettings(Values);
  CHECK(Gateway.retry_ratio() == 0.1);
  CHECK(Gateway.retry_slack() == 10.0);
  CHECK(Gateway.retry_window_ms() == 10000);
  CHECK(Gateway.drain_max_ms() == 8000);
  CHECK(Gateway.cold_burst_factor() == 1.0);
  CHECK(Gateway.cold_burst_slack() == 0.0);
  CHECK(voterSettings(Values).tolerated_losses() == 1);
}

TEST_CASE("templates: large bounds are accepted") {
  Fields Values = deploymentFields();
  Values["bounds.retry_budget_ratio"] = "25";
  Values["bounds.budget_slack"] = "20000000";
  Values["bounds.budget_window_s"] = "3600";
  Values["bounds.grace_s"] = "7200";
  Values["heartbeat_interval_ms"] = "60000";
  Values["fault_tolerance.machines"] = "12";
  const schema::GatewaySettings Gateway = gatewaySettings(Values);
  CHECK(Gateway.retry_ratio() == 25.0);
  CHECK(Gateway.retry_slack() == 2e7);
  CHECK(Gateway.retry_window_ms() == 3600000);
  CHECK(Gateway.drain_max_ms() == 7200000);
  CHECK(voterSettings(Values).tolerated_losses() == 12);
  CHECK(balancerSettings(Values).announce_interval_ms() == 60000);
}

TEST_CASE("templates: the availability zones and their regions are listed") {
  const schema::GatewaySettings Gateway = gatewaySettings(deploymentFields());
  REQUIRE(Gateway.zone_regions_size() == 2);
  CHECK(Gateway.zone_regions(0) == "zone-a=north");
  CHECK(Gateway.zone_regions(1) == "zone-b=south");
  const schema::VoterSettings Voter = voterSettings(deploymentFields());
  REQUIRE(Voter.availability_zones_size() == 2);
  CHECK(Voter.availability_zones(1) == "zone-b");
}
