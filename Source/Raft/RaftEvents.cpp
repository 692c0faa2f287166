// Event names and fields.
#include "Raft/RaftEvents.h"

#include "Events/EventLog.h"
#include "Raft/RaftStorage.h"

namespace mangocart {

namespace {

constexpr Duration DiskFullReportInterval = std::chrono::seconds(5);

std::string_view nameOf(RaftRole Role) {
  switch (Role) {
  case RaftRole::Follower:
    return "follower";
  case RaftRole::PreCandidate:
    return "pre-candidate";
  case RaftRole::Candidate:
    return "candidate";
  case RaftRole::Leader:
    return "leader";
  }
  return "";
}

std::string toText(const RaftMembers &Members) {
  std::string Text;
  for (const RaftMember &M : Members) {
    Text += Text.empty() ? "" : " ";
    Text += M.m_Id.m_Name + "/" + M.m_Id.m_StorageId;
    Text += M.m_Voter ? "" : "(learner)";
  }
  return Text;
}

} // namespace

void reportRole(EventLog *Events, const RoleChanged &Change) {
  if (Events)
    Events->write(Event::RaftRoleChanged,
                  {{"role", nameOf(Change.m_Role)}, {"term", Change.m_Term}});
}

void reportMembers(EventLog *Events, const RaftMembers &Members) {
  if (Events)
    Events->write(Event::RaftMembersChanged, {{"members", toText(Members)}});
}

void DiskFullReporter::report(EventLog *Events, const std::string &DataFolder) {
  const TimePoint Now = RuntimeClock::now();
  if (m_LastReport && Now - *m_LastReport < DiskFullReportInterval)
    return;
  m_LastReport = Now;
  if (Events)
    Events->write(Event::DiskFull, {{"folder", DataFolder}});
}

void reportFailure(EventLog *Events, const StorageError &Error) {
  if (Events)
    Events->write(Event::RaftStorageFailed, {{"file", Error.m_File},
                                             {"offset", Error.m_Offset},
                                             {"reason", Error.m_Message}});
}

} // namespace mangocart
