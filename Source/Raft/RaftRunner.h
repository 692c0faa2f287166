// Runs the replicated log in a process: one control thread collects messages
// and proposals, steps the Raft algorithm, syncs once for all of them, then
// sends and applies. A process without a data folder is not a member; it only
// finds the leader and forwards proposals.
#ifndef MANGOCART_RAFT_RAFTRUNNER_H
#define MANGOCART_RAFT_RAFTRUNNER_H

#include "Raft/FileSystem.h"
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
  // Empty if this process is not a member of the log.
  std::string m_DataFolder;
  // Creates the access to the data folder, once for each thread that uses it.
  std::function<std::unique_ptr<FileSystem>(DiskFullHandler)> m_MakeFileSystem =
      makePosixFileSystem;
  // All entry VMs, including this one. The voter with the lowest name creates
  // the log once the data folders of all voters are known to be empty.
  std::vector<RaftPeer> m_Peers;
  RaftTiming m_Timing;
  RaftLimits m_Limits;
  // If set, m_Peers are only the peers known at the start, and every member's
  // name is its endpoint, see findEndpoint().
  std::optional<OpenMembership> m_OpenMembership;
  // Whether this may be the first start of the deployment. If false, no new log
  // is ever created, so that a machine that lost its disk can only join.
  bool m_MayBootstrap = true;
  // Returns the timestamp for a command proposed in the given term; if empty,
  // the wall clock is used.
  std::function<std::uint64_t(Term)> m_CommandTimeMs;
  // A snapshot is taken when the log has reached m_SnapshotLogBytes, or after
  // m_SnapshotEntries applied entries if the log has also reached this fraction
  // of the last snapshot's size: the cost of a snapshot grows with the state
  // and not with the entries.
  std::uint64_t m_SnapshotLogBytes = std::uint64_t{32} * 1024 * 1024;
  LogIndex m_SnapshotEntries = 10000;
  double m_SnapshotLogRatio = 0.25;
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
  // Commands appended as leader, and the batches they were proposed in.
  std::uint64_t m_Proposals = 0;
  std::uint64_t m_Batches = 0;
  std::uint64_t m_Syncs = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
  // Longest time that the control thread spent between two waits for input.
  Duration m_LongestIteration{0};

  bool operator==(const RaftCounters &) const = default;
};

// The workers, the client, the server and the state machine must outlive the
// runner. The server must not be listening yet; after the runner's end it
// handles no more calls for it.
class RaftRunner : public ReplicatedLog {
public:
  // Called on the control thread, which then stops working. The process must
  // exit, because the content of the disk is unknown.
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

  // To be called when the process was asked to stop, at most once. With open
  // membership a learner that has caught up then replaces this voter, and the
  // process should exit when OnMayStop is called, on the control thread. The
  // caller bounds the wait: without a majority or a working disk, OnMayStop is
  // not called.
  void prepareStop(std::function<void()> OnMayStop);

  bool isLeader() const { return status().m_Role == RaftRole::Leader; }
  // Whether the applied state of this process may be read as the latest one.
  // Must be checked for every response.
  bool leaseHeld() const;
  RaftStatus status() const;
  RaftCounters counters() const;

private:
  explicit RaftRunner(std::shared_ptr<RaftControl> Control);
  std::shared_ptr<RaftControl> m_Control;
};

} // namespace mangocart

#endif
