// Rebalances the shares of customers' limits between entries: each entry
// reports its demand to the leader of the log at intervals, the leader lends
// floating parts. An entry that reaches no leader falls back to its base share.
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
  // The leader's side.
  schema::ShareReplyMessage receive(const schema::ShareReportMessage &Message);

private:
  void tick();
  void report();
  // Limits of all customers that have one, by hash of the name; made anew only
  // for another configuration. With m_Mutex held.
  const std::map<std::uint64_t, double> &limits();

  EntryContext &m_Context;
  const RaftRunner &m_Log;
  Timer m_Timer;
  std::mutex m_Mutex;
  // Only while this process leads, of its term; guarded by m_Mutex.
  std::optional<SharePlanner> m_Planner;
  // Of the configuration of that version; guarded by m_Mutex.
  std::map<std::uint64_t, double> m_Limits;
  std::uint64_t m_LimitsVersion = 0;
};

} // namespace mangocart

#endif
