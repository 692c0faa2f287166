// Handles the calls of operators and backend servers to a voter.
#ifndef MANGOCART_VOTER_CONTROLFRONT_H
#define MANGOCART_VOTER_CONTROLFRONT_H

#include "Http/HttpServer.h"
#include "Raft/ReplicatedLog.h"
#include "Voter/ChangeConfirmation.h"
#include "Voter/ControlProtocol.h"

#include <functional>

namespace mangocart {

class DocumentMachine;
class EventLog;

struct ControlFrontDependencies {
  const ControlProtocol &m_Protocol;
  EventLog &m_Events;
  const DocumentMachine &m_Machine;
  ReplicatedLog &m_Log;
  // Stores an announcement and calls Done once it may be acknowledged, or can't
  // be; then the error says why. Done is called on the exchange's worker.
  std::function<void(const Member &, ConfirmationHandler Done)> m_Announce;
  // Whether the settings name the availability zone or a backend server in it
  // has announced itself.
  std::function<bool(const std::string &)> m_IsKnownZone;
};

class ControlFront {
public:
  explicit ControlFront(ControlFrontDependencies Dependencies)
      : m_Dependencies(std::move(Dependencies)) {}

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void handleCall(const Exchange &Client, PutConfiguration Call);
  void handleCall(const Exchange &Client, const ReadConfiguration &Call);
  void handleCall(const Exchange &Client, OrderEvacuation Call);
  void handleCall(const Exchange &Client, const AnnounceServer &Call);
  void respondToAnnouncement(const Exchange &Client, const Member &Record,
                             const Result<void, std::string> &Stored);
  void handleCall(const Exchange &Client, const BadCall &Call);
  void respondToPut(const Exchange &Client, std::uint64_t Version,
                    const Result<schema::CommandReply, ProposeError> &Reply);
  void respondToRead(const Exchange &Client,
                     const Result<schema::CommandReply, ProposeError> &Reply);

  const ControlFrontDependencies m_Dependencies;
};

} // namespace mangocart

#endif
