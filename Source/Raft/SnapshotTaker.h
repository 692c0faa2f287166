// Takes snapshots on a background thread. The state is rebuilt from the last
// snapshot and the committed entries after it, in a separate state machine: the
// live state is neither locked nor copied, and the snapshot is exactly that of
// its index.
#ifndef MANGOCART_RAFT_SNAPSHOTTAKER_H
#define MANGOCART_RAFT_SNAPSHOTTAKER_H

#include "Raft/RaftStorage.h"
#include "Raft/RaftTypes.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace mangocart {

class StateMachine;

struct SnapshotJob {
  // If null, starts from the state before the first command.
  SnapshotPtr m_Base;
  // All entries after the base up to the index in m_Metadata.
  EntryList m_Entries;
  // See snapshotMetadata().
  RaftSnapshot m_Metadata;
};

struct TakenSnapshot {
  SnapshotPtr m_Snapshot;
  // Result of RaftStorage::prepareSnapshot().
  Result<void, StorageError> m_PrepareResult = success();
};

// Builds the snapshot of the job in the empty state machine; nothing if it was
// stopped.
std::optional<RaftSnapshot> buildSnapshot(StateMachine &Empty,
                                          const SnapshotJob &Job,
                                          const std::atomic<bool> &Stopping);

class SnapshotTaker {
public:
  // Writes the snapshot to the disk; called on the background thread.
  using Prepare =
      std::function<Result<void, StorageError>(const RaftSnapshot &Snapshot)>;
  // Called on the background thread when take() will return a result.
  using Notify = std::function<void()>;

  ~SnapshotTaker() { stop(); }

  // Must not be called while busy() is true.
  void start(SnapshotJob Job, std::unique_ptr<StateMachine> Empty,
             Prepare Write, Notify Ready);
  // True from start() until take() has returned the snapshot.
  bool busy() const { return m_Thread.joinable(); }
  // The snapshot, if it is ready.
  std::optional<TakenSnapshot> take();
  // Waits for the thread; an unfinished snapshot is discarded.
  void stop();
  // Called on the background thread: waits for the interval, or until stop().
  // Returns false once it is stopped.
  bool waitUnlessStopped(std::chrono::milliseconds Interval);

private:
  std::optional<TakenSnapshot> run(SnapshotJob Job,
                                   std::unique_ptr<StateMachine> Empty,
                                   const Prepare &Write) const;

  std::thread m_Thread;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  std::condition_variable m_OnStop;
  // Guarded by m_Mutex.
  std::optional<TakenSnapshot> m_Ready;
};

} // namespace mangocart

#endif
