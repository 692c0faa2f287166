// Merging, health and deltas of the table of backend servers.
#include "Membership/MembershipTable.h"

#include "Peer.pb.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace mangocart {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Stages of an incarnation, which never returns to an earlier stage.
int stageOf(MemberState State) {
  switch (State) {
  case MemberState::Serving:
  case MemberState::Unavailable:
    return 0;
  case MemberState::Leaving:
    return 1;
  case MemberState::Left:
    return 2;
  }
  return 0;
}

auto mergeOrder(const Member &Record) {
  return std::make_tuple(Record.m_Incarnation, stageOf(Record.m_State),
                         Record.m_Counter);
}

MemberState stateFromSchema(schema::Announcement::State State) {
  switch (State) {
  case schema::Announcement::SERVING:
    return MemberState::Serving;
  case schema::Announcement::LEAVING:
    return MemberState::Leaving;
  case schema::Announcement::LEFT:
    return MemberState::Left;
  default:
    return MemberState::Unavailable;
  }
}

schema::Announcement::State stateToSchema(MemberState State) {
  switch (State) {
  case MemberState::Serving:
    return schema::Announcement::SERVING;
  case MemberState::Unavailable:
    return schema::Announcement::UNAVAILABLE;
  case MemberState::Leaving:
    return schema::Announcement::LEAVING;
  case MemberState::Left:
    return schema::Announcement::LEFT;
  }
  return schema::Announcement::STATE_UNSPECIFIED;
}

MemberHealth heartbeatHealth(const MembershipLimits &Limits,
                             Duration HeartbeatAge) {
  if (HeartbeatAge >= Limits.m_LostAfter)
    return MemberHealth::Lost;
  if (HeartbeatAge >= Limits.m_SuspectAfter)
    return MemberHealth::Suspect;
  return MemberHealth::Healthy;
}

std::uint32_t zoneIndex(MembershipTable &Table, const std::string &Name) {
  const auto Found =
      std::find(Table.m_Zones.begin(), Table.m_Zones.end(), Name);
  const auto Number = static_cast<std::uint32_t>(Found - Table.m_Zones.begin());
  if (Found == Table.m_Zones.end())
    Table.m_Zones.push_back(Name);
  return Number;
}

// Number of servers of a zone with a heartbeat within the isolation window, and
// how many of them are no longer healthy by heartbeat.
struct ZoneCount {
  std::size_t m_Counted = 0;
  std::size_t m_Overdue = 0;

  bool isIsolationSuspected() const { return m_Overdue * 2 > m_Counted; }
};

std::vector<ZoneCount> countZones(const MembershipTable &Table, TimePoint Now) {
  std::vector<ZoneCount> Zones(Table.m_Zones.size());
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const Duration Age = heartbeatAge(Entry, Now);
    if (Entry.m_Member.m_State != MemberState::Serving ||
        Age >= Table.m_Limits.m_IsolationWindow)
      continue;
    ZoneCount &Zone = Zones[Entry.m_Zone];
    ++Zone.m_Counted;
    if (Age >= Table.m_Limits.m_SuspectAfter)
      ++Zone.m_Overdue;
  }
  return Zones;
}

struct GroupState {
  std::uint64_t m_Epoch = 0;
  bool m_Broken = false;
};
using GroupStates = std::map<std::string_view, GroupState>;

// State of each group as reported by its ranks in its newest epoch.
GroupStates groupStates(const MembershipTable &Table) {
  GroupStates Groups;
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const Member &Rank = Entry.m_Member;
    if (Rank.m_Group.empty() || Rank.m_State == MemberState::Left)
      continue;
    GroupState &Group = Groups[Rank.m_Group];
    if (Rank.m_GroupEpoch > Group.m_Epoch)
      Group = {Rank.m_GroupEpoch, Rank.m_GroupBroken};
    else if (Rank.m_GroupEpoch == Group.m_Epoch)
      Group.m_Broken = Group.m_Broken || Rank.m_GroupBroken;
  }
  return Groups;
}

void markChanged(MembershipTable &Table, TableEntry &Entry, TimePoint Now) {
  Entry.m_ChangeNumber = ++Table.m_LastChangeNumber;
  Entry.m_ChangedAt = Now;
}

