// Translates calls into commands of the log, and replies into responses.
#include "Voter/ControlFront.h"

#include "Events/EventLog.h"
#include "Voter/DocumentMachine.h"
#include "Voter/EvacuationCall.h"

#include <boost/asio/dispatch.hpp>

namespace mangocart {

namespace {

// Callers try another voter after a second without a response.
constexpr Duration ProposeTimeout = std::chrono::milliseconds(900);

Event refusalEvent(BadCall::From From) {
  switch (From) {
  case BadCall::From::Operator:
    return Event::ConfigurationRefused;
  case BadCall::From::Evacuation:
    return Event::EvacuationRefused;
  case BadCall::From::BackendServer:
  case BadCall::From::Unknown:
    break;
  }
  return Event::AnnouncementRefused;
}

} // namespace

void ControlFront::handle(const Exchange &Exchange) {
  std::visit([&](auto Call) { handleCall(Exchange, std::move(Call)); },
             m_Dependencies.m_Protocol.read(Exchange->request()));
}

void ControlFront::handleCall(const Exchange &Client, PutConfiguration Call) {
  const std::uint64_t Version = Call.m_Version;
  // What is applied here is committed: a configuration that is not newer needs
  // no proposal.
  if (Version <= m_Dependencies.m_Machine.document()->m_Version) {
    m_Dependencies.m_Events.write(
        Event::ConfigurationStored,
        {{"version", Version},
         {"kept", m_Dependencies.m_Machine.document()->m_Version}});
    return Client->respond(m_Dependencies.m_Protocol.accepted());
  }
  schema::Command Command;
  Command.mutable_put_document()->set_version(Version);
  Command.mutable_put_document()->set_document(std::move(Call.m_Document));
  m_Dependencies.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [this, Client,
       Version](Result<schema::CommandReply, ProposeError> Reply) {
        boost::asio::dispatch(Client->executor(), [this, Client, Version,
                                                   Reply = std::move(Reply)] {
          respondToPut(Client, Version, Reply);
        });
      });
}

void ControlFront::respondToPut(
    const Exchange &Client, std::uint64_t Version,
    const Result<schema::CommandReply, ProposeError> &Reply) {
  if (Reply) {
    m_Dependencies.m_Events.write(
        Event::ConfigurationStored,
        {{"version", Version}, {"kept", Reply.value().document().version()}});
    return Client->respond(m_Dependencies.m_Protocol.accepted());
  }
  m_Dependencies.m_Events.write(
      Event::ConfigurationUndecided,
      {{"version", Version}, {"detail", Reply.error().m_Detail}});
  Client->respond(
      m_Dependencies.m_Protocol.unavailable(Reply.error().m_Detail));
}

void ControlFront::handleCall(const Exchange &Client,
                              const ReadConfiguration &) {
  // Reading by a command guarantees that the response is as recent as the
  // commit, without a lease: a VM that was suspended cannot answer with an old
  // version.
  schema::Command Command;
  Command.set_read_document(true);
  m_Dependencies.m_Log.propose(
      std::move(Command), ProposeTimeout,
      [this, Client](Result<schema::CommandReply, ProposeError> Reply) {
        boost::asio::dispatch(Client->executor(),
                              [this, Client, Reply = std::move(Reply)] {
                                respondToRead(Client, Reply);
                              });
      });
}

void ControlFront::respondToRead(
    const Exchange &Client,
    const Result<schema::CommandReply, ProposeError> &Reply) {
  const std::uint64_t Version = Reply ? Reply.value().document().version() : 0;
  m_Dependencies.m_Events.write(
      Event::ConfigurationRead,
      {{"version", Version},
       {"detail", Reply ? "committed" : Reply.error().m_Detail.c_str()}});
  if (Version > 0)
    return Client->respond(m_Dependencies.m_Protocol.configuration(
        Reply.value().document().document()));
  Client->respond(m_Dependencies.m_Protocol.unavailable(
      Reply ? "no configuration was accepted yet" : Reply.error().m_Detail));
}

void ControlFront::handleCall(const Exchange &Client, OrderEvacuation Call) {
  std::make_shared<EvacuationCall>(m_Dependencies, Client, std::move(Call),
                                   RuntimeClock::now() + ProposeTimeout)
      ->start();
}

void ControlFront::handleCall(const Exchange &Client,
                              const AnnounceServer &Call) {
  m_Dependencies.m_Announce(Call.m_Record,
                            [this, Client, Record = Call.m_Record](
                                const Result<void, std::string> &Stored) {
                              respondToAnnouncement(Client, Record, Stored);
                            });
}

void ControlFront::respondToAnnouncement(
    const Exchange &Client, const Member &Record,
    const Result<void, std::string> &Stored) {
  if (Stored)
    return Client->respond(m_Dependencies.m_Protocol.announced());
  m_Dependencies.m_Events.write(
      Event::DepartureUnconfirmed,
      {{"backend_server", Record.m_BackendServer},
       {"state", static_cast<unsigned>(Record.m_State)},
       {"detail", Stored.error()}});
  Client->respond(m_Dependencies.m_Protocol.unavailable(Stored.error()));
}

void ControlFront::handleCall(const Exchange &Client, const BadCall &Call) {
  m_Dependencies.m_Events.write(refusalEvent(Call.m_From),
                                {{"status", Call.m_Answer.m_Head.m_Status},
                                 {"target", Client->request().m_Target},
                                 {"detail", Call.m_Detail}});
  Client->respond(Call.m_Answer);
}

} // namespace mangocart
