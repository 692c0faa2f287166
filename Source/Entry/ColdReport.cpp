// Goes through the serving members of the services with a cold rate.
#include "Entry/ColdReport.h"

namespace mangocart {

namespace {

// The query for a member that is cold; no value for all others.
std::optional<ColdQuery> coldQuery(const ColdAllowance &Cold,
                                   const Member &Record, TimePoint Now) {
  const ColdQuery Query{Record.m_BackendServer, Record.m_Service,
                        Record.m_ColdUntil};
  if (Record.m_State != MemberState::Serving ||
      !Cold.m_Rates.contains(Record.m_Service) || !isCold(Cold, Query, Now))
    return std::nullopt;
  return Query;
}

} // namespace

std::vector<ColdChange> coldChanges(const MembershipTable &Table,
                                    const ColdAllowance &Cold,
                                    std::set<std::string> &Reported,
                                    TimePoint Now) {
  std::vector<ColdChange> Changes;
  std::set<std::string> ColdNow;
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const auto Query = coldQuery(Cold, Entry.m_Member, Now);
    if (!Query)
      continue;
    ColdNow.insert(Name);
    if (!Reported.contains(Name))
      Changes.push_back({Name, true, ownPermits(Cold, *Query, Now),
                         coldPermits(Cold.m_Options,
                                     Cold.m_Rates.at(Entry.m_Member.m_Service))
                             .m_Count});
  }
  for (const std::string &Name : Reported)
    if (!ColdNow.contains(Name))
      Changes.push_back({Name});
  Reported = std::move(ColdNow);
  return Changes;
}

std::optional<TimePoint> nextColdPermit(const MembershipTable &Table,
                                        const ColdAllowance &Cold,
                                        TimePoint Now) {
  std::optional<TimePoint> First;
  if (Cold.m_Rates.empty())
    return First;
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const auto Query = coldQuery(Cold, Entry.m_Member, Now);
    const auto Next =
        Query ? nextAllowed(Cold, *Query, Now) : std::optional<TimePoint>();
    if (Next && *Next > Now && (!First || *Next < *First))
      First = Next;
  }
  return First;
}

} // namespace mangocart
