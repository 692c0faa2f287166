// Steps of a graceful shutdown.
#include "Membership/DrainState.h"

#include <algorithm>

namespace mangocart {

namespace {

using Effects = std::vector<DrainEffect>;

TimePoint listenUntil(const DrainState &State) {
  const Duration Keep =
      std::min(State.m_Limits.m_KeepListening, State.m_Limits.m_Maximum);
  return State.m_RequestedAt + Keep;
}

TimePoint endOf(const DrainState &State) {
  return State.m_RequestedAt + State.m_Limits.m_Maximum;
}

void leave(DrainState &State, Effects &Out) {
  State.m_Phase = DrainPhase::Drained;
  if (State.m_Outstanding > 0)
    Out.push_back(CutOff{State.m_Outstanding});
  Out.push_back(AnnounceLeft{});
  Out.push_back(Exit{});
}

void advance(DrainState &State, TimePoint Now, Effects &Out) {
  if (State.m_Phase == DrainPhase::Leaving && Now >= listenUntil(State)) {
    State.m_Phase = DrainPhase::Finishing;
    Out.push_back(CloseListener{});
    Out.push_back(DrainWakeAt{endOf(State)});
  }
  if (State.m_Phase != DrainPhase::Finishing)
    return;
  if (State.m_Outstanding == 0 || Now >= endOf(State))
    leave(State, Out);
}

void request(DrainState &State, TimePoint Now, Effects &Out) {
  if (State.m_Phase != DrainPhase::Serving)
    return;
  State.m_Phase = DrainPhase::Leaving;
  State.m_RequestedAt = Now;
  Out.push_back(AnnounceLeaving{});
  Out.push_back(DrainWakeAt{listenUntil(State)});
}

} // namespace

std::vector<DrainEffect> step(DrainState &State, const DrainEvent &Event,
                              TimePoint Now) {
  Effects Out;
  if (std::holds_alternative<DrainRequested>(Event))
    request(State, Now, Out);
  if (std::holds_alternative<WorkStarted>(Event))
    ++State.m_Outstanding;
  if (std::holds_alternative<WorkFinished>(Event) && State.m_Outstanding > 0)
    --State.m_Outstanding;
  advance(State, Now, Out);
  return Out;
}

} // namespace mangocart
