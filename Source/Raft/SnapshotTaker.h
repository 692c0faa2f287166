// Takes snapshots beside the control thread. The state is built a second time,
// from the last snapshot and the committed entries after it, in a machine of
// its own: the live state is neither locked nor copied, and the snapshot is the
// one of exactly its index.
#ifndef MANGOCART_RAFT_SNAPSHOTTAKER_H
#define MANGOCART_RAFT_SNAPSHOTTAKER_H

#include "Raft/RaftStorage.h"
#include "Raft/RaftTypes.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace mangocart {

class StateMachine;

struct SnapshotJob {
  // Null: from the state before the first command.
  SnapshotPtr m_Base;
  // All after the base up to the head's index.
  EntryList m_Entries;
  // See snapshotHead().
  RaftSnapshot m_Head;
};

struct TakenSnapshot {
  SnapshotPtr m_Snapshot;
  // Whether it lies in the data folder, see RaftStorage::prepareSnapshot().
  Result<void, StorageError> m_Prepared = success();
};

// Builds the job's state in the empty machine; nothing if it was stopped.
std::optional<RaftSnapshot> buildSnapshot(StateMachine &Empty,
                                          const SnapshotJob &Job,
                                          const std::atomic<bool> &Stopping);

class SnapshotTaker {
public:
  // Writes the snapshot to the disk; called on the taker's own thread.
  using Prepare =
      std::function<Result<void, StorageError>(const RaftSnapshot &Snapshot)>;
  // Called there when take() has something.
  using Notify = std::function<void()>;

  ~SnapshotTaker() { stop(); }

  // Not while it is busy.
  void start(SnapshotJob Job, std::unique_ptr<StateMachine> Empty,
             Prepare Write, Notify Ready);
  // From start() until take() has returned the snapshot.
  bool busy() const { return m_Thread.joinable(); }
  // The snapshot, once it is ready.
  std::optional<TakenSnapshot> take();
  // Waits for the thread; what it was making is lost.
  void stop();

private:
  std::optional<TakenSnapshot> run(SnapshotJob Job,
                                   std::unique_ptr<StateMachine> Empty,
                                   const Prepare &Write) const;

  std::thread m_Thread;
  std::atomic<bool> m_Stopping{false};
  std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::optional<TakenSnapshot> m_Ready;
};

} // namespace mangocart

#endif
