// Proposals, their conditions and the responses.
#include "Voter/EvacuationCall.h"

#include "Events/EventLog.h"

#include <boost/asio/dispatch.hpp>

namespace mangocart {

EvacuationCall::EvacuationCall(const ControlFrontDependencies &Dependencies,
                               std::shared_ptr<HttpExchange> Client,
                               OrderEvacuation Order, TimePoint Deadline)
    : m_Dependencies(Dependencies),
      m_Client(std::move(Client)), m_Change{std::move(Order.m_Zone),
                                            Order.m_Withdraw,
                                            EvacuationChange::NeverExpected},
      m_Deadline(Deadline), m_Timer(m_Client->executor()) {}

void EvacuationCall::start() {
  m_Client->onClosed([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->m_IsAbandoned = true;
  });
  m_Timer.expires_at(m_Deadline);
  m_Timer.async_wait([Weak = weak_from_this()](boost::system::error_code E) {
    const auto Self = Weak.lock();
    if (Self && !E && !Self->m_HasEnded)
      Self->endUndecided("no reply of the log in time");
  });
  propose(EvacuationChange::NeverExpected);
}

void EvacuationCall::propose(std::uint64_t Expected) {
  if (m_IsAbandoned)
    return endUndecided("the caller has disconnected");
  const Duration Remaining = m_Deadline - RuntimeClock::now();
  if (Remaining <= Duration::zero())
    return endUndecided("other orders came first until the time was over");
  m_Change.m_Expected = Expected;
  schema::Command Command;
  schema::ChangeEvacuation &Change = *Command.mutable_change_evacuation();
  Change.set_availability_zone(m_Change.m_Zone);
  Change.set_withdraw(m_Change.m_Withdraw);
  Change.set_expected_change(Expected);
  m_Dependencies.m_Log.propose(
      std::move(Command), Remaining,
      [Self = shared_from_this()](Reply Outcome) {
        boost::asio::dispatch(
            Self->m_Client->executor(),
            [Self, Outcome = std::move(Outcome)] { Self->onReply(Outcome); });
      });
}

void EvacuationCall::onReply(const Reply &Outcome) {
  if (m_HasEnded)
    return;
  if (Outcome) {
    // A leader of a program without evacuations changes nothing.
    if (!Outcome.value().has_evacuations())
      return endUndecided("the leader's program knows no evacuations");
    return onState(evacuationsFromSchema(Outcome.value().evacuations()));
  }
  // The command may be proposed twice, since only one of two with the same
  // condition has an effect.
  if (Outcome.error().m_Code == ProposeErrorCode::InDoubt && !m_IsAbandoned &&
      RuntimeClock::now() < m_Deadline)
    return propose(m_Change.m_Expected);
  endUndecided(Outcome.error().m_Detail);
}

void EvacuationCall::onState(const Evacuations &State) {
  const bool IsFirst = m_Change.m_Expected == EvacuationChange::NeverExpected;
  if (IsFirst && !isEvacuated(State, m_Change.m_Zone) &&
      !m_Dependencies.m_IsKnownZone(m_Change.m_Zone))
    return endUnknownZone();
  if (isInEffect(State, m_Change))
    return endStored(State);
  propose(State.m_Change);
}

void EvacuationCall::end(HttpResponse Answer) {
  m_HasEnded = true;
  m_Timer.cancel();
  m_Client->respond(std::move(Answer));
}

void EvacuationCall::endStored(const Evacuations &State) {
  m_Dependencies.m_Events.write(Event::EvacuationStored,
                                {{"availability_zone", m_Change.m_Zone},
                                 {"withdraw", m_Change.m_Withdraw},
                                 {"change", State.m_Change},
                                 {"zones", zoneList(State)}});
  end(m_Dependencies.m_Protocol.accepted());
}

void EvacuationCall::endUndecided(std::string_view Detail) {
  m_Dependencies.m_Events.write(Event::EvacuationUndecided,
                                {{"availability_zone", m_Change.m_Zone},
                                 {"withdraw", m_Change.m_Withdraw},
                                 {"detail", Detail}});
  end(m_Dependencies.m_Protocol.unavailable(Detail));
}

void EvacuationCall::endUnknownZone() {
  const std::string Detail =
      "the availability zone " + m_Change.m_Zone +
      " is neither in the voter's settings nor announced by a backend server";
  HttpResponse Answer = m_Dependencies.m_Protocol.unknownZone(Detail);
  m_Dependencies.m_Events.write(Event::EvacuationRefused,
                                {{"status", Answer.m_Head.m_Status},
                                 {"target", m_Client->request().m_Target},
                                 {"detail", Detail}});
  end(std::move(Answer));
}

} // namespace mangocart
