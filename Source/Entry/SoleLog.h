// The log kept in memory by the first voter alone, until the replicated log
// takes its place.
#ifndef MANGOCART_ENTRY_SOLELOG_H
#define MANGOCART_ENTRY_SOLELOG_H

#include "Net/PeerStream.h"
#include "Raft/ReplicatedLog.h"
#include "Settings.pb.h"
#include "State/DeploymentMachine.h"

#include <mutex>

namespace mangocart {

class SoleLog : public ReplicatedLog {
public:
  SoleLog(const schema::EntrySettings &Settings, PeerClient &Peers,
          PeerServer &Server, DeploymentMachine &Machine);
  void propose(schema::Command Command, Duration Timeout,
               ProposeHandler Done) override;
  std::string leader() const override { return m_Leader.name(); }

private:
  schema::CommandReply apply(schema::Command Command);

  const schema::EntrySettings &m_Settings;
  PeerClient &m_Peers;
  DeploymentMachine &m_Machine;
  schema::PeerAddress m_Leader;
  std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::uint64_t m_Index = 0;
};

} // namespace mangocart

#endif
