#include "Voter/CatchUpCheck.h"

#include "Voter/DocumentMachine.h"

namespace mangocart {

namespace {

constexpr Duration ProposeTimeout = std::chrono::milliseconds(900);
// Several elections fit into this time.
constexpr Duration MaxWait = std::chrono::seconds(5);

} // namespace

void CatchUpCheck::start() {
  m_Deadline = RuntimeClock::now() + MaxWait;
  // Without evacuations, gateways get the configuration before a leader is
  // elected.
  if (m_Machine.mayHaveEvacuations())
    propose();
  else
    m_Required = 0;
}

bool CatchUpCheck::isCaughtUp() const {
  return m_Machine.evacuations().m_Change >= m_Required ||
         RuntimeClock::now() >= m_Deadline;
}

void CatchUpCheck::propose() {
  schema::Command Command;
  Command.mutable_change_evacuation()->set_expected_change(
      EvacuationChange::NeverExpected);
  m_Log.propose(std::move(Command), ProposeTimeout,
                [Weak = weak_from_this()](
                    const Result<schema::CommandReply, ProposeError> &Reply) {
                  const auto Self = Weak.lock();
                  if (!Self)
                    return;
                  if (!Reply) {
                    if (RuntimeClock::now() < Self->m_Deadline)
                      Self->propose();
                    return;
                  }
                  Self->m_Required = Reply.value().evacuations().change();
                  Self->m_OnProgress();
                });
}

} // namespace mangocart
