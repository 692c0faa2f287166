// Takes each snapshot on a thread of its own.
#include "Raft/SnapshotTaker.h"

#include "Raft/StateMachine.h"

#include <utility>

namespace mangocart {

std::optional<RaftSnapshot> buildSnapshot(StateMachine &Empty,
                                          const SnapshotJob &Job,
                                          const std::atomic<bool> &Stopping) {
  if (Job.m_Base)
    Empty.restore(Job.m_Base->m_Data);
  for (const EntryPtr &Entry : Job.m_Entries) {
    if (Stopping)
      return std::nullopt;
    if (Entry->m_Kind == EntryKind::Command)
      Empty.apply(Entry->m_Index, Entry->m_Payload);
  }
  RaftSnapshot Snapshot = Job.m_Metadata;
  Snapshot.m_Data = Empty.snapshot();
  return Snapshot;
}

void SnapshotTaker::start(SnapshotJob Job, std::unique_ptr<StateMachine> Empty,
                          Prepare Write, Notify Ready) {
  m_Thread = std::thread([this, Job = std::move(Job), Empty = std::move(Empty),
                          Write = std::move(Write),
                          Ready = std::move(Ready)]() mutable {
    std::optional<TakenSnapshot> Taken =
        run(std::move(Job), std::move(Empty), Write);
    {
      const std::lock_guard Lock(m_Mutex);
      m_Ready = std::move(Taken);
    }
    Ready();
  });
}

std::optional<TakenSnapshot>
SnapshotTaker::run(SnapshotJob Job, std::unique_ptr<StateMachine> Empty,
                   const Prepare &Write) const {
  std::optional<RaftSnapshot> Built = buildSnapshot(*Empty, Job, m_Stopping);
  // Frees the second state before the snapshot is written, to limit the memory
  // in use, and on this thread, so that the control thread does not wait for
  // it.
  Empty.reset();
  Job = {};
  if (!Built)
    return std::nullopt;
  TakenSnapshot Taken;
  Taken.m_Snapshot = std::make_shared<const RaftSnapshot>(std::move(*Built));
  Taken.m_PrepareResult = Write(*Taken.m_Snapshot);
  return Taken;
}

std::optional<TakenSnapshot> SnapshotTaker::take() {
  std::optional<TakenSnapshot> Taken;
  {
    const std::lock_guard Lock(m_Mutex);
    Taken = std::exchange(m_Ready, std::nullopt);
  }
  if (Taken)
    m_Thread.join();
  return Taken;
}

bool SnapshotTaker::waitUnlessStopped(std::chrono::milliseconds Interval) {
  std::unique_lock Lock(m_Mutex);
  m_OnStop.wait_for(Lock, Interval, [this] { return m_Stopping.load(); });
  return !m_Stopping;
}

void SnapshotTaker::stop() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
  }
  m_OnStop.notify_all();
  if (m_Thread.joinable())
    m_Thread.join();
}

} // namespace mangocart
