// Status shown by the administration API: configuration version per process,
// backend servers, replicated log.
#ifndef MANGOCART_ENTRY_STATUSPAGE_H
#define MANGOCART_ENTRY_STATUSPAGE_H

#include "Entry/GossipService.h"
#include "Entry/MembershipDirectory.h"

#include <string>
#include <vector>

namespace mangocart {

struct LogMemberView {
  std::string m_Name;
  bool m_Voter = false;
};

struct LogView {
  std::string m_Leader;
  // Empty if this entry is not a member.
  std::vector<LogMemberView> m_Members;
  std::uint64_t m_Term = 0;
  std::uint64_t m_LastApplied = 0;
  std::size_t m_LedgerRecords = 0;
  std::size_t m_LedgerBytes = 0;
};

struct StatusView {
  std::string m_Entry;
  std::uint64_t m_ConfigurationVersion = 0;
  std::vector<VersionView> m_Versions;
  std::vector<MemberView> m_Members;
  LogView m_Log;
};

// Returns the status as a JSON object.
std::string toJson(const StatusView &Status);

} // namespace mangocart

#endif
