// Proposals between processes: answers /entry/propose, and brings the proposals
// of a process that doesn't lead to the one that does.
#ifndef MANGOCART_RAFT_PROPOSALFORWARDER_H
#define MANGOCART_RAFT_PROPOSALFORWARDER_H

#include "Net/PeerStream.h"
#include "Raft/ProposalQueue.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mangocart {

class WorkerPool;

class ProposalForwarder {
public:
  using Reply = Result<schema::CommandReply, ProposeError>;

  // The control thread's side; called from any thread.
  class Owner {
  public:
    virtual ~Owner() = default;
    // Takes in a proposal, to be tried or refused.
    virtual void submit(PendingProposal Proposal) = 0;
    // As ReplicatedLog::leader().
    virtual std::string leader() const = 0;
  };

  // Self is the name of this machine, Voters all that may lead.
  ProposalForwarder(std::string Self,
                    std::map<std::string, PeerEndpoint> Endpoints,
                    std::vector<std::string> Voters, WorkerPool &Workers,
                    PeerClient &Client)
      : m_Self(std::move(Self)), m_Endpoints(std::move(Endpoints)),
        m_Voters(std::move(Voters)), m_Workers(Workers), m_Client(Client) {}

  // Proposals of other processes go to the owner while it lives.
  void serve(PeerServer &Server, const std::weak_ptr<Owner> &Receiver);

  // On the control thread. Sends the proposal to the leader; while it is
  // unknown, a process that is no member (no Leader given) asks one voter after
  // the other. The proposal comes back to the owner if it shall be tried again.
  // False, with the proposal untouched, if there is nobody to send it to.
  bool forward(PendingProposal &Proposal,
               const std::optional<std::string> &Leader,
               std::shared_ptr<Owner> Receiver);

  // The leader that the last answer named; empty when it named none.
  std::string leaderHint() const;

  // Hands the reply to the caller on some worker. From any thread.
  void answer(PendingProposal Proposal, Reply With);

private:
  std::string nextTarget(const std::optional<std::string> &Leader);
  void handleReply(PendingProposal Proposal, std::shared_ptr<Owner> Receiver,
                   const Result<std::string, PeerError> &Bytes);
  void submitAt(TimePoint Due, PendingProposal Proposal,
                std::shared_ptr<Owner> Receiver);

  const std::string m_Self;
  const std::map<std::string, PeerEndpoint> m_Endpoints;
  const std::vector<std::string> m_Voters;
  WorkerPool &m_Workers;
  PeerClient &m_Client;
  // Used only on the control thread.
  std::size_t m_NextVoter = 0;

  // A leaf of the lock order.
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::string m_LeaderHint;
};

} // namespace mangocart

#endif
