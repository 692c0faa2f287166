// The control thread of the replicated log, and the state it shares with
// RaftRunner and with handlers on other threads.
#ifndef MANGOCART_RAFT_RAFTCONTROL_H
#define MANGOCART_RAFT_RAFTCONTROL_H

#include "Raft/ProposalForwarder.h"
#include "Raft/RaftEvents.h"
#include "Raft/RaftInbox.h"
#include "Raft/RaftNode.h"
#include "Raft/RaftRunner.h"
#include "Raft/RaftTransport.h"
#include "Raft/SnapshotTaker.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace mangocart {

class RaftControl : public ProposalForwarder::Owner,
                    public std::enable_shared_from_this<RaftControl> {
public:
  RaftControl(RaftRunnerOptions Options, StateMachine &Machine,
              WorkerPool &Workers, PeerClient &Client, PeerServer &Server,
              RaftRunner::FatalHandler OnFatal, EventLog *Events);

  // Called before start().
  Result<void, StorageError> openStorage();
  // Called while the disk is full; returns false when the runner stops.
  bool waitForDiskSpace();
  void serve(PeerServer &Server);
  void start();

  // Called from any thread.
  void submit(PendingProposal Proposal) override;
  void receive(RaftMessage Message);
  // See RaftRunner::prepareStop().
  void prepareStop(std::function<void()> OnMayStop);
  // Returns after the control thread has ended.
  void stop();
  std::string leader() const override;
  bool leaseHeld() const;
  RaftStatus status() const;
  RaftCounters counters() const;

private:
  void run();
  bool wait();
  void runIteration();
  std::vector<RaftEvent> collectEvents();
  void routeProposals(std::vector<PendingProposal> Proposals, Propose &Batch);
  std::uint64_t commandTimeMs() const;
  void forward(PendingProposal Proposal);
  void executeEffects(std::vector<RaftEffect> Effects);
  bool executeStorageEffect(const RaftEffect &Effect);
  void executeEffect(RaftEffect &Effect);
  void apply(const EntryList &Entries);
  void refuse(const ProposalRefused &Refused);
  void takeSnapshotIfDue();
  bool isSnapshotDue() const;
  void startSnapshot();
  void saveTakenSnapshot(const TakenSnapshot &Taken);
  void publish();
  void reportMayStop();
  void complete(PendingProposal Proposal, ProposalForwarder::Reply Outcome);
  void retryLater(PendingProposal Proposal);
  void fail(const StorageError &Error);

  const RaftRunnerOptions m_Options;
  const std::map<std::string, PeerEndpoint> m_Endpoints;
  const std::vector<std::string> m_Voters;
  StateMachine &m_Machine;
  const RaftRunner::FatalHandler m_OnFatal;
  EventLog *const m_Events;
  ProposalForwarder m_Forwarder;

  // Used only on the control thread once it is running.
  Random m_Generator;
  RaftTransport m_Transport;
  std::unique_ptr<FileSystem> m_Files;
  // Both are empty without a data folder.
  std::unique_ptr<RaftStorage> m_Storage;
  std::optional<RaftState> m_State;
  ProposalQueue m_Queue;
  std::map<std::uint64_t, PendingProposal> m_ProposalsById;
  std::uint64_t m_NextProposalId = 1;
  LogIndex m_Applied = 0;
  LogIndex m_SnapshotIndex = 0;
  SnapshotTaker m_SnapshotTaker;
  // Set by saveTakenSnapshot() while the effects of SnapshotTaken are executed.
  const TakenSnapshot *m_PreparedSnapshot = nullptr;
  // Moved on by the times for which the thread was paused, by a full disk for
  // example.
  TimePoint m_LastLeaderContact;
  bool m_Failed = false;
  // Set by the first event of a stop; reset once it was called.
  std::function<void()> m_OnMayStop;

  RaftInbox m_Inbox;
  DiskFullReporter m_DiskFull;
  // Used on the thread that takes snapshots.
  DiskFullReporter m_SnapshotDiskFull;

  // No other lock is taken while this one is held.
  mutable std::mutex m_StatusMutex;
  // Guarded by m_StatusMutex.
  RaftStatus m_Status;
  std::optional<TimePoint> m_LeaseEnd;
  bool m_MayRead = false;

  std::atomic<std::uint64_t> m_ProposalCount{0};
  std::atomic<std::uint64_t> m_BatchCount{0};
  std::atomic<std::uint64_t> m_SyncCount{0};
  std::atomic<Duration> m_LongestIteration{Duration::zero()};
  std::thread m_Thread;
};

} // namespace mangocart

#endif
