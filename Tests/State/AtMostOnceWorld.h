// A deployment in one thread for the interleaving test: entries, agents, the
// log as a sequence, callers and operators, joined by a list of undelivered
// messages. Each step delivers, doubles or loses one message, lets time pass,
// or causes a fault, as the seed says; the promises are checked as they could
// be broken. A broken one throws std::logic_error.
#ifndef MANGOCART_TESTS_STATE_ATMOSTONCEWORLD_H
#define MANGOCART_TESTS_STATE_ATMOSTONCEWORLD_H

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

class AtMostOnceWorld {
public:
  explicit AtMostOnceWorld(std::uint64_t Seed);

  // The faulty part, then the end without faults in which all must settle.
  void run(std::size_t Steps);

  std::size_t starts() const { return m_Starts.size(); }
  std::size_t answered(schema::Outcome Outcome) const;

private:
  struct Message {
    std::function<void()> m_Deliver;
    std::function<void()> m_Lose;
    bool m_MayDouble = true;
    // How often the message is passed over before it is delivered.
    std::uint64_t m_Held = 0;
  };
  // One request of a caller, sent to one entry.
  struct Delivery {
    std::string m_Key;
    std::uint64_t m_Digest = 0;
    std::size_t m_ArrivedAfterStarts = 0;
    TimePoint m_Deadline;
    std::set<std::uint64_t> m_Claims;
    schema::Outcome m_Outcome = schema::OUTCOME_UNSPECIFIED;
    bool m_EntryDied = false;
  };
  // A claim, and a start of one at a backend server. m_FirstClaimNumber is that
  // of the first claim since the ledger last did not hold the key.
  struct Run {
    std::string m_Key;
    std::uint64_t m_Digest = 0;
    std::uint64_t m_ClaimNumber = 0;
    std::uint64_t m_FirstClaimNumber = 0;
  };
  struct Agent {
    AgentGuard m_Guard;
    std::uint64_t m_Incarnation = 1;
  };
  // Whose settlement: a delivery at an entry, or a claim at the settler.
  struct Owner {
    bool m_IsSettler = false;
    std::uint64_t m_Generation = 0;
    std::uint64_t m_Id = 0;
    auto operator<=>(const Owner &) const = default;
  };
  // The incarnation that a call reached, once it has reached one.
  using Stream = std::shared_ptr<std::optional<std::uint64_t>>;

  bool chance(unsigned Percent) { return uniform(m_Random, 1, 100) <= Percent; }
  void send(Message Item);
  void later(const std::function<void()> &Deliver);
  std::uint64_t leaderMs() const;
  void deliverSome();
  void causeFault();
  void killEntry(std::size_t Entry);
  void restartAgent(const std::string &Name);
  void changeLeader();
  void wakeSome(bool All);
  void settleRest();

  void sendRequest();
  void feed(const Owner &Who, const SettlementEvent &Event);
  void perform(const Owner &Who, const SettlementEffects &Effects);
  void perform(const Owner &Who, const ChooseTarget &Effect);
  void perform(const Owner &Who, const ProposeClaim &Effect);
  void perform(const Owner &Who, const Dispatch &Effect);
  void perform(const Owner &Who, const SendRevoke &Effect);
  void perform(const Owner &Who, const ProposeSettle &Effect);
  void perform(const Owner &Who, const AnswerCaller &Effect);
  void perform(const Owner &Who, const WakeAt &Effect);
  void perform(const Owner &Who, const Finished &Effect);

  using ReplyHandler = std::function<void(const schema::CommandReply &)>;
  void propose(const schema::Command &Command, const ReplyHandler &Done,
               const std::function<void()> &InDoubt,
               const std::function<void()> &NoQuorum);
  schema::CommandReply commit(schema::Command Command);
  void noteGrant(const schema::Claim &Claim, const schema::ClaimReply &Reply);
  void beginAtAgent(const Owner &Who, const Dispatch &Effect);
  void endAtAgent(const Owner &Who, const Dispatch &Effect,
                  std::uint64_t Incarnation);
  void startAtBackend(const ClaimTicket &Ticket);
  void refuse(const Owner &Who, std::uint64_t ClaimNumber, bool ProvesNotRun);
  void scan();

  void operate();
  void proposeAccept(const schema::Command &Command);
  void checkAccept(const schema::AcceptConfiguration &Accept,
                   const schema::AcceptReply &Reply);
  bool isForgotten(const Run &Started) const;
  void checkAnswer(const Delivery &Request, const AnswerCaller &Answer) const;
  void checkEnd() const;

  Random m_Random;
  TimePoint m_Now;
  bool m_IsFaulty = true;
  bool m_HasQuorum = true;
  std::vector<Message> m_Messages;

  DeploymentState m_State;
  DeploymentState m_Replica;
  std::uint64_t m_Index = 0;
  std::uint64_t m_LeaderSkewMs = 0;
  Settler m_Settler;
  std::uint64_t m_SettlerGeneration = 0;

  std::map<std::string, Agent> m_Agents;
  // By delivery: its settlement and its entry. The generation of an entry grows
  // when it dies.
  std::map<std::uint64_t, Settlement> m_Requests;
  std::map<std::uint64_t, std::size_t> m_EntryOf;
  std::vector<std::uint64_t> m_EntryGenerations;
  std::map<Owner, TimePoint> m_Wakes;

  std::vector<Delivery> m_Deliveries;
  std::vector<Run> m_Starts;
  std::map<std::uint64_t, Run> m_Grants;
  std::map<std::string, std::uint64_t> m_FirstClaims;
  // Claims that were settled as not run.
  std::set<std::uint64_t> m_NotRun;

  std::uint64_t m_Operations = 0;
  std::uint64_t m_Version = 0;
  std::vector<schema::Command> m_Accepts;
  std::map<std::string, std::string> m_AcceptReplies;
  std::map<std::uint64_t, std::string> m_Winners;
};

} // namespace mangocart::test

#endif