// A refresh is propagated if the last propagated one is old enough, or if it
// changes more than the counter and the load.
bool shouldPropagateRefresh(const MembershipTable &Table,
                            const TableEntry &Entry, const Member &Record,
                            TimePoint Now) {
  if (Now - Entry.m_ChangedAt >= Table.m_Limits.m_RefreshInterval)
    return true;
  const Member &Known = Entry.m_Member;
  return Known.m_ConfigurationVersion != Record.m_ConfigurationVersion ||
         Known.m_Address != Record.m_Address ||
         Known.m_PeerPort != Record.m_PeerPort;
}

// Whether the server has become cold again, stays cold for longer, or is no
// longer cold before the announced time. A countdown is no change, and neither
// is its end.
bool hasColdChanged(const MembershipLimits &Limits, const Member &Known,
                    const Member &Record, TimePoint Now) {
  return Record.m_ColdUntil > Known.m_ColdUntil + Limits.m_ColdEndTolerance ||
         std::max(Record.m_ColdUntil, Now) + Limits.m_ColdEndTolerance <
             Known.m_ColdUntil;
}

bool lacksIncarnation(const Member &Record) {
  return Record.m_State == MemberState::Left && Record.m_Incarnation == 0;
}

// Of a record that names an incarnation and one of a departure that doesn't,
// returns the one to merge; no value if the departure was that of an earlier
// incarnation. Joined and Departed are the times of their heartbeats.
std::optional<Member> departedMember(const Member &Named, TimePoint Joined,
                                     const Member &Departure,
                                     TimePoint Departed) {
  if (Joined > Departed)
    return std::nullopt;
  Member Result = Named;
  Result.m_State = MemberState::Left;
  Result.m_Counter = std::max(Named.m_Counter, Departure.m_Counter);
  return Result;
}

MergeResult insertNew(MembershipTable &Table, const Member &Record,
                      TimePoint HeartbeatAt, TimePoint Now) {
  TableEntry Entry;
  Entry.m_Member = Record;
  Entry.m_LastHeartbeatAt = HeartbeatAt;
  Entry.m_JoinedAt = HeartbeatAt;
  Entry.m_Zone = zoneIndex(Table, Record.m_AvailabilityZone);
  markChanged(Table, Entry, Now);
  Table.m_Entries.insert_or_assign(Record.m_BackendServer, std::move(Entry));
  return MergeResult::Joined;
}

bool isTombstoneExpired(const MembershipLimits &Limits, const TableEntry &Entry,
                        TimePoint Now) {
  return heartbeatAge(Entry, Now) >= tombstoneLifetime(Limits);
}

TableEntry *findIncarnation(MembershipTable &Table,
                            std::string_view BackendServer,
                            std::uint64_t Incarnation) {
  const auto Found = Table.m_Entries.find(BackendServer);
  if (Found == Table.m_Entries.end() ||
      Found->second.m_Member.m_Incarnation != Incarnation)
    return nullptr;
  return &Found->second;
}

bool isAvoided(const MembershipTable &Table, const TableEntry &Entry,
               bool IsolationSuspected, TimePoint Now) {
  if (Entry.m_AvoidedUntil > Now)
    return true;
  const MemberHealth ByHeartbeat =
      heartbeatHealth(Table.m_Limits, heartbeatAge(Entry, Now));
  return ByHeartbeat != MemberHealth::Healthy && !IsolationSuspected;
}

} // namespace

Duration tombstoneLifetime(const MembershipLimits &Limits) {
  return Limits.m_LostAfter + Limits.m_TombstoneRetention;
}

Duration heartbeatAge(const TableEntry &Entry, TimePoint Now) {
  return std::max(Duration::zero(), Now - Entry.m_LastHeartbeatAt);
}

