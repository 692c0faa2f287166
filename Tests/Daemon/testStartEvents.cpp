// Which events a daemon writes about its own settings and token file, and
// which token it goes on with.
#include "Daemon/StartEvents.h"

#include "Events/EventLog.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace mangocart;

namespace fs = std::filesystem;

namespace {

constexpr fs::perms OwnerOnly = fs::perms::owner_read | fs::perms::owner_write;

class Folder {
public:
  Folder() {
    std::string Pattern = (fs::temp_directory_path() / "startXXXXXX").string();
    m_Path = mkdtemp(Pattern.data());
  }
  ~Folder() { fs::remove_all(m_Path); }
  std::string file(const std::string &Name) const { return m_Path / Name; }

private:
  fs::path m_Path;
};

// The log's text after the action.
template <class Action> std::string logOf(Action Act) {
  const Folder Scratch;
  EventLog Log({"entry", "vm1", "zone-a"}, Scratch.file("log"));
  Act(Log);
  Log.flush();
  std::ostringstream Text;
  Text << std::ifstream(Scratch.file("log")).rdbuf();
  return Text.str();
}

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("each deprecated setting is an event with file, line and key") {
  const SettingsWarnings Warnings = {{"e.toml", 4, "old_a", "use a instead"},
                                     {"e.toml", 7, "old_b", "use b instead"}};
  const std::string Text =
      logOf([&](EventLog &Log) { noteDeprecated(Log, Warnings); });
  CHECK(has(Text, R"("event":1004,"name":"SettingDeprecated")"));
  CHECK(has(Text, R"("file":"e.toml","line":4,"key":"old_a",)"
                  R"("detail":"use a instead"})"));
  CHECK(has(Text, R"("line":7,"key":"old_b")"));
  CHECK(logOf([](EventLog &Log) { noteDeprecated(Log, {}); }).empty());
}

TEST_CASE(
    "a token that can't be trusted is an event and lets nothing through") {
  struct Row {
    const char *m_Text;
    fs::perms m_Permissions;
    const char *m_Token;
    const char *m_Detail;
  };
  const Row Rows[] = {
      {"0123456789abcdef\n", OwnerOnly, "0123456789abcdef", ""},
      {nullptr, OwnerOnly, "", "No such file or directory"},
      {"", OwnerOnly, "", "the first line is empty"},
      {"short\n", OwnerOnly, "", "the token has 5 bytes"},
      {"0123456789abcdef\n", OwnerOnly | fs::perms::group_read, "",
       "others may read the token"},
      {"0123456789abcdef\n", OwnerOnly | fs::perms::others_read, "",
       "others may read the token"},
  };
  for (const Row &Each : Rows) {
    const Folder Scratch;
    const std::string File = Scratch.file("token");
    if (Each.m_Text != nullptr) {
      std::ofstream(File) << Each.m_Text;
      fs::permissions(File, Each.m_Permissions);
    }
    INFO(Each.m_Detail);
    const std::string Text = logOf(
        [&](EventLog &Log) { CHECK(adminToken(Log, File) == Each.m_Token); });
    const std::string Detail = Each.m_Detail;
    CHECK(has(Text, "\"event\":1007") == !Detail.empty());
    CHECK(has(Text, Detail));
    CHECK((Detail.empty() || has(Text, "\"file\":\"" + File + "\"")));
  }
}

TEST_CASE("without a token file there is no token and no event") {
  CHECK(
      logOf([](EventLog &Log) { CHECK(adminToken(Log, "").empty()); }).empty());
}
