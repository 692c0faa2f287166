// Carries out the drain of a daemon: feeds the decision with the work in flight
// and acts on its effects. Nothing is counted before the drain begins.
#ifndef MANGOCART_DAEMON_DRAINCONTROLLER_H
#define MANGOCART_DAEMON_DRAINCONTROLLER_H

#include "Core/Timer.h"
#include "Membership/DrainState.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace mangocart {

struct DrainActions {
  // Work that has begun or that may still arrive. Must not be 0 before
  // m_CloseListener has taken effect, and must stay 0 after that.
  std::function<std::size_t()> m_Outstanding;
  std::function<void()> m_AnnounceLeaving;
  std::function<void()> m_CloseListener;
  // Completes the work that is still in flight at the end of the drain. Without
  // a function it is cut off by the exit.
  std::function<void()> m_EndOutstanding;
  std::function<void()> m_AnnounceLeft;
  // The argument is the number of requests that were cut off.
  std::function<void(std::size_t)> m_Exit;
};

// All functions but request() run on the worker.
class DrainController {
public:
  DrainController(boost::asio::io_context &Worker, const DrainLimits &Limits,
                  DrainActions Actions);

  // From any thread; a second request changes nothing.
  void request();

private:
  void begin();
  void look();
  void feed(const DrainEvent &Event);
  void carryOut(const AnnounceLeaving &);
  void carryOut(const CloseListener &);
  void carryOut(const AbortOutstanding &Effect);
  void carryOut(const AnnounceLeft &);
  void carryOut(const Exit &);
  void carryOut(const SetDrainTimer &Effect);

  Timer m_Timer;
  DrainState m_State;
  DrainActions m_Actions;
  TimePoint m_WakeAt;
  std::size_t m_CutOff = 0;
  bool m_Begun = false;
};

} // namespace mangocart

#endif