std::string_view toString(MemberHealth Health) {
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

MergeResult merge(MembershipTable &Table, const Member &Record,
                  Duration HeartbeatAge, TimePoint Now) {
  const TimePoint HeartbeatAt = Now - std::max(Duration::zero(), HeartbeatAge);
  const auto Found = Table.m_Entries.find(Record.m_BackendServer);
  if (Found == Table.m_Entries.end()) {
    // A new server whose heartbeat is that old is not added. A departure is, as
    // even later heartbeats may still arrive.
    if (HeartbeatAge >= (hasDeparted(Record.m_State)
                             ? tombstoneLifetime(Table.m_Limits)
                             : Table.m_Limits.m_LostAfter))
      return MergeResult::Stale;
    return insertNew(Table, Record, HeartbeatAt, Now);
  }
  TableEntry &Entry = Found->second;
  if (lacksIncarnation(Record) && Entry.m_Member.m_Incarnation > 0) {
    const auto Departed =
        departedMember(Entry.m_Member, Entry.m_JoinedAt, Record, HeartbeatAt);
    return Departed ? merge(Table, *Departed, HeartbeatAge, Now)
                    : MergeResult::Stale;
  }
  if (lacksIncarnation(Entry.m_Member) && Record.m_Incarnation > 0) {
    const auto Departed = departedMember(Record, HeartbeatAt, Entry.m_Member,
                                         Entry.m_LastHeartbeatAt);
    if (Departed) {
      Entry.m_Member = *Departed;
      Entry.m_JoinedAt = HeartbeatAt;
      Entry.m_Zone = zoneIndex(Table, Record.m_AvailabilityZone);
      markChanged(Table, Entry, Now);
      return MergeResult::StateChanged;
    }
  }
  if (mergeOrder(Record) <= mergeOrder(Entry.m_Member))
    return MergeResult::Stale;
  if (Record.m_Incarnation > Entry.m_Member.m_Incarnation)
    return insertNew(Table, Record, HeartbeatAt, Now);

  const Member &Known = Entry.m_Member;
  const bool StateChanged = Record.m_State != Known.m_State ||
                            Record.m_GroupEpoch != Known.m_GroupEpoch ||
                            Record.m_GroupBroken != Known.m_GroupBroken ||
                            hasColdChanged(Table.m_Limits, Known, Record, Now);
  if (StateChanged || shouldPropagateRefresh(Table, Entry, Record, Now))
    markChanged(Table, Entry, Now);
  Entry.m_Member = Record;
  Entry.m_Zone = zoneIndex(Table, Record.m_AvailabilityZone);
  Entry.m_LastHeartbeatAt = std::max(Entry.m_LastHeartbeatAt, HeartbeatAt);
  return StateChanged ? MergeResult::StateChanged : MergeResult::Refreshed;
}

void markReplacedAsLeft(MembershipTable &Table, const std::string &Joined,
                        TimePoint Now) {
  const auto Found = Table.m_Entries.find(Joined);
  // A server that has left, or was lost while it departed, no longer holds its
  // address.
  if (Found == Table.m_Entries.end() ||
      Found->second.m_Member.m_State == MemberState::Left ||
      heartbeatAge(Found->second, Now) >= Table.m_Limits.m_LostAfter)
    return;
  const auto MarkLeft = [&](TableEntry &Entry) {
    Entry.m_Member.m_State = MemberState::Left;
    markChanged(Table, Entry, Now);
  };
  Member &JoinedMember = Found->second.m_Member;
  for (auto &[Name, Entry] : Table.m_Entries) {
    const Member &Other = Entry.m_Member;
    if (Name == Joined || Other.m_State == MemberState::Left ||
        Other.m_Address != JoinedMember.m_Address ||
        Other.m_PeerPort != JoinedMember.m_PeerPort)
      continue;
    // A late heartbeat of the older incarnation must not replace the newer one.
    MarkLeft(Other.m_Incarnation > JoinedMember.m_Incarnation ? Found->second
                                                              : Entry);
  }
}

void noteCallFailed(MembershipTable &Table, std::string_view BackendServer,
                    std::uint64_t Incarnation, TimePoint Now) {
  TableEntry *Entry = findIncarnation(Table, BackendServer, Incarnation);
  if (!Entry)
    return;
  Duration Avoidance = Table.m_Limits.m_FailedCallAvoidance;
  for (std::uint32_t I = 0; I < Entry->m_ConsecutiveFailures &&
                            Avoidance < Table.m_Limits.m_MaxAvoidance;
       ++I)
    Avoidance *= 2;
  ++Entry->m_ConsecutiveFailures;
  Avoidance = std::min(Avoidance, Table.m_Limits.m_MaxAvoidance);
  Entry->m_AvoidedUntil = std::max(Entry->m_AvoidedUntil, Now + Avoidance);
}

void noteCallSucceeded(MembershipTable &Table, std::string_view BackendServer,
                       std::uint64_t Incarnation) {
  TableEntry *Entry = findIncarnation(Table, BackendServer, Incarnation);
  if (!Entry)
    return;
  Entry->m_ConsecutiveFailures = 0;
  Entry->m_AvoidedUntil = TimePoint();
}

MemberHealth health(const MembershipTable &Table, const TableEntry &Entry,
                    TimePoint Now) {
  const MemberHealth ByHeartbeat =
      heartbeatHealth(Table.m_Limits, heartbeatAge(Entry, Now));
  if (ByHeartbeat == MemberHealth::Healthy && Entry.m_AvoidedUntil > Now)
    return MemberHealth::Suspect;
  return ByHeartbeat;
}

bool isIsolationSuspected(const MembershipTable &Table,
                          std::string_view AvailabilityZone, TimePoint Now) {
  const auto Found =
      std::find(Table.m_Zones.begin(), Table.m_Zones.end(), AvailabilityZone);
  if (Found == Table.m_Zones.end())
    return false;
  const auto Zones = countZones(Table, Now);
  return Zones[static_cast<std::size_t>(Found - Table.m_Zones.begin())]
      .isIsolationSuspected();
}

bool isGroupBroken(const MembershipTable &Table, std::string_view Group) {
  const GroupStates Groups = groupStates(Table);
  const auto Found = Groups.find(Group);
  return Found != Groups.end() && Found->second.m_Broken;
}

void noteGroupBroken(MembershipTable &Table, std::string_view BackendServer) {
  const auto Found = Table.m_Entries.find(BackendServer);
  if (Found != Table.m_Entries.end() && !Found->second.m_Member.m_Group.empty())
    Found->second.m_Member.m_GroupBroken = true;
}

std::vector<CandidateView> eligibleViews(const MembershipTable &Table,
                                         std::string_view Service,
                                         TimePoint Now) {
  const std::vector<ZoneCount> Zones = countZones(Table, Now);
  std::vector<CandidateView> Candidates;
  std::vector<CandidateView> LostCandidates;
  const GroupStates Groups = groupStates(Table);
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const Member &Record = Entry.m_Member;
    if (Record.m_State != MemberState::Serving || Record.m_Service != Service)
      continue;
    if (!Record.m_Group.empty() && Groups.at(Record.m_Group).m_Broken)
      continue;
    const Duration Age = heartbeatAge(Entry, Now);
    const bool IsHeartbeatIgnored =
        Zones[Entry.m_Zone].isIsolationSuspected() &&
        Age < Table.m_Limits.m_IsolationWindow;
    if (Age >= Table.m_Limits.m_LostAfter && !IsHeartbeatIgnored)
      LostCandidates.push_back({&Record, true});
    else
      Candidates.push_back(
          {&Record, isAvoided(Table, Entry, IsHeartbeatIgnored, Now)});
  }
  return Candidates.empty() ? LostCandidates : Candidates;
}

