// Several RaftRunner instances in one process, over real sockets and folders.
#ifndef MANGOCART_TESTS_RUNNERCLUSTER_H
#define MANGOCART_TESTS_RUNNERCLUSTER_H

#include "Core/WorkerPool.h"
#include "Raft/FileSystem.h"
#include "Raft/RaftRunner.h"
#include "Raft/StateMachine.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace mangocart {

// Records the names of the requested fences, in order.
class FenceMachine : public StateMachine {
public:
  // SnapshotsBeside: snapshots are taken on a thread of their own.
  explicit FenceMachine(bool SnapshotsBeside = false)
      : m_SnapshotsBeside(SnapshotsBeside) {}

  std::string apply(std::uint64_t Index, std::string_view Bytes) override {
    schema::Command Command;
    Command.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
    const std::lock_guard Lock(m_Mutex);
    m_State += Command.fence_for() + ";";
    schema::CommandReply Reply;
    Reply.set_fencing_number(Index);
    return Reply.SerializeAsString();
  }
  std::string snapshot() const override { return state(); }
  void restore(std::string_view Snapshot) override {
    const std::lock_guard Lock(m_Mutex);
    m_State = Snapshot;
    ++m_Restored;
  }

  std::unique_ptr<StateMachine> makeEmpty() const override {
    return m_SnapshotsBeside ? std::make_unique<FenceMachine>() : nullptr;
  }

  std::string state() const {
    const std::lock_guard Lock(m_Mutex);
    return m_State;
  }
  int restored() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Restored;
  }

private:
  const bool m_SnapshotsBeside;
  mutable std::mutex m_Mutex;
  std::string m_State;
  int m_Restored = 0;
};

// A disk that can be full; shared by all threads that use it.
struct SimulatedDisk {
  std::atomic<bool> m_Full{false};
  // It becomes full when a snapshot is written beside the control thread.
  std::atomic<bool> m_IsFilledBySnapshot{false};
};

// The real file system behind a disk that can be full. Like the real one, it
// asks its handler whether to try again.
class FullableFileSystem : public FileSystem {
public:
  FullableFileSystem(std::shared_ptr<SimulatedDisk> Disk,
                     DiskFullHandler OnDiskFull)
      : m_Disk(std::move(Disk)), m_OnDiskFull(std::move(OnDiskFull)),
        m_Files(makePosixFileSystem()) {}

  Result<void, FileError> makeFolder(const std::string &Folder) override {
    return m_Files->makeFolder(Folder);
  }
  Result<void, FileError> lockFolder(const std::string &Folder) override {
    return m_Files->lockFolder(Folder);
  }
  Result<std::vector<std::string>, FileError>
  list(const std::string &Folder) override {
    return m_Files->list(Folder);
  }
  Result<std::string, FileError> read(const std::string &Path) override {
    return m_Files->read(Path);
  }
  Result<void, FileError> append(const std::string &Path,
                                 std::string_view Bytes) override {
    if (Path.ends_with("snapshot-prepared.tmp") &&
        m_Disk->m_IsFilledBySnapshot.exchange(false))
      m_Disk->m_Full = true;
    BOOST_OUTCOME_TRYV(waitForSpace("append", Path));
    return m_Files->append(Path, Bytes);
  }
  Result<void, FileError> truncate(const std::string &Path,
                                   std::uint64_t Size) override {
    BOOST_OUTCOME_TRYV(waitForSpace("truncate", Path));
    return m_Files->truncate(Path, Size);
  }
  Result<void, FileError> rename(const std::string &From,
                                 const std::string &To) override {
    BOOST_OUTCOME_TRYV(waitForSpace("rename", From));
    return m_Files->rename(From, To);
  }
  Result<void, FileError> remove(const std::string &Path) override {
    return m_Files->remove(Path);
  }
  Result<void, FileError> syncFile(const std::string &Path) override {
    return m_Files->syncFile(Path);
  }
  Result<void, FileError> syncFolder(const std::string &Folder) override {
    return m_Files->syncFolder(Folder);
  }

private:
  Result<void, FileError> waitForSpace(const char *Operation,
                                       const std::string &Path) {
    while (m_Disk->m_Full)
      if (!m_OnDiskFull || !m_OnDiskFull())
        return FileError{Operation, Path, "no space left on device"};
    return success();
  }

  const std::shared_ptr<SimulatedDisk> m_Disk;
  const DiskFullHandler m_OnDiskFull;
  const std::unique_ptr<FileSystem> m_Files;
};

// Simulates the process of one node; its destructor acts like a kill and leaves
// the folder.
struct ClusterProcess {
  ClusterProcess(const RaftRunnerOptions &Options, const PeerEndpoint &Self,
                 bool SnapshotsBeside)
      : m_Machine(SnapshotsBeside), m_Workers(2), m_Client(m_Workers),
        m_Server(m_Workers) {
    m_Runner = std::move(
        RaftRunner::start(Options, m_Machine, m_Workers, m_Client, m_Server,
                          [this](const StorageError &) { m_HasFailed = true; })
            .value());
    m_Server.listen(Self.m_Address, Self.m_Port).value();
    m_Workers.start();
  }
  ~ClusterProcess() {
    // Closes the sockets as the kernel does for a killed process. Otherwise the
    // other members' streams would end only when their keep-alive probes time
    // out.
    m_Server.close();
    for (std::size_t I = 0; I < m_Workers.size(); ++I) {
      std::promise<void> Drained;
      boost::asio::post(m_Workers.worker(I), [&] { Drained.set_value(); });
      Drained.get_future().wait();
    }
    m_Runner.reset();
    m_Workers.stop();
  }

