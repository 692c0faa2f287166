#include "Entry/StatusPage.h"

#include <boost/json.hpp>

namespace mangocart {

namespace {

const char *toText(MemberState State) {
  switch (State) {
  case MemberState::Serving:
    return "serving";
  case MemberState::Unavailable:
    return "unavailable";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Left:
    return "left";
  }
  return "left";
}

boost::json::object toJson(const VersionView &View) {
  boost::json::object Json;
  Json["process"] = View.m_Process;
  Json["role"] = View.m_Role;
  Json["configuration_version"] = View.m_Version;
  Json["heard_ms_ago"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(View.m_HeardAgo)
          .count();
  return Json;
}

boost::json::object toJson(const MemberView &View) {
  boost::json::object Json;
  Json["backend_server"] = View.m_Member.m_BackendServer;
  Json["service"] = View.m_Member.m_Service;
  Json["availability_zone"] = View.m_Member.m_AvailabilityZone;
  Json["state"] = toText(View.m_Member.m_State);
  Json["health"] = toString(View.m_Health);
  Json["incarnation"] = View.m_Member.m_Incarnation;
  Json["outstanding"] = View.m_Member.m_Outstanding;
  Json["reported_load"] = View.m_Member.m_ReportedLoad;
  return Json;
}

boost::json::object toJson(const LogView &View) {
  boost::json::object Json;
  Json["leader"] = View.m_Leader;
  boost::json::array Members;
  for (const LogMemberView &Member : View.m_Members)
    Members.push_back({{"name", Member.m_Name}, {"voter", Member.m_Voter}});
  Json["members"] = std::move(Members);
  Json["term"] = View.m_Term;
  Json["last_applied"] = View.m_LastApplied;
  Json["ledger_records"] = View.m_LedgerRecords;
  Json["ledger_bytes"] = View.m_LedgerBytes;
  return Json;
}

} // namespace

std::string toJson(const StatusView &Status) {
  boost::json::object Json;
  Json["entry"] = Status.m_Entry;
  Json["configuration_version"] = Status.m_ConfigurationVersion;
  boost::json::array Processes;
  for (const VersionView &View : Status.m_Versions)
    Processes.push_back(toJson(View));
  Json["processes"] = std::move(Processes);
  boost::json::array Servers;
  for (const MemberView &View : Status.m_Members)
    Servers.push_back(toJson(View));
  Json["backend_servers"] = std::move(Servers);
  Json["log"] = toJson(Status.m_Log);
  return boost::json::serialize(Json);
}

} // namespace mangocart