std::vector<Candidate> eligible(const MembershipTable &Table,
                                std::string_view Service, TimePoint Now) {
  std::vector<Candidate> Copies;
  for (const CandidateView &View : eligibleViews(Table, Service, Now))
    Copies.push_back({*View.m_Member, View.m_Avoided});
  return Copies;
}

const TableEntry *find(const MembershipTable &Table,
                       std::string_view BackendServer) {
  const auto Found = Table.m_Entries.find(BackendServer);
  return Found == Table.m_Entries.end() ? nullptr : &Found->second;
}

std::vector<HealthChange> sweep(MembershipTable &Table, TimePoint Now) {
  std::vector<HealthChange> Changes;
  for (auto It = Table.m_Entries.begin(); It != Table.m_Entries.end();) {
    TableEntry &Entry = It->second;
    if (isTombstoneExpired(Table.m_Limits, Entry, Now)) {
      It = Table.m_Entries.erase(It);
      continue;
    }
    const MemberHealth NewHealth = health(Table, Entry, Now);
    if (NewHealth != Entry.m_ReportedHealth) {
      Changes.push_back({It->first, Entry.m_Member.m_Incarnation,
                         Entry.m_ReportedHealth, NewHealth});
      Entry.m_ReportedHealth = NewHealth;
    }
    ++It;
  }
  return Changes;
}

