// What the rest of a process sees of the replicated log: propose a command, get
// its committed reply; read the applied state; learn who leads.
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
  // Nothing was appended: no majority can be reached.
  NoQuorum,
  // It isn't known whether the command was or will be committed.
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

  // Finds the leader, commits the command there and hands back its reply.
  // From any thread; the handler runs on some worker.
  virtual void propose(schema::Command Command, Duration Timeout,
                       ProposeHandler Done) = 0;

  // Name of the leader as far as this process knows; empty when it doesn't.
  virtual std::string leader() const = 0;
};

} // namespace mangocart

#endif
