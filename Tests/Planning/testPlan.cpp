// Tables of changes to answers and what the plan makes of them, the choice of
// voters, and the examples from answers to settings files.
#include "Planning/Plan.h"

#include "Planning/DeploymentFiles.h"
#include "Planning/VoterChoice.h"
#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/SettingsReader.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::string exampleText(const std::string &Name) {
  return readTextFile(std::string(MANGOCART_SOURCE_ROOT) + "/Examples/" + Name +
                      "/answers.toml")
      .value();
}

std::string changed(std::string Text, const std::string &Old,
                    const std::string &New) {
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

std::string linesOf(const Plan &Made) {
  std::string Text;
  for (const ConfigurationChange &Change : Made.m_Changes)
    Text += toString(Change) + "\n";
  for (const SettingsWarning &Warning : Made.m_Warnings)
    Text += toString(Warning) + "\n";
  return Text;
}

struct ChangeCase {
  const char *m_Old;
  const char *m_New;
  // Changes, then warnings.
  const char *m_Lines;
};

const ChangeCase ChangeCases[] = {
    {"replicas = 12", "replicas = 12", ""},
    {"replicas = 12", "replicas = 14",
     "service assistant: replicas 12 -> 14\n"},
    {"\"rebalancing-cost\"", "\"step-skew\"",
     "deployment: step_skew_weight 0.3 -> 0.7\n"
     "deployment: rebalancing_cost_weight 0.7 -> 0.3\n"},
    {"path = \"/bookings\"", "path = \"/slots\"",
     "service booking-desk, route /bookings: removed (deadline_ms 10000)\n"
     "service booking-desk, route /slots: added (deadline_ms 10000)\n"},
    {"name = \"newsletter\"", "name = \"letters\"",
     "customer newsletter: removed (share 1, max_tokens_per_second 500)\n"
     "customer letters: added (share 1, max_tokens_per_second 500)\n"},
    {"share = 20", "share = 200",
     "customer school-groups: share 20 -> 200\n"
     "a.toml:73: customers[0].share: warning: 200 of 247 shares: school-groups "
     "may take more than half of the system when it is busy\n"},
    {"name = \"canelones-c\"\nregion = \"canelones\"",
     "name = \"canelones-c\"\nregion = \"canelones\"\n"
     "[[availability_zones]]\nname = \"canelones-d\"\nregion = \"canelones\"",
     "availability zone canelones-d: added (region canelones)\n"
     "a.toml:21: availability_zones[3].name: warning: canelones-d has no entry "
     "VM: cut off, it serves nothing\n"},
    {"address = \"127.0.2.1\"\nhas_disk = true", "address = \"127.0.2.1\"",
     "entry VM entry-b: voter true -> false\n"
     "entry VM entry-c1: voter true -> false\n"
     "a.toml:21: entry_vms: warning: 1 voter: the loss of its VM stops "
     "non-idempotent requests and changes of configuration; three entry VMs "
     "with disks outlive the loss of one\n"},
};

struct VoterCase {
  // One letter a VM: its availability zone; upper case has a disk.
  const char *m_Vms;
  // Indexes of the VMs that vote now, and that shall vote.
  std::set<std::size_t> m_Now;
  std::set<std::size_t> m_Expected;
};

const VoterCase VoterCases[] = {
    {"a", {}, {}},
    {"A", {}, {0}},
    {"AB", {}, {0}},
    {"ABC", {}, {0, 1, 2}},
    {"ABCC", {}, {0, 1, 2}},
    {"AABC", {}, {0, 2, 3}},
    {"AABB", {}, {0, 1, 2}},
    {"abC", {}, {2}},
    {"AaBCc", {}, {0, 2, 3}},
    {"ABCD", {}, {0, 1, 2}},
    {"ABCDE", {}, {0, 1, 2, 3, 4}},
    {"AABBCCDDEEFF", {}, {0, 2, 4, 6, 8}},
    // Voters keep their vote, unless the spread asks for another one.
    {"ABCD", {1, 2, 3}, {1, 2, 3}},
    {"AABC", {1, 2, 3}, {1, 2, 3}},
    {"AABC", {0, 1, 2}, {0, 2, 3}},
    {"aBCD", {0, 1, 2}, {1, 2, 3}},
};

std::set<std::size_t> votersOf(const VoterCase &Row) {
  schema::Questionnaire Answers;
  schema::Configuration Present;
  const std::string_view Vms = Row.m_Vms;
  for (std::size_t I = 0; I < Vms.size(); ++I) {
    const std::string Name = "vm-" + std::to_string(I);
    auto &Vm = *Answers.add_entry_vms();
    Vm.set_name(Name);
    Vm.set_availability_zone(
        std::string(1, static_cast<char>(std::tolower(Vms[I]))));
    Vm.set_has_disk(std::isupper(Vms[I]) != 0);
    auto &Now = *Present.add_entry_vms();
    Now.set_name(Name);
    Now.set_voter(Row.m_Now.contains(I));
  }
  std::set<std::size_t> Voters;
  for (const std::string &Name : chooseVoters(Answers, Present))
    Voters.insert(std::stoul(Name.substr(3)));
  return Voters;
}

} // namespace

