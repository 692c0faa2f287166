// The deterministic state machine that the replicated log drives. Each voter
// and each learner has a copy and applies the same commands in the same order.
#ifndef MANGOCART_RAFT_STATEMACHINE_H
#define MANGOCART_RAFT_STATEMACHINE_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mangocart {

// All functions are called by the log's control thread, one at a time; those of
// a state machine returned by makeEmpty(), by the thread that takes snapshots.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  // Applies one committed command (a serialized schema::Command) and returns
  // the serialized schema::CommandReply. The result depends only on the
  // commands applied so far: no clock, no random source. Indexes increase, with
  // gaps where the log contains entries of its own.
  virtual std::string apply(std::uint64_t Index, std::string_view Command) = 0;

  // Called at the start, after restore(), for each stored command after the
  // snapshot, whether it was committed or not.
  virtual void noteStored(std::string_view /*Command*/) {}

  // The whole state, in the format accepted by restore().
  virtual std::string snapshot() const = 0;

  // Replaces the state by a snapshot of this or another member. An empty text
  // is the state before the first command.
  virtual void restore(std::string_view Snapshot) = 0;

  // Another state machine, in the state before the first command, that shares
  // nothing with this one; the log takes snapshots with it. If null, the
  // control thread calls snapshot() itself, which must then be fast.
  virtual std::unique_ptr<StateMachine> makeEmpty() const { return nullptr; }
};

} // namespace mangocart

#endif
