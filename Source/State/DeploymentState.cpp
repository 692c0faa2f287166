// Command dispatch and snapshots of the deployment state.
#include "State/DeploymentState.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1000;

std::uint64_t retentionMs(const DeploymentState &State) {
  return State.m_Configuration.m_Configuration.outcome_retention_s() *
         MillisecondsPerSecond;
}

std::uint64_t fenceInForce(const DeploymentState &State,
                           const std::string &BackendServer) {
  const auto Found = State.m_Fences.find(BackendServer);
  return Found == State.m_Fences.end() ? 0 : Found->second;
}

} // namespace

schema::CommandReply apply(DeploymentState &State, std::uint64_t Index,
                           const schema::Command &Command) {
  State.m_TimeMs = std::max(State.m_TimeMs, Command.leader_time_ms());
  expire(State.m_Ledger, State.m_TimeMs, retentionMs(State));

  schema::CommandReply Reply;
  switch (Command.kind_case()) {
  case schema::Command::kAccept:
    *Reply.mutable_accept() =
        accept(State.m_Configuration, Command.accept(), State.m_TimeMs);
    break;
  case schema::Command::kClaim:
    *Reply.mutable_claim() =
        claim(State.m_Ledger, Command.claim(), Index, State.m_TimeMs);
    break;
  case schema::Command::kSettle:
    *Reply.mutable_settle() =
        settle(State.m_Ledger, Command.settle(), State.m_TimeMs);
    break;
  case schema::Command::kActivate:
    *Reply.mutable_activate() =
        activate(State.m_ExpertMaps, Command.activate());
    break;
  case schema::Command::kFenceFor:
    State.m_LastFencingNumber = Index;
    State.m_Fences[Command.fence_for()] = Index;
    Reply.set_fencing_number(Index);
    break;
  case schema::Command::kFenceInForce:
    Reply.set_fencing_number(fenceInForce(State, Command.fence_in_force()));
    break;
  case schema::Command::KIND_NOT_SET:
    break;
  }
  return Reply;
}

std::string snapshot(const DeploymentState &State) {
  schema::StateSnapshot Message;
  saveConfiguration(State.m_Configuration, Message);
  saveExpertMaps(State.m_ExpertMaps, Message);
  Message.set_last_fencing_number(State.m_LastFencingNumber);
  for (const auto &[BackendServer, Number] : State.m_Fences) {
    schema::FenceRecord &Record = *Message.add_fences();
    Record.set_backend_server(BackendServer);
    Record.set_fencing_number(Number);
  }
  Message.set_leader_time_ms(State.m_TimeMs);
  std::string Bytes = Message.SerializeAsString();
  appendLedger(State.m_Ledger, Bytes);
  return Bytes;
}

std::optional<DeploymentState> restore(std::string_view Snapshot,
                                       const LedgerLimits &Limits) {
  schema::StateSnapshot Parsed;
  if (!Parsed.ParseFromArray(Snapshot.data(),
                             static_cast<int>(Snapshot.size())))
    return std::nullopt;
  DeploymentState State;
  State.m_Configuration = restoreConfiguration(Parsed);
  State.m_ExpertMaps = restoreExpertMaps(Parsed);
  State.m_LastFencingNumber = Parsed.last_fencing_number();
  for (const schema::FenceRecord &Record : Parsed.fences())
    State.m_Fences[Record.backend_server()] = Record.fencing_number();
  State.m_TimeMs = Parsed.leader_time_ms();
  State.m_Ledger.m_Limits = Limits;
  for (const schema::LedgerRecord &Record : Parsed.ledger())
    restoreRecord(State.m_Ledger, Record);
  return State;
}

LeaderClock startLeaderClock(std::uint64_t StateTimeMs, std::uint64_t WallMs,
                             TimePoint Now) {
  return {StateTimeMs == 0 ? WallMs : StateTimeMs, Now};
}

std::uint64_t leaderTimeMs(const LeaderClock &Clock, TimePoint Now) {
  const auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration::zero(), Now - Clock.m_StartedAt));
  return Clock.m_TimeMsAtStart + static_cast<std::uint64_t>(Passed.count());
}

} // namespace mangocart
