// Single-threaded simulation of a rank group with its participants, its
// coordinators and the log's register, connected by a list of undelivered
// messages. The seed determines how messages are delivered, duplicated, lost
// and reordered, and which faults occur. Throws std::logic_error if two ranks
// use different maps in a step or an engine receives an older fencing number.
#ifndef MANGOCART_TESTS_EXPERTS_ACTIVATIONSIMULATION_H
#define MANGOCART_TESTS_EXPERTS_ACTIVATIONSIMULATION_H

#include "Core/Random.h"
#include "Experts/MapCoordinator.h"
#include "Experts/RankParticipant.h"
#include "State/ExpertMapRegister.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace mangocart::test {

class ActivationSimulation {
public:
  explicit ActivationSimulation(std::uint64_t Seed);

  // Runs a phase with faults and then one without, in which the group must make
  // progress and a change must succeed.
  void run();

  std::uint64_t stepsDone() const { return m_Step; }
  std::size_t switches() const { return m_Switches; }
  std::size_t abortedChanges() const { return m_AbortedChanges; }
  std::size_t joins() const { return m_Incarnation; }
  std::size_t heldSteps() const { return m_HeldSteps; }

private:
  // Model of an engine that ignores fencing numbers.
  struct Engine {
    MapId m_Active;
    MapId m_Standby;
    MapId m_Loading;
    TimePoint m_LoadedAt;
    std::uint64_t m_FencingNumber = 0;
  };
  struct RankHost {
    RankParticipant m_Participant;
    Engine m_Engine;
    bool m_IsRunning = false;
    bool m_IsStepDone = false;
    TimePoint m_StalledUntil;
    TimePoint m_DisconnectedUntil;
    std::optional<TimePoint> m_WakeAt;
  };
  struct Coordinator {
    MapCoordinator m_State;
    TimePoint m_PausedUntil;
    TimePoint m_DisconnectedUntil;
    std::optional<TimePoint> m_WakeAt;
  };
  struct Message {
    std::function<void()> m_Deliver;
    std::function<bool()> m_IsDelayed;
  };

  bool chance(unsigned PerMille) {
    return uniform(m_Random, 1, 1000) <= PerMille;
  }
  TimePoint randomTimeWithin(std::uint64_t MaxMs);
  void tick();
  void deliverMessages();
  void injectFault();
  void replaceRank(std::size_t Rank);
  void addCoordinator();
  void runRanks();
  void runCoordinators();
  void sendMessage(Message Item);

  void feed(std::size_t Rank, std::uint64_t Incarnation,
            const ParticipantEvent &Event);
  void perform(std::size_t Rank, const ParticipantEffect &Effect);
  void recordMapUse(std::size_t Rank);
  void load(Engine &At, const LoadMap &Order);
  void feed(std::size_t Index, const CoordinatorEvent &Event);
  void perform(std::size_t Index, const CoordinatorEffect &Effect);
  void propose(std::size_t Index, const ProposeRecord &Effect);
  void report(const MapReport &Report);
  GroupRecordPtr readLog() const;
  ExpertMap randomMap();

  Random m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  bool m_IsFaulty = true;
  std::vector<Message> m_Messages;
  ExpertMapRegister m_Log;
  std::vector<RankHost> m_Ranks;
  // All coordinators that were ever started; the last one is the active one.
  std::vector<Coordinator> m_Coordinators;
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Step = 0;
  // Map of the current step, once a rank has started it.
  std::optional<MapId> m_StepMap;
  MapId m_LastMap;
  std::size_t m_Switches = 0;
  std::size_t m_AbortedChanges = 0;
  std::size_t m_HeldSteps = 0;
};

} // namespace mangocart::test

#endif
