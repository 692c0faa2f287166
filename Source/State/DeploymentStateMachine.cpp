// Serialization and locking of the deployment's state.
#include "State/DeploymentStateMachine.h"

#include <stdexcept>

namespace mangocart {

void DeploymentStateMachine::onConfiguration(ConfigurationHandler Handler) {
  m_OnConfiguration = std::move(Handler);
}

std::string DeploymentStateMachine::apply(std::uint64_t Index,
                                          std::string_view Command) {
  schema::Command Parsed;
  if (!Parsed.ParseFromArray(Command.data(), static_cast<int>(Command.size())))
    return {};
  schema::CommandReply Reply;
  {
    const std::lock_guard Lock(m_Mutex);
    Reply = mangocart::apply(m_State, Index, Parsed);
  }
  if (Parsed.has_accept())
    notifyConfiguration();
  return Reply.SerializeAsString();
}

std::string DeploymentStateMachine::snapshot() const {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::snapshot(m_State);
}

void DeploymentStateMachine::restore(std::string_view Bytes) {
  std::optional<DeploymentState> Restored = mangocart::restore(Bytes);
  if (!Restored)
    throw std::invalid_argument("cannot parse the snapshot of the deployment "
                                "state");
  {
    const std::lock_guard Lock(m_Mutex);
    m_State = std::move(*Restored);
  }
  notifyConfiguration();
}

std::unique_ptr<StateMachine> DeploymentStateMachine::makeEmpty() const {
  return std::make_unique<DeploymentStateMachine>();
}

void DeploymentStateMachine::notifyConfiguration() {
  const schema::Configuration Current = configuration();
  if (Current.version() <= m_NotifiedVersion)
    return;
  m_NotifiedVersion = Current.version();
  if (m_OnConfiguration)
    m_OnConfiguration(Current);
}

schema::Configuration DeploymentStateMachine::configuration() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_Configuration.m_Configuration;
}

std::uint64_t DeploymentStateMachine::configurationVersion() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_Configuration.m_Configuration.version();
}

std::uint64_t DeploymentStateMachine::commandTimeMs(std::uint64_t Term) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  if (m_ClockTerm != Term) {
    m_ClockTerm = Term;
    m_LeaderClock = startLeaderClock(m_State.m_TimeMs,
                                     RuntimeClock::wallMilliseconds(), Now);
  }
  // Entries of earlier terms may have been applied after the clock was started.
  return std::max(m_State.m_TimeMs, leaderTimeMs(m_LeaderClock, Now));
}

std::uint64_t DeploymentStateMachine::timeMs() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_TimeMs;
}

schema::ExpertMapRecord
DeploymentStateMachine::expertMap(const std::string &Group) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_State.m_ExpertMaps.m_Maps.find(Group);
  return Found == m_State.m_ExpertMaps.m_Maps.end() ? schema::ExpertMapRecord()
                                                    : Found->second;
}

std::vector<schema::ExpertMapRecord>
DeploymentStateMachine::expertMaps() const {
  const std::lock_guard Lock(m_Mutex);
  std::vector<schema::ExpertMapRecord> Maps;
  for (const auto &[Group, Record] : m_State.m_ExpertMaps.m_Maps)
    Maps.push_back(Record);
  return Maps;
}

std::vector<OpenClaim>
DeploymentStateMachine::overdue(std::uint64_t TimeMs, std::uint64_t GraceMs,
                                std::size_t MaxCount) const {
  const std::lock_guard Lock(m_Mutex);
  return overdueClaims(m_State.m_Ledger, TimeMs, GraceMs, MaxCount);
}

std::size_t DeploymentStateMachine::ledgerRecords() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_Ledger.m_Table.size();
}

std::size_t DeploymentStateMachine::ledgerBytes() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_Ledger.m_Bytes;
}

std::size_t DeploymentStateMachine::claimsInProgress() const {
  const std::lock_guard Lock(m_Mutex);
  return m_State.m_Ledger.m_Open.size();
}

} // namespace mangocart
