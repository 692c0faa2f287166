// The deterministic state that the replicated log builds. Each voter and each
// learner holds a copy and applies the same commands in the same order.
#ifndef MANGOCART_RAFT_STATEMACHINE_H
#define MANGOCART_RAFT_STATEMACHINE_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mangocart {

// All functions are called by the log's control thread, one at a time; those of
// a machine that makeEmpty() returned, by the thread that takes snapshots.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  // Applies one committed command (a serialized schema::Command) and returns
  // the serialized schema::CommandReply. The result depends on nothing but the
  // commands applied so far: no clock, no random source. Indexes rise, with
  // gaps where the log holds entries of its own.
  virtual std::string apply(std::uint64_t Index, std::string_view Command) = 0;

  // The whole state, as restore() takes it.
  virtual std::string snapshot() const = 0;

  // Replaces the state by an earlier snapshot, of this or another member. An
  // empty text is the state before the first command.
  virtual void restore(std::string_view Snapshot) = 0;

  // Another machine, in the state before the first command, that shares nothing
  // with this one: the log takes snapshots with it. Null: the control thread
  // calls snapshot() itself, which must be short then.
  virtual std::unique_ptr<StateMachine> makeEmpty() const { return nullptr; }
};

} // namespace mangocart

#endif
