// Runs the settler of the leader at an entry: while this process is the leader,
// periodically scans for overdue claims and drives their settlements. Runs
// entirely on worker 0.
#ifndef MANGOCART_ENTRY_ORPHANSETTLER_H
#define MANGOCART_ENTRY_ORPHANSETTLER_H

#include "Core/Timer.h"
#include "State/Settler.h"

#include <memory>

namespace mangocart {

struct EntryContext;
class DeploymentMachine;
class RaftRunner;

class OrphanSettler : public std::enable_shared_from_this<OrphanSettler> {
public:
  OrphanSettler(EntryContext &Context, const RaftRunner &Log,
                DeploymentMachine &Machine);
  void start();

private:
  void tick();
  void scan();
  void settle(const SettlerWork &Work);

  EntryContext &m_Context;
  const RaftRunner &m_Log;
  DeploymentMachine &m_Machine;
  Timer m_Timer;
  Settler m_Settler;
};

} // namespace mangocart

#endif
