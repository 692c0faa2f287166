// Several RaftRunner instances in one process, over real sockets and folders.
#ifndef MANGOCART_TESTS_RUNNERCLUSTER_H
#define MANGOCART_TESTS_RUNNERCLUSTER_H

#include "Core/WorkerPool.h"
#include "Raft/RaftRunner.h"
#include "Raft/StateMachine.h"

#include <boost/asio/post.hpp>

#include <filesystem>
#include <future>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace mangocart {

// Records the names of the requested fences, in order.
class FenceMachine : public StateMachine {
public:
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

  std::string state() const {
    const std::lock_guard Lock(m_Mutex);
    return m_State;
  }
  int restored() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Restored;
  }

private:
  mutable std::mutex m_Mutex;
  std::string m_State;
  int m_Restored = 0;
};

// Simulates the process of one node; its destructor acts like a kill and leaves
// the folder.
struct ClusterProcess {
  ClusterProcess(const RaftRunnerOptions &Options, const PeerEndpoint &Self)
      : m_Workers(2), m_Client(m_Workers), m_Server(m_Workers) {
    m_Runner =
        std::move(RaftRunner::start(Options, m_Machine, m_Workers, m_Client,
                                    m_Server, [](const StorageError &) {})
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
  WorkerPool m_Workers;
  PeerClient m_Client;
  PeerServer m_Server;
  std::unique_ptr<RaftRunner> m_Runner;
};

class RunnerCluster {
public:
  explicit RunnerCluster(std::uint16_t Port, LogIndex SnapshotEntries = 10000)
      : m_Root(std::filesystem::temp_directory_path() /
               ("mangocart-raft-" + std::to_string(::getpid()) + "-" +
                std::to_string(Port))),
        m_Processes(ProcessCount) {
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
    if (I < VoterCount)
      Options.m_DataFolder = folder(I).string();
    m_Processes[I] = std::make_unique<ClusterProcess>(
        Options, m_Options.m_Peers[I].m_Endpoint);
  }
  void stop(std::size_t I) { m_Processes[I].reset(); }
  ClusterProcess &at(std::size_t I) { return *m_Processes[I]; }
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
  std::filesystem::path m_Root;
  RaftRunnerOptions m_Options;
  std::vector<std::unique_ptr<ClusterProcess>> m_Processes;
};

} // namespace mangocart

#endif
