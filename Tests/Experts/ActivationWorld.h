// A rank group in lock-step with its gates, coordinators and the log's register
// in one thread, joined by a list of undelivered messages. The seed delivers,
// doubles, loses and reorders them and causes faults. A step in which two ranks
// use different maps, or an engine that is given an older fencing number,
// throws std::logic_error.
#ifndef MANGOCART_TESTS_EXPERTS_ACTIVATIONWORLD_H
#define MANGOCART_TESTS_EXPERTS_ACTIVATIONWORLD_H

#include "Core/Random.h"
#include "Experts/MapCoordinator.h"
#include "Experts/RankGate.h"
#include "State/ExpertMapRegister.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace mangocart::test {

class ActivationWorld {
public:
  explicit ActivationWorld(std::uint64_t Seed);

  // The faulty part, then the end without faults, in which the group must go
  // on and a change must get through.
  void run();

  std::uint64_t stepsDone() const { return m_Step; }
  std::size_t switches() const { return m_Switches; }
  std::size_t calledOff() const { return m_CalledOff; }
  std::size_t joins() const { return m_Incarnation; }
  std::size_t heldSteps() const { return m_HeldSteps; }

private:
  // What the engine does; it ignores fencing numbers.
  struct Engine {
    MapId m_Active;
    MapId m_Spare;
    MapId m_Loading;
    TimePoint m_LoadedAt;
    std::uint64_t m_Number = 0;
  };
  struct RankHost {
    RankGate m_Gate;
    Engine m_Engine;
    bool m_IsRunning = false;
    bool m_IsStepDone = false;
    TimePoint m_StalledUntil;
    TimePoint m_CutUntil;
    std::optional<TimePoint> m_WakeAt;
  };
  struct Coordinator {
    MapCoordinator m_State;
    TimePoint m_FrozenUntil;
    TimePoint m_CutUntil;
    std::optional<TimePoint> m_WakeAt;
  };
  struct Message {
    std::function<void()> m_Deliver;
    std::function<bool()> m_IsHeldBack;
  };

  bool chance(unsigned PerMille) {
    return uniform(m_Random, 1, 1000) <= PerMille;
  }
  TimePoint later(std::uint64_t MostMs);
  void tick();
  void deliverSome();
  void causeFault();
  void replaceRank(std::size_t Rank);
  void addCoordinator();
  void runRanks();
  void runCoordinators();
  void post(Message Item);

  void feed(std::size_t Rank, std::uint64_t Incarnation,
            const GateEvent &Event);
  void perform(std::size_t Rank, const GateEffect &Effect);
  void useMap(std::size_t Rank);
  void load(Engine &At, const LoadMap &Order);
  void feed(std::size_t Index, const CoordinatorEvent &Event);
  void perform(std::size_t Index, const CoordinatorEffect &Effect);
  void propose(std::size_t Index, const ProposeRecord &Effect);
  void report(const MapReport &Report);
  SharedRecord readLog() const;
  ExpertMap anyMap();

  Random m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  bool m_IsFaulty = true;
  std::vector<Message> m_Messages;
  ExpertMapRegister m_Log;
  std::vector<RankHost> m_Ranks;
  // All that were ever started; the last is the one in charge.
  std::vector<Coordinator> m_Coordinators;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Step = 0;
  // Map of the present step, once a rank has started it.
  std::optional<MapId> m_StepMap;
  MapId m_LastMap;
  std::size_t m_Switches = 0;
  std::size_t m_CalledOff = 0;
  std::size_t m_HeldSteps = 0;
};

} // namespace mangocart::test

#endif
