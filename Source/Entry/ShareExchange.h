// Distributes the customers' rate limits over the entries: each entry
// periodically reports its demand to the leader of the log, which grants
// floating shares. An entry that cannot reach the leader falls back to its base
// share.
#ifndef MANGOCART_ENTRY_SHAREEXCHANGE_H
#define MANGOCART_ENTRY_SHAREEXCHANGE_H

#include "Core/Timer.h"
#include "Peer.pb.h"
#include "Routing/LimitShares.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace mangocart {

struct EntryContext;
class RaftRunner;

class ShareExchange : public std::enable_shared_from_this<ShareExchange> {
public:
  ShareExchange(EntryContext &Context, const RaftRunner &Log);
  void start();
  // Handles a report at the leader.
  schema::ShareReplyMessage receive(const schema::ShareReportMessage &Message);

private:
  void tick();
  void report();
  // Limits of all customers that have one, by hash of the name; recomputed when
  // the configuration changes. Requires m_Mutex.
  const std::map<std::uint64_t, double> &limits();

  EntryContext &m_Context;
  const RaftRunner &m_Log;
  Timer m_Timer;
  std::mutex m_Mutex;
  // Set only while this process is the leader; belongs to its term. Guarded by
  // m_Mutex.
  std::optional<SharePlanner> m_Planner;
  // Limits of the configuration m_LimitsVersion; guarded by m_Mutex.
  std::map<std::uint64_t, double> m_Limits;
  std::uint64_t m_LimitsVersion = 0;
};

} // namespace mangocart

#endif
