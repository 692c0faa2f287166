// Choice among the eligible backend servers.
#include "Entry/MembershipDirectory.h"

#include "Events/EventLog.h"
#include "Peer.pb.h"

#include <algorithm>

namespace mangocart {

namespace {

BackendTarget toTarget(const Member &Record) {
  return {Record.m_BackendServer,
          Record.m_AvailabilityZone,
          {Record.m_Address, Record.m_PeerPort},
          Record.m_Incarnation};
}

std::string_view toText(MemberHealth Health) {
  switch (Health) {
  case MemberHealth::Healthy:
    return "healthy";
  case MemberHealth::Suspect:
    return "suspect";
  case MemberHealth::Lost:
    return "lost";
  }
  return "lost";
}

// Drops the candidates that the predicate marks, unless it marks all.
template <class Predicate>
void dropUnlessAll(std::vector<Candidate> &Candidates, Predicate Unwanted) {
  if (!std::all_of(Candidates.begin(), Candidates.end(), Unwanted))
    std::erase_if(Candidates, Unwanted);
}

} // namespace

MembershipDirectory::MembershipDirectory(EventLog &Events, std::uint64_t Seed)
    : m_Events(Events), m_Random(Seed) {}

std::vector<Candidate>
MembershipDirectory::usable(const ChoiceRequest &Request) const {
  std::vector<Candidate> Candidates =
      eligible(m_Table, Request.m_Service, RuntimeClock::now());
  std::erase_if(Candidates, [&](const Candidate &Each) {
    const std::string &Name = Each.m_Member.m_BackendServer;
    if (Request.m_Tried &&
        std::find(Request.m_Tried->begin(), Request.m_Tried->end(), Name) !=
            Request.m_Tried->end())
      return true;
    const auto Own = m_OwnOutstanding.find(Name);
    return Request.m_MaxOutstanding > 0 && Own != m_OwnOutstanding.end() &&
           Own->second >= Request.m_MaxOutstanding;
  });
  dropUnlessAll(Candidates,
                [](const Candidate &Each) { return Each.m_Avoided; });
  dropUnlessAll(Candidates, [&](const Candidate &Each) {
    return Each.m_Member.m_AvailabilityZone == Request.m_FailedZone;
  });
  return Candidates;
}

std::optional<BackendTarget>
MembershipDirectory::choose(const ChoiceRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::vector<Candidate> Candidates = usable(Request);
  if (Candidates.empty())
    return std::nullopt;
  const auto Load = [&](const Candidate &Each) {
    const auto Own = m_OwnOutstanding.find(Each.m_Member.m_BackendServer);
    return Own == m_OwnOutstanding.end() ? 0U : Own->second;
  };
  const Candidate &First =
      Candidates[uniform(m_Random, 0, Candidates.size() - 1)];
  const Candidate &Second =
      Candidates[uniform(m_Random, 0, Candidates.size() - 1)];
  return toTarget((Load(Second) < Load(First) ? Second : First).m_Member);
}

void MembershipDirectory::callStarted(const BackendTarget &Target,
                                      std::uint64_t /*PrefixHash*/) {
  const std::lock_guard Lock(m_Mutex);
  ++m_OwnOutstanding[Target.m_Name];
}

void MembershipDirectory::callEnded(const BackendTarget &Target,
                                    CallResult Result, Duration /*FirstByte*/) {
  const std::lock_guard Lock(m_Mutex);
  const auto Own = m_OwnOutstanding.find(Target.m_Name);
  if (Own != m_OwnOutstanding.end() && --Own->second == 0)
    m_OwnOutstanding.erase(Own);
  if (Result == CallResult::Broken)
    noteCallFailed(m_Table, Target.m_Name, Target.m_Incarnation,
                   RuntimeClock::now());
  else if (Result == CallResult::Answered)
    noteCallSucceeded(m_Table, Target.m_Name, Target.m_Incarnation);
}

std::uint64_t
MembershipDirectory::announced(const schema::Announcement &Message) {
  const TimePoint Now = RuntimeClock::now();
  mergeRecord(memberFromSchema(Message, Duration::zero(), Now),
              Duration::zero());
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, Message.backend_server());
  return Known ? Known->m_Member.m_Incarnation : 0;
}

void MembershipDirectory::heard(const schema::MemberRecord &Record) {
  const Duration HeardAgo = std::chrono::milliseconds(Record.heard_ms_ago());
  mergeRecord(
      memberFromSchema(Record.announcement(), HeardAgo, RuntimeClock::now()),
      HeardAgo);
}

void MembershipDirectory::mergeRecord(const Member &Record, Duration HeardAgo) {
  MergeResult Result;
  {
    const std::lock_guard Lock(m_Mutex);
    Result = merge(m_Table, Record, HeardAgo, RuntimeClock::now());
  }
  if (Result == MergeResult::Joined)
    m_Events.write(Event::BackendServerJoined,
                   {{"backend_server", Record.m_BackendServer},
                    {"service", Record.m_Service},
                    {"incarnation", Record.m_Incarnation}});
  else if (Result == MergeResult::StateChanged)
    m_Events.write(Event::BackendServerState,
                   {{"backend_server", Record.m_BackendServer},
                    {"state", static_cast<unsigned>(Record.m_State)},
                    {"incarnation", Record.m_Incarnation}});
}

DifferenceBatch MembershipDirectory::differences(std::uint64_t Since,
                                                 std::size_t MaxRecords) {
  const std::lock_guard Lock(m_Mutex);
  return differencesSince(m_Table, Since, MaxRecords, RuntimeClock::now());
}

void MembershipDirectory::sweepMembers() {
  std::vector<HealthChange> Changes;
  {
    const std::lock_guard Lock(m_Mutex);
    Changes = sweep(m_Table, RuntimeClock::now());
  }
  for (const HealthChange &Change : Changes)
    m_Events.write(Event::BackendServerHealth,
                   {{"backend_server", Change.m_BackendServer},
                    {"from", toText(Change.m_From)},
                    {"to", toText(Change.m_To)}});
}

std::vector<MemberView> MembershipDirectory::members() const {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  std::vector<MemberView> Views;
  for (const auto &[Name, Entry] : m_Table.m_Entries) {
    const auto Own = m_OwnOutstanding.find(Name);
    Views.push_back({Entry.m_Member, health(m_Table, Entry, Now),
                     Own == m_OwnOutstanding.end() ? 0U : Own->second});
  }
  return Views;
}

std::optional<BackendTarget>
MembershipDirectory::locate(std::string_view BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, BackendServer);
  if (!Known)
    return std::nullopt;
  return toTarget(Known->m_Member);
}

} // namespace mangocart
