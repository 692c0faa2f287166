// Single-threaded simulation of a deployment for the interleaving test:
// entries, agents, the log as a sequence of commands, callers and operators,
// connected by a list of undelivered messages. Each step delivers, duplicates
// or drops one message, advances the time or injects a fault, depending on the
// seed. The guarantees are checked at each step that could violate them; a
// violation throws std::logic_error.
#ifndef MANGOCART_TESTS_STATE_ATMOSTONCESIMULATION_H
#define MANGOCART_TESTS_STATE_ATMOSTONCESIMULATION_H

#include "Core/Random.h"
#include "State/DeploymentState.h"
#include "State/Settler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangocart::test {

class AtMostOnceSimulation {
public:
  explicit AtMostOnceSimulation(std::uint64_t Seed);

  // Runs the steps with faults, then a phase without faults in which every
  // claim must be settled.
  void run(std::size_t Steps);

  std::size_t starts() const { return m_Starts.size(); }
  std::size_t answered(schema::Outcome Outcome) const;

private:
  struct Message {
    std::function<void()> m_Deliver;
    std::function<void()> m_Drop;
    bool m_MayDuplicate = true;
    // How often the message is skipped before it is delivered.
    std::uint64_t m_SkipCount = 0;
  };
  // A request of a caller to one entry.
  struct CallerRequest {
    std::string m_Key;
    std::uint64_t m_Digest = 0;
    std::size_t m_StartsAtArrival = 0;
    TimePoint m_Deadline;
    std::set<std::uint64_t> m_Claims;
    schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
    bool m_EntryFailed = false;
  };
  // A granted claim, or its start at a backend server. m_FirstClaimNumber is
  // the number of the first claim since the ledger last did not hold the key.
  struct ClaimRun {
    std::string m_Key;
    std::uint64_t m_Digest = 0;
    std::uint64_t m_ClaimNumber = 0;
    std::uint64_t m_FirstClaimNumber = 0;
  };
  struct Agent {
    AgentGuard m_Guard;
    std::uint64_t m_Incarnation = 1;
  };
  // Owner of a settlement: a request at an entry, or a claim at the settler.
  struct Owner {
    bool m_IsSettler = false;
    std::uint64_t m_Generation = 0;
    std::uint64_t m_Id = 0;
    auto operator<=>(const Owner &) const = default;
  };
  // The incarnation that a call has reached; empty before.
  using Stream = std::shared_ptr<std::optional<std::uint64_t>>;

  bool chance(unsigned Percent) { return uniform(m_Random, 1, 100) <= Percent; }
  void send(Message Item);
  void postLocal(const std::function<void()> &Deliver);
  std::uint64_t leaderClockMs() const;
  void deliverNext();
  void injectFault();
  void failEntry(std::size_t Entry);
  void restartAgent(const std::string &Name);
  void changeLeader();
  void fireTimers(bool All);
  void settleRemaining();

  void sendRequest();
  void feed(const Owner &Who, const SettlementEvent &Event);
  void perform(const Owner &Who, const SettlementEffects &Effects);
  void perform(const Owner &Who, const ChooseTarget &Effect);
  void perform(const Owner &Who, const ProposeClaim &Effect);
  void perform(const Owner &Who, const Dispatch &Effect);
  void perform(const Owner &Who, const SendRevoke &Effect);
  void perform(const Owner &Who, const ProposeSettle &Effect);
  void perform(const Owner &Who, const AnswerCaller &Effect);
  void perform(const Owner &Who, const SetTimer &Effect);
  void perform(const Owner &Who, const Finished &Effect);

  using ReplyHandler = std::function<void(const schema::CommandReply &)>;
  void propose(const schema::Command &Command, const ReplyHandler &Done,
               const std::function<void()> &InDoubt,
               const std::function<void()> &NoQuorum);
  schema::CommandReply commit(schema::Command Command);
  void recordGrant(const schema::Claim &Claim, const schema::ClaimReply &Reply);
  void beginAtAgent(const Owner &Who, const Dispatch &Effect);
  void endAtAgent(const Owner &Who, const Dispatch &Effect,
                  std::uint64_t Incarnation);
  void startAtBackend(const ClaimTicket &Ticket);
  void refuse(const Owner &Who, std::uint64_t ClaimNumber, bool ProvesNotRun);
  void runSettler();

  void runOperator();
  void proposeAccept(const schema::Command &Command);
  void checkAccept(const schema::AcceptConfiguration &Accept,
                   const schema::AcceptReply &Reply);
  bool isExpired(const ClaimRun &Started) const;
  void checkAnswer(const CallerRequest &Request,
                   const AnswerCaller &Answer) const;
  void checkEnd() const;

  Random m_Random;
  TimePoint m_Now;
  bool m_IsFaulty = true;
  bool m_HasQuorum = true;
  std::vector<Message> m_Messages;

  DeploymentState m_State;
  DeploymentState m_ReplicaState;
  std::uint64_t m_Index = 0;
  std::uint64_t m_LeaderSkewMs = 0;
  Settler m_Settler;
  std::uint64_t m_SettlerGeneration = 0;

  std::map<std::string, Agent> m_Agents;
  // Settlement and entry by request id. The generation of an entry is
  // incremented when it fails.
  std::map<std::uint64_t, Settlement> m_Requests;
  std::map<std::uint64_t, std::size_t> m_EntryOf;
  std::vector<std::uint64_t> m_EntryGenerations;
  std::map<Owner, TimePoint> m_Timers;

  std::vector<CallerRequest> m_CallerRequests;
  std::vector<ClaimRun> m_Starts;
  std::map<std::uint64_t, ClaimRun> m_Grants;
  std::map<std::string, std::uint64_t> m_FirstClaims;
  // Claims that were settled as not run.
  std::set<std::uint64_t> m_SettledNotRun;

  std::uint64_t m_Operations = 0;
  std::uint64_t m_Version = 0;
  std::vector<schema::Command> m_AcceptCommands;
  std::map<std::string, std::string> m_AcceptReplies;
  std::map<std::uint64_t, std::string> m_Winners;
};

} // namespace mangocart::test

#endif
