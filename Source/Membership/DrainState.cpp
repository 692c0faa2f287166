// State machine of a graceful shutdown.
#include "Membership/DrainState.h"

#include <algorithm>

namespace mangocart {

namespace {

using Effects = std::vector<DrainEffect>;

TimePoint listenDeadline(const DrainState &State) {
  const Duration ListenDuration =
      std::min(State.m_Limits.m_ListenDuration, State.m_Limits.m_MaxDuration);
  return State.m_RequestedAt + ListenDuration;
}

TimePoint drainDeadline(const DrainState &State) {
  return State.m_RequestedAt + State.m_Limits.m_MaxDuration;
}

void finishDrain(DrainState &State, Effects &Out) {
  State.m_Phase = DrainPhase::Drained;
  if (State.m_Outstanding > 0)
    Out.push_back(AbortOutstanding{State.m_Outstanding});
  Out.push_back(AnnounceLeft{});
  Out.push_back(Exit{});
}

void advance(DrainState &State, TimePoint Now, Effects &Out) {
  if (State.m_Phase == DrainPhase::Leaving && Now >= listenDeadline(State)) {
    State.m_Phase = DrainPhase::Finishing;
    Out.push_back(CloseListener{});
    Out.push_back(SetDrainTimer{drainDeadline(State)});
  }
  if (State.m_Phase != DrainPhase::Finishing)
    return;
  if (State.m_Outstanding == 0 || Now >= drainDeadline(State))
    finishDrain(State, Out);
}

void startDrain(DrainState &State, TimePoint Now, Effects &Out) {
  if (State.m_Phase != DrainPhase::Serving)
    return;
  State.m_Phase = DrainPhase::Leaving;
  State.m_RequestedAt = Now;
  Out.push_back(AnnounceLeaving{});
  Out.push_back(SetDrainTimer{listenDeadline(State)});
}

} // namespace

std::vector<DrainEffect> step(DrainState &State, const DrainEvent &Event,
                              TimePoint Now) {
  Effects Out;
  if (std::holds_alternative<DrainRequested>(Event))
    startDrain(State, Now, Out);
  if (std::holds_alternative<WorkStarted>(Event))
    ++State.m_Outstanding;
  if (std::holds_alternative<WorkFinished>(Event) && State.m_Outstanding > 0)
    --State.m_Outstanding;
  advance(State, Now, Out);
  return Out;
}

} // namespace mangocart
