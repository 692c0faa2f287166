// Answers the calls of operators and backend servers at a voter.
#ifndef MANGOCART_VOTER_CONTROLFRONT_H
#define MANGOCART_VOTER_CONTROLFRONT_H

#include "Http/HttpServer.h"
#include "Raft/ReplicatedLog.h"
#include "Voter/ControlProtocol.h"

#include <functional>

namespace mangocart {

class DocumentMachine;
class EventLog;

struct ControlTargets {
  const ControlProtocol &m_Protocol;
  EventLog &m_Events;
  const DocumentMachine &m_Machine;
  ReplicatedLog &m_Log;
  // Takes an announcement in and has it on its way to the gateways when it
  // returns.
  std::function<void(const Member &)> m_Announce;
};

class ControlFront {
public:
  explicit ControlFront(ControlTargets Targets)
      : m_Targets(std::move(Targets)) {}

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void carryOut(const Exchange &For, PutConfiguration Call);
  void carryOut(const Exchange &For, const ReadConfiguration &Call);
  void carryOut(const Exchange &For, const AnnounceServer &Call);
  void carryOut(const Exchange &For, const BadCall &Call);
  void answerPut(const Exchange &For, std::uint64_t Version,
                 const Result<schema::CommandReply, ProposeError> &Reply);
  void answerRead(const Exchange &For,
                  const Result<schema::CommandReply, ProposeError> &Reply);

  const ControlTargets m_Targets;
};

} // namespace mangocart

#endif