  FenceMachine m_Machine;
  // A storage error has ended it.
  std::atomic<bool> m_HasFailed{false};
  WorkerPool m_Workers;
  PeerClient m_Client;
  PeerServer m_Server;
  std::unique_ptr<RaftRunner> m_Runner;
};

class RunnerCluster {
public:
  explicit RunnerCluster(std::uint16_t Port, LogIndex SnapshotEntries = 10000,
                         bool SnapshotsBeside = false)
      : m_SnapshotsBeside(SnapshotsBeside),
        m_Root(std::filesystem::temp_directory_path() /
               ("mangocart-raft-" + std::to_string(::getpid()) + "-" +
                std::to_string(Port))),
        m_Processes(ProcessCount) {
    for (std::size_t I = 0; I < VoterCount; ++I)
      m_Disks.push_back(std::make_shared<SimulatedDisk>());
    std::filesystem::create_directories(m_Root);
    m_Options.m_SnapshotEntries = SnapshotEntries;
    m_Options.m_Limits.m_RetainedEntries = 10;
    for (std::size_t I = 0; I < ProcessCount; ++I)
      m_Options.m_Peers.push_back({"m" + std::to_string(I),
                                   {"127.21.0." + std::to_string(I + 1), Port},
                                   I < VoterCount});
    for (std::size_t I = 0; I < ProcessCount; ++I)
      start(I);
  }
  ~RunnerCluster() {
    m_Processes.clear();
    std::filesystem::remove_all(m_Root);
  }

  // The last process has no data folder.
  static constexpr std::size_t VoterCount = 3;
  static constexpr std::size_t ProcessCount = 4;

  std::filesystem::path folder(std::size_t I) const {
    return m_Root / m_Options.m_Peers[I].m_Name;
  }
  void start(std::size_t I) {
    RaftRunnerOptions Options = m_Options;
    Options.m_Name = m_Options.m_Peers[I].m_Name;
    if (I < VoterCount) {
      Options.m_DataFolder = folder(I).string();
      Options.m_MakeFileSystem = [Disk = m_Disks[I]](DiskFullHandler Handler) {
        return std::make_unique<FullableFileSystem>(Disk, std::move(Handler));
      };
    }
    m_Processes[I] = std::make_unique<ClusterProcess>(
        Options, m_Options.m_Peers[I].m_Endpoint, m_SnapshotsBeside);
  }
  void stop(std::size_t I) { m_Processes[I].reset(); }
  ClusterProcess &at(std::size_t I) { return *m_Processes[I]; }
  SimulatedDisk &disk(std::size_t I) { return *m_Disks[I]; }
  bool isRunning(std::size_t I) const { return m_Processes[I] != nullptr; }

  Result<schema::CommandReply, ProposeError>
  propose(std::size_t I, const std::string &Name,
          Duration Timeout = std::chrono::seconds(20)) {
    schema::Command Command;
    Command.set_fence_for(Name);
    auto Promise = std::make_shared<
        std::promise<Result<schema::CommandReply, ProposeError>>>();
    auto Answer = Promise->get_future();
    m_Processes[I]->m_Runner->propose(
        Command, Timeout, [Promise](auto Reply) { Promise->set_value(Reply); });
    return Answer.get();
  }

  // Polls the condition; returns false if it does not hold in time.
  template <class Condition> static bool eventually(Condition Holds) {
    for (int I = 0; I < 3000; ++I) {
      if (Holds())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  std::size_t leader() {
    std::size_t Found = ProcessCount;
    eventually([&] {
      for (std::size_t I = 0; I < VoterCount; ++I)
        if (isRunning(I) && at(I).m_Runner->leaseHeld())
          Found = I;
      return Found < ProcessCount;
    });
    return Found;
  }
  // Waits until all running members name the lease holder as the leader: a
  // command forwarded to a stopped leader would be in doubt.
  std::size_t agreedLeader() {
    std::size_t Found = ProcessCount;
    eventually([&] {
      Found = leader();
      for (std::size_t I = 0; I < VoterCount; ++I)
        if (isRunning(I) &&
            at(I).m_Runner->leader() != m_Options.m_Peers[Found].m_Name)
          return false;
      return true;
    });
    return Found;
  }
  bool allVote() {
    return eventually([&] {
      const RaftStatus Status = at(leader()).m_Runner->status();
      std::size_t Voters = 0;
      for (const RaftMember &M : Status.m_Members)
        Voters += M.m_Voter ? 1 : 0;
      return Voters == VoterCount;
    });
  }

private:
  const bool m_SnapshotsBeside;
  std::filesystem::path m_Root;
  RaftRunnerOptions m_Options;
  std::vector<std::shared_ptr<SimulatedDisk>> m_Disks;
  std::vector<std::unique_ptr<ClusterProcess>> m_Processes;
};

} // namespace mangocart

#endif
