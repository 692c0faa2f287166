// Applies commands at once, or sends them to the entry that does.
#include "Entry/SoleLog.h"

#include "Net/UnaryMethod.h"

namespace mangocart {

namespace {
constexpr const char *ProposeMethod = "/entry/propose";
} // namespace

SoleLog::SoleLog(const schema::EntrySettings &Settings, PeerClient &Peers,
                 PeerServer &Server, DeploymentMachine &Machine)
    : m_Settings(Settings), m_Peers(Peers), m_Machine(Machine) {
  for (const schema::PeerAddress &Entry : Settings.entries())
    if (Entry.voter() && m_Leader.name().empty())
      m_Leader = Entry;
  addUnaryMethod<schema::ProposeRequest>(
      Server, ProposeMethod, [this](const schema::ProposeRequest &Request) {
        schema::ProposeReply Reply;
        Reply.set_status(schema::ProposeReply::COMMITTED);
        *Reply.mutable_reply() = apply(Request.command());
        return Reply;
      });
}

schema::CommandReply SoleLog::apply(schema::Command Command) {
  const std::lock_guard Lock(m_Mutex);
  Command.set_leader_time_ms(RuntimeClock::wallMilliseconds());
  schema::CommandReply Reply;
  Reply.ParseFromString(
      m_Machine.apply(++m_Index, Command.SerializeAsString()));
  return Reply;
}

void SoleLog::propose(schema::Command Command, Duration Timeout,
                      ProposeHandler Done) {
  if (m_Leader.name() == m_Settings.name())
    return Done(apply(std::move(Command)));
  schema::ProposeRequest Request;
  *Request.mutable_command() = std::move(Command);
  m_Peers.call(
      {m_Leader.address(), static_cast<std::uint16_t>(m_Leader.peer_port())},
      ProposeMethod, Request.SerializeAsString(), Timeout,
      [Done = std::move(Done)](const Result<std::string, PeerError> &Bytes) {
        schema::ProposeReply Reply;
        if (Bytes && Reply.ParseFromString(Bytes.value()))
          return Done(Reply.reply());
        const bool NothingSent =
            Bytes.has_error() && Bytes.error().m_NothingSent;
        Done(ProposeError{NothingSent ? ProposeErrorCode::NoQuorum
                                      : ProposeErrorCode::InDoubt,
                          "the leader did not answer"});
      });
}

} // namespace mangocart
