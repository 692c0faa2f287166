// What reaches the log, when it is flushed, and what a dropped event costs.
#include "Events/EventLog.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

using namespace mangocart;

namespace {

class LogFile {
public:
  LogFile() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "eventlogXXXXXX").string();
    m_Folder = mkdtemp(Pattern.data());
  }
  ~LogFile() { std::filesystem::remove_all(m_Folder); }
  std::string path() const { return (m_Folder / "events.log").string(); }
  std::string text() const {
    std::ostringstream Text;
    Text << std::ifstream(path()).rdbuf();
    return Text.str();
  }

private:
  std::filesystem::path m_Folder;
};

const EventSource Source{"entry", "vm1", "zone-a"};

} // namespace

TEST_CASE("a line has the source, the number and the fields") {
  const LogFile File;
  EventLog Log(Source, File.path());
  Log.write(Event::ListenFailed, {{"port", 80}, {"reason", "in \"use\""}});
  const std::string Text = File.text();
  CHECK(Text.find(R"("event":1005,"name":"ListenFailed","level":"error",)"
                  R"("process":"entry","machine":"vm1","zone":"zone-a",)"
                  R"("port":80,"reason":"in \"use\""})") != std::string::npos);
}

TEST_CASE("info lines are buffered, warnings push them out") {
  const LogFile File;
  EventLog Log(Source, File.path());
  Log.write(Event::SettingDeprecated);
  CHECK(File.text().find("SettingDeprecated") != std::string::npos);
  Log.write(Event::ProcessStarted);
  Log.write(Event::ListenFailed);
  CHECK(File.text().find("ProcessStarted") < File.text().find("ListenFailed"));
}

TEST_CASE("a quiet process still shows its last info line") {
  const LogFile File;
  EventLog Log(Source, File.path());
  Log.write(Event::ProcessStarted);
  // Waits for the flusher however slow the machine is; without a flusher the
  // loop ends in a failure.
  for (int Round = 0; Round < 3000 && File.text().empty(); ++Round)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK_FALSE(File.text().empty());
}

TEST_CASE("events below the least level are dropped") {
  const LogFile File;
  {
    EventLog Log(Source, File.path(), EventLevel::Warn);
    CHECK_FALSE(Log.enabled(Event::ProcessStarted));
    CHECK(Log.enabled(Event::SettingDeprecated));
    Log.write(Event::ProcessStarted);
  }
  CHECK(File.text().empty());
}

TEST_CASE("the catalogue lists each event once with its name and level") {
  std::set<Event> Seen;
  for (const EventDescription &Each : eventCatalogue()) {
    CHECK(Seen.insert(Each.m_Event).second);
    CHECK(nameOf(Each.m_Event) == Each.m_Name);
    CHECK(levelOf(Each.m_Event) == Each.m_Level);
    CHECK_FALSE(Each.m_Summary.empty());
  }
  CHECK(nameOf(static_cast<Event>(1)) == "Unnumbered");
}
