// Deprecation events and metrics of an agent before it listens.
#include "Agent/AgentDaemon.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace mangocart;

TEST_CASE("an agent logs an event for each deprecated setting") {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "agentXXXXXX").string();
  const std::filesystem::path Folder = mkdtemp(Pattern.data());
  schema::AgentSettings Settings;
  Settings.set_name("assistant-1");
  Settings.set_workers(1);
  Settings.set_log_file(Folder / "log");
  { const AgentDaemon Daemon(Settings, 1, {{"a.toml", 3, "old", "use new"}}); }
  std::ostringstream Text;
  Text << std::ifstream(Folder / "log").rdbuf();
  CHECK(Text.str().find("\"event\":1004") != std::string::npos);
  std::filesystem::remove_all(Folder);
}

TEST_CASE("the metrics page exposes all counters from the start") {
  MetricRegistry Registry;
  const AgentCounters Counters(Registry);
  addMetricSources(Registry, {[] { return 4U; }, [] { return 7U; },
                              [] { return 100U; }, [] { return 200U; }});
  Counters.m_Calls.add(3);
  Counters.m_Failed.add();
  const std::string Page = Registry.expose(TimePoint());
  for (const char *Line : {"# TYPE mangocart_agent_calls_total counter\n",
                           "\nmangocart_agent_calls_total 3\n",
                           "\nmangocart_agent_refused_total 0\n",
                           "\nmangocart_agent_broken_total 1\n",
                           "# TYPE mangocart_agent_outstanding gauge\n",
                           "\nmangocart_agent_outstanding 4\n",
                           "\nmangocart_agent_configuration_version 7\n",
                           "\nmangocart_peer_bytes_sent_total 100\n",
                           "\nmangocart_peer_bytes_received_total 200\n"}) {
    INFO(Line);
    CHECK(Page.find(Line) != std::string::npos);
  }
}
