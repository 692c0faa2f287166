// Runs the replicated log in a process: one control thread takes messages and
// proposals, steps the decisions, syncs once for all of them, then sends and
// applies. A process without a data folder is no member; it only finds the
// leader and forwards proposals.
#ifndef MANGOCART_RAFT_RAFTRUNNER_H
#define MANGOCART_RAFT_RAFTRUNNER_H

#include "Raft/RaftPeers.h"
#include "Raft/RaftStorage.h"
#include "Raft/RaftTypes.h"
#include "Raft/ReplicatedLog.h"

#include <memory>
#include <string>
#include <vector>

namespace mangocart {

class EventLog;
class RaftControl;
class StateMachine;
class WorkerPool;

struct RaftRunnerOptions {
  std::string m_Name;
  // Empty: no member of the log.
  std::string m_DataFolder;
  // All entry VMs, this one included. The voter with the lowest name begins
  // the log, once the folders of all voters are known to be empty.
  std::vector<RaftPeer> m_Peers;
  RaftTiming m_Timing;
  RaftLimits m_Limits;
  // Set: m_Peers are only those known at the start, and every member's name is
  // its endpoint, see findEndpoint().
  std::optional<OpenMembership> m_Open;
  // Whether this may be the first start of the deployment; without it no log
  // is ever begun, so that a machine that lost its disk can only join.
  bool m_MayBootstrap = true;
  // Stamp of a command that is proposed in the term; absent: the wall clock.
  std::function<std::uint64_t(Term)> m_CommandTimeMs;
  // A snapshot is taken after so many bytes of log, or after so many applied
  // entries if the log then has this part of the last snapshot's size, because
  // the work of a snapshot grows with the state and not with the entries.
  std::uint64_t m_SnapshotLogBytes = std::uint64_t{32} * 1024 * 1024;
  LogIndex m_SnapshotEntries = 10000;
  double m_SnapshotLogShare = 0.25;
};

struct RaftStatus {
  RaftRole m_Role = RaftRole::Follower;
  Term m_Term = 0;
  std::string m_Leader;
  // Empty without a data folder.
  MemberId m_Self;
  LogIndex m_Commit = 0;
  LogIndex m_LastApplied = 0;
  LogIndex m_SnapshotIndex = 0;
  std::uint64_t m_LogBytes = 0;
  RaftMembers m_Members;

  bool operator==(const RaftStatus &) const = default;
};

struct RaftCounters {
  // Commands appended as leader, in so many batches.
  std::uint64_t m_Proposals = 0;
  std::uint64_t m_Batches = 0;
  std::uint64_t m_Syncs = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
  // The longest time that the control thread was away from its inbox.
  Duration m_LongestTurn{0};

  bool operator==(const RaftCounters &) const = default;
};

// The workers, peers and the state machine must outlive the runner; the server
// must not listen yet, and handles nothing for the runner after its end.
class RaftRunner : public ReplicatedLog {
public:
  // Called on the control thread, which does nothing more after it. The
  // process must end: what is on the disk is unknown.
  using FatalHandler = std::function<void(const StorageError &)>;

  // Opens the data folder and starts the control thread. Events may be null.
  static Result<std::unique_ptr<RaftRunner>, StorageError>
  start(RaftRunnerOptions Options, StateMachine &Machine, WorkerPool &Workers,
        PeerClient &Client, PeerServer &Server, FatalHandler OnFatal,
        EventLog *Events = nullptr);

  ~RaftRunner() override;

  void propose(schema::Command Command, Duration Timeout,
               ProposeHandler Done) override;
  std::string leader() const override;

  bool isLeader() const { return status().m_Role == RaftRole::Leader; }
  // Whether the applied state may be read here as the newest one. To be asked
  // at the moment of each answer.
  bool leaseHeld() const;
  RaftStatus status() const;
  RaftCounters counters() const;

private:
  explicit RaftRunner(std::shared_ptr<RaftControl> Control);
  std::shared_ptr<RaftControl> m_Control;
};

} // namespace mangocart

#endif
