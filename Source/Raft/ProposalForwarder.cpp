// Server and client side of the propose method.
#include "Raft/ProposalForwarder.h"

#include "Core/Timer.h"
#include "Core/WorkerPool.h"
#include "Net/UnaryMethod.h"
#include "Raft/RaftPeers.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace mangocart {

namespace {

constexpr const char *ProposeMethod = "/entry/propose";
constexpr Duration DefaultTimeout = std::chrono::seconds(5);

using Reply = ProposalForwarder::Reply;

schema::ProposeReply toSchema(const Reply &Outcome, const std::string &Leader,
                              bool IsLeader) {
  schema::ProposeReply Out;
  Out.set_leader(Leader);
  if (Outcome) {
    Out.set_status(schema::ProposeReply::COMMITTED);
    *Out.mutable_reply() = Outcome.value();
  } else if (Outcome.error().m_Code == ProposeErrorCode::InDoubt) {
    Out.set_status(schema::ProposeReply::IN_DOUBT);
  } else {
    Out.set_status(IsLeader ? schema::ProposeReply::NO_QUORUM
                            : schema::ProposeReply::NOT_LEADER);
  }
  return Out;
}

} // namespace

void ProposalForwarder::serve(PeerServer &Server,
                              const std::weak_ptr<Owner> &Receiver) {
  addAsyncMethod(
      Server, ProposeMethod,
      [Receiver, Self = m_Self](std::string_view Bytes,
                                const UnaryAnswer &Answer) {
        const auto Live = Receiver.lock();
        schema::ProposeRequest Request;
        if (!Live || !Request.ParseFromArray(Bytes.data(),
                                             static_cast<int>(Bytes.size())))
          return false;
        PendingProposal Proposal;
        const Duration Timeout =
            std::chrono::milliseconds(Request.timeout_ms());
        Proposal.m_Deadline =
            RuntimeClock::now() +
            (Timeout == Duration::zero() ? DefaultTimeout : Timeout);
        Proposal.m_Command = std::move(*Request.mutable_command());
        Proposal.m_Forwarded = true;
        Proposal.m_Handler = [Answer, Receiver, Self](const Reply &Outcome) {
          const auto Locked = Receiver.lock();
          const std::string Leader = Locked ? Locked->leader() : std::string();
          const bool IsLeader = Locked && Leader == Self;
          Answer(toSchema(Outcome, Leader, IsLeader).SerializeAsString());
        };
        Live->submit(std::move(Proposal));
        return true;
      });
}

bool ProposalForwarder::forward(PendingProposal &Proposal,
                                const std::optional<std::string> &Leader,
                                std::shared_ptr<Owner> Receiver) {
  const std::string Target = nextTarget(Leader);
  const auto Endpoint = findEndpoint(m_Endpoints, Target);
  const Duration Remaining = Proposal.m_Deadline - RuntimeClock::now();
  if (!Endpoint || Target == m_Self || Remaining <= Duration::zero())
    return false;
  Proposal.m_Target = Target;
  schema::ProposeRequest Request;
  *Request.mutable_command() = Proposal.m_Command;
  Request.set_timeout_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Remaining).count()));
  // Receiver keeps the owner, and this object with it, alive until the reply.
  m_Client.call(
      *Endpoint, ProposeMethod, Request.SerializeAsString(), Remaining,
      [this, Receiver = std::move(Receiver), Sent = std::move(Proposal)](
          const Result<std::string, PeerError> &Bytes) mutable {
        handleReply(std::move(Sent), std::move(Receiver), Bytes);
      });
  return true;
}

// The leader, or, while it is unknown, the next voter in round-robin order.
std::string
ProposalForwarder::nextTarget(const std::optional<std::string> &Leader) {
  if (Leader)
    return *Leader;
  std::string Hint = leaderHint();
  if (!Hint.empty())
    return Hint;
  return m_Voters.empty() ? std::string()
                          : m_Voters[m_NextVoter++ % m_Voters.size()];
}

// Runs on a worker. Retries only if the command cannot have been appended.
void ProposalForwarder::handleReply(
    PendingProposal Proposal, std::shared_ptr<Owner> Receiver,
    const Result<std::string, PeerError> &Bytes) {
  schema::ProposeReply Response;
  const bool Answered = Bytes && Response.ParseFromString(Bytes.value());
  const bool NothingSent = Bytes.has_error() && Bytes.error().m_NothingSent;
  {
    const std::lock_guard Lock(m_Mutex);
    m_LeaderHint = Answered ? Response.leader() : std::string();
  }
  if (Answered && Response.status() == schema::ProposeReply::COMMITTED) {
    complete(std::move(Proposal), std::move(*Response.mutable_reply()));
    return;
  }
  const bool Refused =
      Answered && (Response.status() == schema::ProposeReply::NOT_LEADER ||
                   Response.status() == schema::ProposeReply::NO_QUORUM);
  if (!Refused && !NothingSent) {
    complete(std::move(Proposal),
             inDoubt(Answered ? "the leader could not tell whether it committed"
                              : "the leader's answer was lost"));
    return;
  }
  // Retries without a delay if the reply names another node as the leader.
  const bool Redirected = Answered && !Response.leader().empty() &&
                          Response.leader() != Proposal.m_Target;
  submitAt(RuntimeClock::now() +
               (Redirected ? Duration::zero() : ProposalRetryInterval),
           std::move(Proposal), std::move(Receiver));
}

void ProposalForwarder::submitAt(TimePoint Due, PendingProposal Proposal,
                                 std::shared_ptr<Owner> Receiver) {
  if (Due >= Proposal.m_Deadline) {
    complete(std::move(Proposal),
             noQuorum("no leader took the command in time"));
    return;
  }
  auto RetryTimer = std::make_shared<Timer>(m_Workers.next());
  RetryTimer->expires_at(Due);
  RetryTimer->async_wait(
      [Receiver = std::move(Receiver), RetryTimer,
       Proposal = std::move(Proposal)](boost::system::error_code) mutable {
        Receiver->submit(std::move(Proposal));
      });
}

std::string ProposalForwarder::leaderHint() const {
  const std::lock_guard Lock(m_Mutex);
  return m_LeaderHint;
}

void ProposalForwarder::complete(PendingProposal Proposal, Reply Outcome) {
  boost::asio::post(m_Workers.next(), [Done = std::move(Proposal.m_Handler),
                                       Outcome = std::move(Outcome)]() mutable {
    Done(std::move(Outcome));
  });
}

} // namespace mangocart