DeltaBatch deltasSince(const MembershipTable &Table, std::uint64_t Since,
                       std::size_t MaxRecords, TimePoint Now) {
  std::vector<const TableEntry *> Changed;
  for (const auto &[Name, Entry] : Table.m_Entries)
    if (Entry.m_ChangeNumber > Since)
      Changed.push_back(&Entry);
  std::sort(Changed.begin(), Changed.end(),
            [](const TableEntry *A, const TableEntry *B) {
              return A->m_ChangeNumber < B->m_ChangeNumber;
            });

  DeltaBatch Batch;
  Batch.m_Next = Since;
  for (const TableEntry *Entry : Changed) {
    if (Batch.m_Deltas.size() == MaxRecords) {
      Batch.m_More = true;
      return Batch;
    }
    Batch.m_Next = Entry->m_ChangeNumber;
    const Duration Age = heartbeatAge(*Entry, Now);
    if (Age < Table.m_Limits.m_LostAfter ||
        hasDeparted(Entry->m_Member.m_State))
      Batch.m_Deltas.push_back({Entry->m_Member, Age});
  }
  Batch.m_Next = std::max(Batch.m_Next, Table.m_LastChangeNumber);
  return Batch;
}

Member memberFromSchema(const schema::Announcement &Message,
                        Duration HeartbeatAge, TimePoint Now) {
  Member Record;
  Record.m_BackendServer = Message.backend_server();
  Record.m_Service = Message.service();
  Record.m_AvailabilityZone = Message.availability_zone();
  Record.m_Address = Message.address();
  Record.m_PeerPort = static_cast<std::uint16_t>(Message.peer_port());
  Record.m_State = stateFromSchema(Message.state());
  Record.m_Outstanding = Message.outstanding();
  Record.m_Incarnation = Message.incarnation();
  Record.m_Counter = Message.counter();
  Record.m_ConfigurationVersion = Message.configuration_version();
  Record.m_ReportedLoad = Message.reported_load();
  Record.m_LoadMeasuredAt =
      Now - HeartbeatAge - milliseconds(Message.report_age_ms());
  Record.m_Slots = Message.slots();
  Record.m_Group = Message.group();
  Record.m_GroupEpoch = Message.group_epoch();
  Record.m_GroupBroken = Message.group_broken();
  if (Message.cold_remaining_ms() > 0)
    Record.m_ColdUntil =
        Now - HeartbeatAge + milliseconds(Message.cold_remaining_ms());
  return Record;
}

void memberToSchema(const Member &Record, TimePoint Now,
                    schema::Announcement &Message) {
  Message.set_backend_server(Record.m_BackendServer);
  Message.set_service(Record.m_Service);
  Message.set_availability_zone(Record.m_AvailabilityZone);
  Message.set_address(Record.m_Address);
  Message.set_peer_port(Record.m_PeerPort);
  Message.set_state(stateToSchema(Record.m_State));
  Message.set_outstanding(Record.m_Outstanding);
  Message.set_incarnation(Record.m_Incarnation);
  Message.set_counter(Record.m_Counter);
  Message.set_configuration_version(Record.m_ConfigurationVersion);
  Message.set_reported_load(Record.m_ReportedLoad);
  const auto Age = duration_cast<milliseconds>(
      std::max(Duration::zero(), Now - Record.m_LoadMeasuredAt));
  Message.set_report_age_ms(static_cast<std::uint32_t>(Age.count()));
  Message.set_slots(Record.m_Slots);
  Message.set_group(Record.m_Group);
  Message.set_group_epoch(Record.m_GroupEpoch);
  Message.set_group_broken(Record.m_GroupBroken);
  // Rounded up, so that a cold server isn't passed on as one that is not.
  const auto ColdRemaining = std::chrono::ceil<milliseconds>(
      std::max(Duration::zero(), Record.m_ColdUntil - Now));
  Message.set_cold_remaining_ms(
      static_cast<std::uint32_t>(ColdRemaining.count()));
}

void deltaToSchema(const MemberDelta &Change, TimePoint Now,
                   schema::MemberRecord &Message) {
  memberToSchema(Change.m_Member, Now - Change.m_HeartbeatAge,
                 *Message.mutable_announcement());
  const auto Age = duration_cast<milliseconds>(Change.m_HeartbeatAge);
  Message.set_heard_ms_ago(static_cast<std::uint32_t>(Age.count()));
}

} // namespace mangocart