TEST_CASE("each change of the answers is one that can be read") {
  const std::string Text = exampleText("los-ceibos");
  const Plan First = planText("a.toml", Text, {}).value();
  for (const ChangeCase &Row : ChangeCases) {
    const auto Next = planText("a.toml", changed(Text, Row.m_Old, Row.m_New),
                               First.m_Configuration);
    INFO(Row.m_Old << " -> " << Row.m_New);
    CHECK(linesOf(Next.value()) == Row.m_Lines);
    CHECK(Next.value().m_PlannedAgainst == 1);
    CHECK(Next.value().m_Configuration.version() == 2);
  }
}

TEST_CASE("the order of the answers is no change") {
  schema::Configuration Before;
  Before.add_customers()->set_name("one");
  Before.add_customers()->set_name("two");
  schema::Configuration After;
  After.add_customers()->set_name("two");
  After.add_customers()->set_name("one");
  After.set_version(9);
  CHECK(difference(Before, After).empty());
}

TEST_CASE("voters are odd in number and spread over availability zones") {
  for (const VoterCase &Row : VoterCases) {
    INFO(Row.m_Vms);
    CHECK(votersOf(Row) == Row.m_Expected);
  }
}

TEST_CASE("voters are spread over regions before zones") {
  schema::Questionnaire Answers;
  const char *const Zones[] = {"n1", "n2", "n3", "n4", "s1", "s2", "w1"};
  for (const std::string Zone : Zones) {
    auto &Answer = *Answers.add_availability_zones();
    Answer.set_name(Zone);
    Answer.set_region(Zone.substr(0, 1));
    auto &Vm = *Answers.add_entry_vms();
    Vm.set_name(Zone);
    Vm.set_availability_zone(Zone);
    Vm.set_has_disk(true);
  }
  CHECK(chooseVoters(Answers, {}) ==
        std::set<std::string>{"n1", "n2", "s1", "s2", "w1"});
}

TEST_CASE("the examples give settings that pass every check") {
  for (const char *Name : {"los-ceibos", "cupo-andino"}) {
    SettingsWarnings Warnings;
    const auto Answers =
        parseQuestionnaire("answers.toml", exampleText(Name), Warnings);
    REQUIRE(Answers);
    const Plan Made = plan(Answers.value(), {}).value();
    CHECK(Made.m_Warnings.empty());
    CHECK(Made.m_Configuration.version() == 1);
    const auto Files = deploymentFiles(Answers.value(), {});
    REQUIRE(Files.size() == 7);
    for (std::size_t I = 0; I < 4; ++I) {
      const auto Entry =
          parseEntrySettings(Files[I].m_Name, Files[I].m_Text, Warnings);
      INFO((Entry ? "" : toString(Entry.error())));
      REQUIRE(Entry);
      CHECK(Entry.value().data_folder().empty() == (I == 3));
    }
    const std::string Template = Files[4].m_Text;
    CHECK(parseAgentSettings("t", Template, Warnings).error().size() == 4);
    std::string Filled = changed(Template, "@NAME@", "one");
    Filled = changed(Filled, "@SERVICE@", "assistant");
    Filled = changed(Filled, "@ADDRESS@", "127.0.1.10");
    Filled = changed(Filled, "@ADDRESS@", "127.0.1.10");
    CHECK(parseAgentSettings("t", Filled, Warnings));
    CHECK(Warnings.empty());
  }
}
