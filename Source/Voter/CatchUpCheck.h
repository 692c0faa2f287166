// Tells whether a voter that has started knows all evacuations that were
// acknowledged before. After a loss of power everywhere, a voter has its last
// snapshot until a leader is elected; a gateway that got its first
// configuration from it would send requests to zones evacuated since the
// snapshot.
#ifndef MANGOCART_VOTER_CATCHUPCHECK_H
#define MANGOCART_VOTER_CATCHUPCHECK_H

#include "Core/RuntimeClock.h"
#include "Membership/Evacuations.h"
#include "Raft/ReplicatedLog.h"

#include <atomic>
#include <functional>
#include <memory>

namespace mangocart {

class DocumentMachine;

// Thread-safe.
class CatchUpCheck : public std::enable_shared_from_this<CatchUpCheck> {
public:
  // OnProgress is called when the answer of isCaughtUp() may have changed.
  CatchUpCheck(const DocumentMachine &Machine, ReplicatedLog &Log,
               std::function<void()> OnProgress)
      : m_Machine(Machine), m_Log(Log), m_OnProgress(std::move(OnProgress)) {}

  // Called once, when the log runs. A voter whose stored state has no
  // evacuations is caught up at once.
  void start();
  // Stays true. Is true without a majority as well after some seconds, since
  // gateways without a configuration could serve nobody.
  bool isCaughtUp() const;

private:
  void propose();

  const DocumentMachine &m_Machine;
  ReplicatedLog &m_Log;
  const std::function<void()> m_OnProgress;
  // Set by start().
  TimePoint m_Deadline;
  // Number of the last change when a majority replied; NeverExpected before.
  std::atomic<std::uint64_t> m_Required{EvacuationChange::NeverExpected};
};

} // namespace mangocart

#endif
