// Looks at the work in flight while a daemon drains.
#include "Daemon/DrainController.h"

#include "Core/PostTask.h"

namespace mangocart {

namespace {
constexpr Duration LookInterval = std::chrono::milliseconds(20);
// For the last announcement and the last answers to leave the sockets.
constexpr Duration LastWords = std::chrono::milliseconds(200);
} // namespace

DrainController::DrainController(boost::asio::io_context &Worker,
                                 const DrainLimits &Limits,
                                 DrainActions Actions)
    : m_Timer(Worker), m_Actions(std::move(Actions)) {
  m_State.m_Limits = Limits;
}

void DrainController::request() {
  postTask(m_Timer.get_executor(), [this] { begin(); });
}

void DrainController::begin() {
  if (m_Begun)
    return;
  m_Begun = true;
  m_State.m_Outstanding = m_Actions.m_Outstanding();
  feed(DrainRequested{});
  look();
}

void DrainController::look() {
  if (m_State.m_Phase == DrainPhase::Drained)
    return;
  m_Timer.expires_after(LookInterval);
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    const std::size_t Outstanding = m_Actions.m_Outstanding();
    while (m_State.m_Outstanding < Outstanding)
      feed(WorkStarted{});
    while (m_State.m_Outstanding > Outstanding)
      feed(WorkFinished{});
    if (RuntimeClock::now() >= m_WakeAt)
      feed(DrainTimerExpired{});
    look();
  });
}

void DrainController::feed(const DrainEvent &Event) {
  for (const DrainEffect &Effect : step(m_State, Event, RuntimeClock::now()))
    std::visit([this](const auto &Each) { carryOut(Each); }, Effect);
}

void DrainController::carryOut(const AnnounceLeaving &) {
  m_Actions.m_AnnounceLeaving();
}

void DrainController::carryOut(const CloseListener &) {
  m_Actions.m_CloseListener();
}

void DrainController::carryOut(const AbortOutstanding &Effect) {
  m_CutOff = Effect.m_Outstanding;
  if (m_Actions.m_EndOutstanding)
    m_Actions.m_EndOutstanding();
}

void DrainController::carryOut(const AnnounceLeft &) {
  m_Actions.m_AnnounceLeft();
}

void DrainController::carryOut(const Exit &) {
  m_Timer.expires_after(LastWords);
  m_Timer.async_wait(
      [this](boost::system::error_code) { m_Actions.m_Exit(m_CutOff); });
}

void DrainController::carryOut(const SetDrainTimer &Effect) {
  m_WakeAt = Effect.m_When;
}

} // namespace mangocart
