// One call of an operator that evacuates an availability zone or withdraws
// that, from its arrival to its response.
//
// The first command changes nothing: its reply tells the number of the last
// change, and whether the order is in effect already. The second one holds the
// order, on the condition that this number is still the last one. While another
// order comes first, the command is proposed again with the number of the last
// reply.
//
// The number isn't taken from the state that this voter has applied, because a
// voter that was suspended may find a call whose caller gave up long ago, next
// to the log entries of newer orders. By the reply to the first command it has
// noticed that the caller has disconnected, and proposes nothing more.
#ifndef MANGOCART_VOTER_EVACUATIONCALL_H
#define MANGOCART_VOTER_EVACUATIONCALL_H

#include "Core/Timer.h"
#include "Membership/Evacuations.h"
#include "Voter/ControlFront.h"

#include <memory>
#include <string_view>

namespace mangocart {

// All functions run on the exchange's worker.
class EvacuationCall : public std::enable_shared_from_this<EvacuationCall> {
public:
  // The dependencies must outlive the call.
  EvacuationCall(const ControlFrontDependencies &Dependencies,
                 std::shared_ptr<HttpExchange> Client, OrderEvacuation Order,
                 TimePoint Deadline);

  void start();

private:
  using Reply = Result<schema::CommandReply, ProposeError>;

  // Proposes the change with the number that it expects, while there is time.
  void propose(std::uint64_t Expected);
  void onReply(const Reply &Outcome);
  void onState(const Evacuations &State);
  void end(HttpResponse Answer);
  void endStored(const Evacuations &State);
  void endUndecided(std::string_view Detail);
  void endUnknownZone();

  const ControlFrontDependencies &m_Dependencies;
  const std::shared_ptr<HttpExchange> m_Client;
  // m_Expected is the number in the last proposal.
  EvacuationChange m_Change;
  const TimePoint m_Deadline;
  // Expires at the deadline: the log keeps a proposal for longer while a sync
  // of its disk stalls or the disk is full.
  Timer m_Timer;
  bool m_HasEnded = false;
  // The caller has closed its connection.
  bool m_IsAbandoned = false;
};

} // namespace mangocart

#endif
