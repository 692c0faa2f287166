// Calls to commands of the log, and their answers.
#include "Voter/ControlFront.h"

#include "Events/EventLog.h"
#include "Voter/DocumentMachine.h"

#include <boost/asio/dispatch.hpp>

namespace mangocart {

namespace {

// Callers go to another voter after a second without an answer.
constexpr Duration ProposeTimeout = std::chrono::milliseconds(900);

} // namespace

void ControlFront::handle(const Exchange &Exchange) {
  std::visit([&](auto Call) { carryOut(Exchange, std::move(Call)); },
             m_Targets.m_Protocol.read(Exchange->request()));
}

void ControlFront::carryOut(const Exchange &For, PutConfiguration Call) {
  const std::uint64_t Version = Call.m_Version;
  // What is applied here is committed: a configuration that isn't newer needs
  // no further agreement.
  if (Version <= m_Targets.m_Machine.document()->m_Version) {
    m_Targets.m_Events.write(
        Event::ConfigurationStored,
        {{"version", Version},
         {"kept", m_Targets.m_Machine.document()->m_Version}});
    return For->respond(m_Targets.m_Protocol.accepted());
  }
  schema::Command Command;
  Command.mutable_put_document()->set_version(Version);
  Command.mutable_put_document()->set_document(std::move(Call.m_Document));
  m_Targets.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [this, For, Version](Result<schema::CommandReply, ProposeError> Reply) {
        boost::asio::dispatch(For->executor(),
                              [this, For, Version, Reply = std::move(Reply)] {
                                answerPut(For, Version, Reply);
                              });
      });
}

void ControlFront::answerPut(
    const Exchange &For, std::uint64_t Version,
    const Result<schema::CommandReply, ProposeError> &Reply) {
  if (Reply) {
    m_Targets.m_Events.write(
        Event::ConfigurationStored,
        {{"version", Version}, {"kept", Reply.value().document().version()}});
    return For->respond(m_Targets.m_Protocol.accepted());
  }
  m_Targets.m_Events.write(
      Event::ConfigurationUndecided,
      {{"version", Version}, {"detail", Reply.error().m_Detail}});
  For->respond(m_Targets.m_Protocol.unavailable(Reply.error().m_Detail));
}

void ControlFront::carryOut(const Exchange &For, const ReadConfiguration &) {
  // A command of its own makes the answer as new as its commit, without a
  // lease: a VM that was suspended can't answer with an old version.
  schema::Command Command;
  Command.set_read_document(true);
  m_Targets.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [this, For](Result<schema::CommandReply, ProposeError> Reply) {
        boost::asio::dispatch(
            For->executor(),
            [this, For, Reply = std::move(Reply)] { answerRead(For, Reply); });
      });
}

void ControlFront::answerRead(
    const Exchange &For,
    const Result<schema::CommandReply, ProposeError> &Reply) {
  const std::uint64_t Version = Reply ? Reply.value().document().version() : 0;
  m_Targets.m_Events.write(
      Event::ConfigurationRead,
      {{"version", Version},
       {"detail", Reply ? "committed" : Reply.error().m_Detail.c_str()}});
  if (Version > 0)
    return For->respond(m_Targets.m_Protocol.configuration(
        Reply.value().document().document()));
  For->respond(m_Targets.m_Protocol.unavailable(
      Reply ? "no configuration was accepted yet" : Reply.error().m_Detail));
}

void ControlFront::carryOut(const Exchange &For, const AnnounceServer &Call) {
  m_Targets.m_Announce(Call.m_Record);
  For->respond(m_Targets.m_Protocol.announced());
}

void ControlFront::carryOut(const Exchange &For, const BadCall &Call) {
  const Event What = Call.m_From == BadCall::From::Operator
                         ? Event::ConfigurationRefused
                         : Event::AnnouncementRefused;
  m_Targets.m_Events.write(What, {{"status", Call.m_Answer.m_Head.m_Status},
                                  {"target", For->request().m_Target},
                                  {"detail", Call.m_Detail}});
  For->respond(Call.m_Answer);
}

} // namespace mangocart
