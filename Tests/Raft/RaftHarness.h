// Runs the Raft algorithm of a few members in one thread. The harness owns the
// undelivered messages and the disks, chooses every fault from one seed, and
// checks the invariants after every step; a violation throws.
#ifndef MANGOCART_TESTS_RAFTHARNESS_H
#define MANGOCART_TESTS_RAFTHARNESS_H

#include "Raft/RaftNode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

// State that survives a kill.
struct HarnessDisk {
  std::string m_StorageId;
  RecoveredState m_State;

  bool empty() const {
    return m_State.m_Entries.empty() && !m_State.m_Snapshot;
  }
};

struct HarnessNode {
  std::string m_Name;
  HarnessDisk m_Disk;
  // Empty while the process is down.
  std::optional<RaftState> m_State;
  // Effects that a paused process has not executed yet.
  std::vector<RaftEffect> m_Pending;
  // A snapshot in progress; nothing of it is on the disk.
  SnapshotPtr m_UnfinishedSnapshot;
  bool m_Paused = false;
  // Set once the process was asked to stop: when it exits at the latest.
  std::optional<Duration> m_StopDeadline;
  double m_ClockRate = 1.0;
  Duration m_ClockOffset{0};
  LogIndex m_Applied = 0;
  std::uint64_t m_Digest = 0;
};

struct HarnessCounts {
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
  std::uint64_t m_Syncs = 0;
  std::uint64_t m_Elections = 0;
  std::uint64_t m_Committed = 0;
  std::uint64_t m_DisksLost = 0;
};

class RaftHarness {
public:
  RaftHarness(std::uint64_t Seed, std::size_t NodeCount,
              const RaftLimits &Limits);

  // From now on a snapshot becomes ready only some time after its index was
  // applied, or never.
  void delaySnapshots() { m_DelaySnapshots = true; }
  // Called before any other function: only the first KnownAtStart nodes are
  // known at the start, and any node may join.
  void openMembership(const OpenMembership &Open, std::size_t KnownAtStart);
  // Executes random operations and faults.
  void runFaults(int Steps);
  // Runs without faults; returns true if all nodes are voters again under their
  // current storage ids and all of them apply a new command.
  bool recover();
  // Delivers pending messages and advances the clock, without faults.
  void runWithoutFaults(Duration Time);
  // Delivers a single message, or advances the clock by a short time if there
  // is none.
  void runOneStep();

  // One line per member, for the report of a failed run.
  std::string describe() const;
  HarnessNode *leader();
  void propose(HarnessNode &N, int Count);
  // Handles the events with one sync for all of them.
  void handle(HarnessNode &N, const std::vector<RaftEvent> &Events);
  void kill(HarnessNode &N);
  // Asks the process to stop; it ends once it may, or after the timeout.
  void stop(HarnessNode &N);
  void restart(HarnessNode &N);
  void loseDisk(HarnessNode &N);
  TimePoint now(const HarnessNode &N) const;
  std::vector<HarnessNode> &nodes() { return m_Nodes; }
  const HarnessCounts &counts() const { return m_Counts; }

private:
  struct EntryRecord {
    std::uint64_t m_Hash = 0;
    Term m_PreviousTerm = 0;
    bool operator==(const EntryRecord &) const = default;
  };
  struct CommitRecord {
    Term m_Term = 0;
    std::uint64_t m_Digest = 0;
    bool operator==(const CommitRecord &) const = default;
  };

  bool chance(unsigned Percent);
  HarnessNode &randomNode();
  void randomFault();
  void restartStoppedNode();
  void resume(HarnessNode &N);
  void deliverOne(bool Faulty);
  void tickAll();
  void endStoppedNodes();
  void takeSnapshot(HarnessNode &N);
  void changeMembers(HarnessNode &N);
  void blockLinks();
  bool canLoseDisk() const;
  bool allVote();
  void executeEffects(HarnessNode &N, std::vector<RaftEffect> Effects);
  void executeEffect(HarnessNode &N, const RaftEffect &Effect);
  void persist(HarnessNode &N, const PersistLog &P, std::size_t MaxRecords);
  void save(HarnessNode &N, const SaveSnapshot &S);
  void apply(HarnessNode &N, const Apply &A);
  void send(HarnessNode &N, const RaftMessage &M);
  void checkStep(HarnessNode &N, const std::vector<RaftEffect> &Effects);
  void checkEntries(const HarnessNode &N, const EntryList &Entries);
  void checkLeader(const HarnessNode &N);
  void recordLeader(const MemberId &Id, Term LeaderTerm);
  void checkLeases() const;

  Random m_Random;
  RaftLimits m_Limits;
  std::vector<HarnessNode> m_Nodes;
  std::vector<RaftMessage> m_Undelivered;
  // Delayed until a fault releases them.
  std::vector<RaftMessage> m_Delayed;
  std::set<std::pair<std::string, std::string>> m_BlockedLinks;
  Duration m_Time{0};
  bool m_Faults = false;
  bool m_DelaySnapshots = false;
  std::optional<OpenMembership> m_OpenMembership;
  // Number of nodes whose names are known at the start.
  std::size_t m_KnownAtStart = 0;
  std::uint64_t m_NextProposal = 1;
  std::uint64_t m_NextStorageId = 1;
  HarnessCounts m_Counts;

  std::map<Term, MemberId> m_Leaders;
  std::map<std::pair<Term, MemberId>, MemberId> m_Votes;
  std::map<std::pair<LogIndex, Term>, EntryRecord> m_Entries;
  std::map<LogIndex, CommitRecord> m_Committed;
  // Term of the member that was the first to apply the committed entry.
  std::map<LogIndex, Term> m_CommittedInTerm;
};

} // namespace mangocart

#endif
