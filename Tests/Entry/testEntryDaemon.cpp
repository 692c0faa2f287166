// Tests the events that an entry logs at startup before it listens.
#include "Entry/EntryDaemon.h"

#include "Raft/RaftRunner.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace mangocart;

TEST_CASE("an entry logs deprecated settings and a missing token file") {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "entryXXXXXX").string();
  const std::filesystem::path Folder = mkdtemp(Pattern.data());
  schema::EntrySettings Settings;
  Settings.set_name("entry-a");
  Settings.set_availability_zone("zone-a");
  Settings.set_workers(1);
  Settings.set_log_file(Folder / "log");
  Settings.set_admin_token_file(Folder / "token");
  schema::PeerAddress &Self = *Settings.add_entries();
  Self.set_name("entry-a");
  { const EntryDaemon Daemon(Settings, 1, {{"e.toml", 3, "old", "use new"}}); }
  std::ostringstream Text;
  Text << std::ifstream(Folder / "log").rdbuf();
  CHECK(Text.str().find("\"event\":1004") != std::string::npos);
  CHECK(Text.str().find("\"event\":1007") != std::string::npos);
  std::filesystem::remove_all(Folder);
}
