// The propose method and its caller.
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
                              bool Leads) {
  schema::ProposeReply Out;
  Out.set_leader(Leader);
  if (Outcome) {
    Out.set_status(schema::ProposeReply::COMMITTED);
    *Out.mutable_reply() = Outcome.value();
  } else if (Outcome.error().m_Code == ProposeErrorCode::InDoubt) {
    Out.set_status(schema::ProposeReply::IN_DOUBT);
  } else {
    Out.set_status(Leads ? schema::ProposeReply::NO_QUORUM
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
        Proposal.m_Done = [Answer, Receiver, Self](const Reply &Outcome) {
          const auto Here = Receiver.lock();
          const std::string Leader = Here ? Here->leader() : std::string();
          const bool Leads = Here && Leader == Self;
          Answer(toSchema(Outcome, Leader, Leads).SerializeAsString());
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
  const Duration Left = Proposal.m_Deadline - RuntimeClock::now();
  if (!Endpoint || Target == m_Self || Left <= Duration::zero())
    return false;
  Proposal.m_Target = Target;
  schema::ProposeRequest Request;
  *Request.mutable_command() = Proposal.m_Command;
  Request.set_timeout_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Left).count()));
  // The owner, which holds this object, lives until the answer.
  m_Client.call(
      *Endpoint, ProposeMethod, Request.SerializeAsString(), Left,
      [this, Receiver = std::move(Receiver), Sent = std::move(Proposal)](
          const Result<std::string, PeerError> &Bytes) mutable {
        handleReply(std::move(Sent), std::move(Receiver), Bytes);
      });
  return true;
}

// The leader, or while it is unknown one voter after the other.
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

// On a worker. Tries again only when nothing can have been appended.
void ProposalForwarder::handleReply(
    PendingProposal Proposal, std::shared_ptr<Owner> Receiver,
    const Result<std::string, PeerError> &Bytes) {
  schema::ProposeReply Got;
  const bool Answered = Bytes && Got.ParseFromString(Bytes.value());
  const bool Unsent = Bytes.has_error() && Bytes.error().m_NothingSent;
  {
    const std::lock_guard Lock(m_Mutex);
    m_LeaderHint = Answered ? Got.leader() : std::string();
  }
  if (Answered && Got.status() == schema::ProposeReply::COMMITTED) {
    answer(std::move(Proposal), std::move(*Got.mutable_reply()));
    return;
  }
  const bool Refused =
      Answered && (Got.status() == schema::ProposeReply::NOT_LEADER ||
                   Got.status() == schema::ProposeReply::NO_QUORUM);
  if (!Refused && !Unsent) {
    answer(std::move(Proposal),
           inDoubt(Answered ? "the leader could not tell whether it committed"
                            : "the leader's answer was lost"));
    return;
  }
  // At once if the answer names another machine.
  const bool Redirected =
      Answered && !Got.leader().empty() && Got.leader() != Proposal.m_Target;
  submitAt(RuntimeClock::now() +
               (Redirected ? Duration::zero() : ProposalRetryInterval),
           std::move(Proposal), std::move(Receiver));
}

void ProposalForwarder::submitAt(TimePoint Due, PendingProposal Proposal,
                                 std::shared_ptr<Owner> Receiver) {
  if (Due >= Proposal.m_Deadline) {
    answer(std::move(Proposal), noQuorum("no leader took the command in time"));
    return;
  }
  auto Timed = std::make_shared<Timer>(m_Workers.next());
  Timed->expires_at(Due);
  Timed->async_wait(
      [Receiver = std::move(Receiver), Timed,
       Proposal = std::move(Proposal)](boost::system::error_code) mutable {
        Receiver->submit(std::move(Proposal));
      });
}

std::string ProposalForwarder::leaderHint() const {
  const std::lock_guard Lock(m_Mutex);
  return m_LeaderHint;
}

void ProposalForwarder::answer(PendingProposal Proposal, Reply With) {
  boost::asio::post(m_Workers.next(), [Done = std::move(Proposal.m_Done),
                                       With = std::move(With)]() mutable {
    Done(std::move(With));
  });
}

} // namespace mangocart
