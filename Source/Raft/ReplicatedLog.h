// Interface of the replicated log for the rest of a process: proposes a
// command, returns its committed reply, and tells which node is the leader.
#ifndef MANGOCART_RAFT_REPLICATEDLOG_H
#define MANGOCART_RAFT_REPLICATEDLOG_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"
#include "Log.pb.h"

#include <cstdint>
#include <functional>
#include <string>

namespace mangocart {

enum class ProposeErrorCode {
  // The command was not appended because no majority can be reached.
  NoQuorum,
  // It is unknown whether the command was or will be committed.
  InDoubt
};

struct ProposeError {
  ProposeErrorCode m_Code = ProposeErrorCode::NoQuorum;
  std::string m_Detail;

  bool operator==(const ProposeError &) const = default;
};

class ReplicatedLog {
public:
  using ProposeHandler =
      std::function<void(Result<schema::CommandReply, ProposeError>)>;

  virtual ~ReplicatedLog() = default;

  // Finds the leader, commits the command there and passes the reply to the
  // handler. May be called from any thread; the handler runs on some worker.
  virtual void propose(schema::Command Command, Duration Timeout,
                       ProposeHandler Done) = 0;

  // Name of the leader as far as this process knows; empty if unknown.
  virtual std::string leader() const = 0;
};

} // namespace mangocart

#endif
