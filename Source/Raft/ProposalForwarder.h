// Forwards proposals between processes: serves /entry/propose, and sends the
// proposals of a process that is not the leader to the leader.
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

  // Implemented by the control thread's object; called from any thread.
  class Owner {
  public:
    virtual ~Owner() = default;
    // Queues a proposal, which is then proposed or refused.
    virtual void submit(PendingProposal Proposal) = 0;
    // See ReplicatedLog::leader().
    virtual std::string leader() const = 0;
  };

  // Self is the name of this node, Voters are the names of all nodes that may
  // be the leader.
  ProposalForwarder(std::string Self,
                    std::map<std::string, PeerEndpoint> Endpoints,
                    std::vector<std::string> Voters, WorkerPool &Workers,
                    PeerClient &Client)
      : m_Self(std::move(Self)), m_Endpoints(std::move(Endpoints)),
        m_Voters(std::move(Voters)), m_Workers(Workers), m_Client(Client) {}

  // Passes proposals of other processes to the receiver while it exists.
  void serve(PeerServer &Server, const std::weak_ptr<Owner> &Receiver);

  // Called on the control thread. Sends the proposal to the leader. While the
  // leader is unknown, a process that is not a member (no Leader given) tries
  // the voters in turn. The proposal is submitted to the receiver again if it
  // is to be retried. Returns false, with the proposal unchanged, if there is
  // no node to send it to.
  bool forward(PendingProposal &Proposal,
               const std::optional<std::string> &Leader,
               std::shared_ptr<Owner> Receiver);

  // The leader named in the last reply; empty if it named none.
  std::string leaderHint() const;

  // Calls the proposal's handler on some worker. Called from any thread.
  void complete(PendingProposal Proposal, Reply Outcome);

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

  // No other lock is taken while this one is held.
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::string m_LeaderHint;
};

} // namespace mangocart

#endif
