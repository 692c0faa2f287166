// Tables of mistakes: a text that is in order, one change to it, and the errors
// that the change must give, word for word with file, line and key.
#include "Settings/SettingsReader.h"

#include "Options.pb.h"
#include "Questionnaire.pb.h"
#include "Settings.pb.h"
#include "Settings/MessageReader.h"
#include "Settings/SettingsReference.h"

#include <catch2/catch.hpp>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>

using namespace mangocart;

namespace {

struct Mistake {
  const char *m_Kind;
  const char *m_Old;
  const char *m_New;
  const char *m_Errors;
};

std::string baseText(const std::string &Kind) {
  return readTextFile(std::string(MANGOCART_SOURCE_ROOT) +
                      "/Tests/Settings/Cases/" + Kind + ".toml")
      .value();
}

template <class T> std::string errorsOf(const Result<T, SettingsErrors> &Read) {
  return Read ? std::string() : toString(Read.error());
}

std::string errorsOf(const std::string &Kind, const std::string &Text) {
  SettingsWarnings Warnings;
  if (Kind == "entry")
    return errorsOf(parseEntrySettings("f.toml", Text, Warnings));
  if (Kind == "agent")
    return errorsOf(parseAgentSettings("f.toml", Text, Warnings));
  return errorsOf(parseQuestionnaire("f.toml", Text, Warnings));
}

std::string changed(std::string Text, const std::string &Old,
                    const std::string &New) {
  const std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

const Mistake Mistakes[] = {
    {"entry", "workers", "wrokers",
     "f.toml:8: wrokers: found an unknown key; expected a known key, perhaps "
     "workers; rename or remove the key\n"},
    {"entry", "workers = 2", "colour = 2",
     "f.toml:8: colour: found an unknown key; expected one of name, "
     "availability_zone, address, caller_port, admin_port, peer_port, "
     "data_folder, admin_token_file, log_file, workers, entries, "
     "max_connections, max_header_bytes, max_body_bytes, "
     "request_read_timeout_ms, drain_accept_ms, drain_max_ms; rename or remove "
     "the key\n"},
    {"entry", "caller_port = 8080", "caller_port = \"8080\"",
     "f.toml:4: caller_port: found \"8080\"; expected a whole number from 1 to "
     "65535; change the value (TCP port for callers.)\n"},
    {"entry", "caller_port = 8080", "caller_port = 70000",
     "f.toml:4: caller_port: found 70000 (a whole number); expected a whole "
     "number from 1 to 65535; change the value (TCP port for callers.)\n"},
    {"entry", "caller_port = 8080", "caller_port = -1",
     "f.toml:4: caller_port: found -1 (a whole number); expected a whole "
     "number from 1 to 65535; change the value (TCP port for callers.)\n"},
    {"entry", "workers = 2", "workers = 2.5",
     "f.toml:8: workers: found 2.5 (a number with a fraction); expected a "
     "whole number from 1 to 64; change the value (Worker threads for callers "
     "and other processes.)\n"},
    {"entry", "workers = 2", "workers = 0\nmax_connections = 0",
     "f.toml:8: workers: found 0 (a whole number); expected a whole number "
     "from 1 to 64; change the value (Worker threads for callers and other "
     "processes.)\n"
     "f.toml:9: max_connections: found 0 (a whole number); expected a whole "
     "number from 1 to 100000; change the value (Callers' connections held at "
     "once.)\n"},
    {"entry", "caller_port = 8080\n", "",
     "f.toml:1: caller_port: found no such key; expected a whole number from 1 "
     "to 65535; add the key (TCP port for callers.)\n"},
    {"entry", "\"127.24.0.1\"", "\"localhost\"",
     "f.toml:3: address: found \"localhost\"; expected text: an IPv4 or IPv6 "
     "number of one VM; change the value (IP number that this process listens "
     "on.)\n"},
    {"entry", "\"127.24.0.1\"", "\"0.0.0.0\"",
     "f.toml:3: address: found \"0.0.0.0\"; expected text: an IPv4 or IPv6 "
     "number of one VM; change the value (IP number that this process listens "
     "on.)\n"},
    {"entry", "\"entry-a\"", "\"Entry A\"",
     "f.toml:1: name: found \"Entry A\"; expected text: a name of lower-case "
     "letters, digits and hyphens, at most 63, that starts with a letter or "
     "digit; change the value (Name of this entry VM, unique in the "
     "deployment.)\n"},
    {"entry", "\"/var/lib/mangocart\"", "\"data\"",
     "f.toml:7: data_folder: found \"data\"; expected text: an absolute path "
     "of a file or folder; change the value (Folder of the state that survives "
     "a restart; absent on a VM without a disk.)\n"},
    {"entry", "admin_port = 8081", "admin_port = 8080",
     "f.toml:5: admin_port: found 127.24.0.1 port 8080, which caller_port on "
     "line 4 has already; expected an address and port of its own; change one "
     "of them\n"},
    {"entry", "\"entry-a\"", "\"entry-c\"",
     "f.toml:10: entries: found no \"entry-c\"; expected all entry VMs, this "
     "one included; add this VM to entries, or mend its name\n"
     "f.toml:13: entries[0].peer_port: found 127.24.0.1 port 8082, which "
     "peer_port on line 6 has already; expected an address and port of its "
     "own; change one of them\n"},
    {"entry", "\"127.24.0.1\"", "\"127.24.0.9\"",
     "f.toml:12: entries[0].address: found 127.24.0.1; expected 127.24.0.9, as "
     "address says on line 3; make this VM's own settings and its place in "
     "entries the same\n"},
    {"entry", "\"127.24.0.2\"", "\"127.24.0.1\"",
     "f.toml:20: entries[1].peer_port: found 127.24.0.1 port 8082, which "
     "peer_port on line 6 has already; expected an address and port of its "
     "own; change one of them\n"},
    {"entry", "\"entry-b\"", "\"entry-a\"",
     "f.toml:18: entries[1].name: found \"entry-a\", which line 11 has "
     "already; expected a name that is unique in entries; rename one of "
     "them\n"},
    {"entry", "data_folder", "log_file",
     "f.toml:15: entries[0].voter: found a voter without data_folder; expected "
     "a data folder for each voter; add data_folder, or set voter = false\n"},
    {"entry", "voter = true", "voter = false",
     "f.toml:10: entries: found 0 voters; expected an odd number of voters, 1, "
     "3 or 5; set voter = true on one entry VM with a disk in each of three "
     "availability zones\n"},
    {"entry", "\"zone-b\"\n", "\"zone-b\"\nvoter = true\n",
     "f.toml:10: entries: found 2 voters; expected an odd number of voters, 1, "
     "3 or 5; set voter = true on one entry VM with a disk in each of three "
     "availability zones\n"},
    {"entry", "workers = 2", "workers = 2\nworkers = 3",
     "f.toml:9: TOML: found a syntax error (Error while parsing key-value "
     "pair: cannot redefine existing integer 'workers'); expected a text in "
     "TOML 1.0; mend the syntax\n"},
    {"entry", "workers = 2", "workers = ",
     "f.toml:8: TOML: found a syntax error (Error while parsing key-value "
     "pair: expected value, saw '\\n'); expected a text in TOML 1.0; mend the "
     "syntax\n"},
    {"entry", "[[entries]]", "[entries]",
     "f.toml:17: TOML: found a syntax error (Error while parsing table header: "
     "cannot redefine existing table 'entries' as array-of-tables); expected a "
     "text in TOML 1.0; mend the syntax\n"},
    {"agent", "entries = [", "entries = []\nworkers = [",
     "f.toml:9: entries: found an empty list; expected a list, each a table; "
     "add at least one (Entry VMs to which the backend server is announced.)\n"
     "f.toml:10: workers: found a list; expected a whole number from 1 to 64; "
     "change the value (Worker threads.)\n"},
    {"agent", "{ name", "3, { name",
     "f.toml:10: entries[0]: found 3 (a whole number); expected a table; "
     "change the value (Entry VMs to which the backend server is "
     "announced.)\n"},
    {"agent", "backend_port = 9000", "backend_port = 8082",
     "f.toml:8: backend_port: found 127.24.1.1 port 8082, which peer_port on "
     "line 5 has already; expected an address and port of its own; change one "
     "of them\n"},
    {"answers", "\"plain\"", "\"plane\"",
     "f.toml:26: services[1].kind: found \"plane\"; expected text: "
     "engine-group or plain; change the value (Kind of service: engine-group "
     "or plain.)\n"},
    {"answers", "\"step-skew\"", "true",
     "f.toml:3: weighs_more: found true (true or false); expected text: "
     "step-skew or rebalancing-cost; change the value (What the deployment "
     "weighs more: step-skew or rebalancing-cost.)\n"},
    {"answers", "policy_version = 1", "policy_version = 2",
     "f.toml:1: policy_version: found 2 (a whole number); expected a whole "
     "number from 1 to 1; change the value (Version of the questionnaire that "
     "the answers are written for.)\n"},
    {"answers", "zone = \"zone-a\"", "zone = \"zone-z\"",
     "f.toml:11: entry_vms[0].availability_zone: found \"zone-z\"; expected "
     "one of zone-a; mend the name, or add the availability zone\n"},
    {"answers", "has_disk = true", "caller_port = 8081",
     "f.toml:9: entry_vms[0].admin_port: found 127.24.0.1 port 8081, which "
     "entry_vms[0].caller_port on line 13 has already; expected an address and "
     "port of its own; change one of them\n"
     "f.toml:9: entry_vms: found no entry VM with a disk; expected at least "
     "one, and three in three availability zones to outlive the loss of one; "
     "set has_disk = true where there is a disk\n"},
    {"answers", "\"/bookings\"", "\"/v1\"",
     "f.toml:29: services[1].routes[0].path: found \"/v1\", which overlaps "
     "\"/v1/drafts\" of service assistant on line 20; expected a path prefix "
     "that no other service answers; change one of the paths\n"},
    {"answers", "\"/bookings\"", "\"bookings/\"",
     "f.toml:29: services[1].routes[0].path: found \"bookings/\"; expected "
     "text: a path prefix that starts with / and has no trailing /, no // and "
     "none of ? # %; change the value (Path prefix of the callers' "
     "requests.)\n"},
    {"answers", "\"desk\"", "\"assistant\"",
     "f.toml:25: services[1].name: found \"assistant\", which line 16 has "
     "already; expected a name that is unique in services; rename one of "
     "them\n"},
    {"answers", "\"desk\"", "\"desk\"\nrouting_policy = \"best\"",
     "f.toml:26: services[1].routing_policy: found \"best\"; expected text: "
     "score, round-robin, least-outstanding or random; change the value (How a "
     "backend server is chosen: score, round-robin, least-outstanding or "
     "random.)\n"},
};

// A message type that stands in no committed schema: `old_limit` is
// deprecated in favour of `limit`.
const google::protobuf::Descriptor &
deprecatingType(google::protobuf::DescriptorPool &Pool) {
  google::protobuf::FileDescriptorProto File;
  File.set_name("deprecating.proto");
  File.add_dependency("Options.proto");
  auto *Type = File.add_message_type();
  Type->set_name("Deprecating");
  int Number = 1;
  for (const char *Name : {"limit", "old_limit"}) {
    auto *Field = Type->add_field();
    Field->set_name(Name);
    Field->set_number(Number++);
    Field->set_type(google::protobuf::FieldDescriptorProto::TYPE_UINT32);
    Field->set_label(google::protobuf::FieldDescriptorProto::LABEL_OPTIONAL);
  }
  Type->mutable_field(0)
      ->mutable_options()
      ->MutableExtension(schema::rule)
      ->set_required(true);
  Type->mutable_field(1)
      ->mutable_options()
      ->MutableExtension(schema::rule)
      ->set_replaced_by("limit");
  return *Pool.BuildFile(File)->message_type(0);
}

} // namespace

TEST_CASE("each mistake is named with file, line, key and remedy") {
  for (const Mistake &Row : Mistakes) {
    const std::string Text =
        changed(baseText(Row.m_Kind), Row.m_Old, Row.m_New);
    INFO(Row.m_Kind << ": " << Row.m_Old << " -> " << Row.m_New);
    CHECK(errorsOf(Row.m_Kind, Text) == Row.m_Errors);
  }
}

TEST_CASE("texts in order give no error, and absent keys their defaults") {
  for (const char *Kind : {"entry", "agent", "answers"})
    CHECK(errorsOf(Kind, baseText(Kind)).empty());
  SettingsWarnings Warnings;
  const auto Settings =
      parseEntrySettings("f.toml", baseText("entry"), Warnings).value();
  CHECK(Settings.workers() == 2);
  CHECK(Settings.max_connections() == 4096);
  CHECK(Settings.entries(0).voter());
  CHECK_FALSE(Settings.entries(1).voter());
  const auto Answers =
      parseQuestionnaire("f.toml", baseText("answers"), Warnings).value();
  CHECK(Answers.services(1).routing_policy() == "score");
  CHECK(Warnings.empty());
}

TEST_CASE("a file that can't be read is named with the system's reason") {
  SettingsWarnings Warnings;
  CHECK(errorsOf(readEntrySettings("/nowhere/e.toml", Warnings)) ==
        "/nowhere/e.toml: found No such file or directory; expected a file "
        "that can be read; check the path and the file's permissions\n");
  CHECK(errorsOf(readEntrySettings("/", Warnings)).find("Is a directory") !=
        std::string::npos);
}

TEST_CASE("a deprecated key warns and still works") {
  google::protobuf::DescriptorPool Pool(
      google::protobuf::DescriptorPool::generated_pool());
  const auto &Type = deprecatingType(Pool);
  google::protobuf::DynamicMessageFactory Factory;
  const std::unique_ptr<google::protobuf::Message> Message(
      Factory.GetPrototype(&Type)->New());
  const ReadFindings Old = readMessage("f.toml", "\nold_limit = 7", *Message);
  CHECK(Old.m_Errors.empty());
  REQUIRE(Old.m_Warnings.size() == 1);
  CHECK(toString(Old.m_Warnings[0]) ==
        "f.toml:2: old_limit: warning: deprecated key; use limit instead");
  CHECK(Message->GetReflection()->GetUInt32(*Message, Type.field(0)) == 7);
  const ReadFindings Both =
      readMessage("f.toml", "limit = 1\nold_limit = 7", *Message);
  CHECK(toString(Both.m_Errors) ==
        "f.toml:2: old_limit: found both old_limit and limit; expected only "
        "limit; remove the old key\n");
}

TEST_CASE("the page of a deprecated key names its replacement") {
  google::protobuf::DescriptorPool Pool(
      google::protobuf::DescriptorPool::generated_pool());
  const std::string Pages = settingsReference({&deprecatingType(Pool)});
  const std::size_t Old = Pages.find("Deprecating/old_limit\n");
  REQUIRE(Old != std::string::npos);
  CHECK(Pages.find("| deprecated for | limit |\n", Old) != std::string::npos);
  // Only the deprecated one, which comes last.
  CHECK(Pages.find("deprecated for") > Old);
}
