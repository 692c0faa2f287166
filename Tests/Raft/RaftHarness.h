// Runs the decisions of a few members in one thread. The harness holds the
// undelivered messages and the disks, chooses every fault from one seed, and
// checks the invariants after every step; a broken one throws.
#ifndef MANGOCART_TESTS_RAFTHARNESS_H
#define MANGOCART_TESTS_RAFTHARNESS_H

#include "Raft/RaftNode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

// What survives a kill.
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
  // Nothing while the process is down.
  std::optional<RaftState> m_State;
  // Effects that a frozen process has still to carry out.
  std::vector<RaftEffect> m_Pending;
  // Being made; nothing of it is on the disk.
  SnapshotPtr m_Late;
  bool m_Frozen = false;
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
  void finishSnapshotsLate() { m_LateSnapshots = true; }
  // Before any other function: only the first machines are known at the start,
  // and any may join.
  void openMembership(const OpenMembership &Open, std::size_t KnownAtStart);
  // Random operations and faults.
  void runFaults(int Steps);
  // No faults: true when all machines vote again under the storage ids that
  // they have now, and a new command is applied by all.
  bool recover();
  // Delivers what is on its way and advances the clock, without faults.
  void runQuietly(Duration Time);

  // One line a member, for a failed run.
  std::string describe() const;
  HarnessNode *leader();
  void propose(HarnessNode &N, int Count);
  // One event, or several with one sync for all.
  void handle(HarnessNode &N, const std::vector<RaftEvent> &Events);
  void kill(HarnessNode &N);
  void restart(HarnessNode &N);
  void loseDisk(HarnessNode &N);
  TimePoint now(const HarnessNode &N) const;
  std::vector<HarnessNode> &nodes() { return m_Nodes; }
  const HarnessCounts &counts() const { return m_Counts; }

private:
  struct EntryMark {
    std::uint64_t m_Hash = 0;
    Term m_PreviousTerm = 0;
    bool operator==(const EntryMark &) const = default;
  };
  struct CommitMark {
    Term m_Term = 0;
    std::uint64_t m_Digest = 0;
    bool operator==(const CommitMark &) const = default;
  };

  bool chance(unsigned Percent);
  HarnessNode &randomNode();
  void randomFault();
  void startOneThatIsDown();
  void thaw(HarnessNode &N);
  void deliverOne(bool Faulty);
  void tickAll();
  void takeSnapshot(HarnessNode &N);
  void changeMembers(HarnessNode &N);
  void cut();
  bool mayLoseDisk() const;
  bool allVote();
  void carryOut(HarnessNode &N, std::vector<RaftEffect> Effects);
  void carryOutOne(HarnessNode &N, const RaftEffect &Effect);
  void persist(HarnessNode &N, const PersistLog &P, std::size_t MaxRecords);
  void save(HarnessNode &N, const SaveSnapshot &S);
  void apply(HarnessNode &N, const Apply &A);
  void send(HarnessNode &N, const RaftMessage &M);
  void checkStep(HarnessNode &N, const std::vector<RaftEffect> &Effects);
  void checkEntries(const HarnessNode &N, const EntryList &Entries);
  void checkLeader(const HarnessNode &N);
  void noteLeader(const MemberId &Id, Term OfTerm);
  void checkLeases() const;

  Random m_Random;
  RaftLimits m_Limits;
  std::vector<HarnessNode> m_Nodes;
  std::vector<RaftMessage> m_Undelivered;
  // Held back until a fault lets them go.
  std::vector<RaftMessage> m_Delayed;
  std::set<std::pair<std::string, std::string>> m_Cut;
  Duration m_Time{0};
  bool m_Faults = false;
  bool m_LateSnapshots = false;
  std::optional<OpenMembership> m_Open;
  // Machines whose names the others have at the start.
  std::size_t m_KnownAtStart = 0;
  std::uint64_t m_NextProposal = 1;
  std::uint64_t m_NextStorageId = 1;
  HarnessCounts m_Counts;

  std::map<Term, MemberId> m_Leaders;
  std::map<std::pair<Term, MemberId>, MemberId> m_Votes;
  std::map<std::pair<LogIndex, Term>, EntryMark> m_Entries;
  std::map<LogIndex, CommitMark> m_Committed;
};

} // namespace mangocart

#endif
