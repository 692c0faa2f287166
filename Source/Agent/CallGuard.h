// Thread-safe wrapper of AgentGuard with the schema's messages as its
// interface.
#ifndef MANGOCART_AGENT_CALLGUARD_H
#define MANGOCART_AGENT_CALLGUARD_H

#include "Peer.pb.h"
#include "State/AgentGuard.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace mangocart {

ClaimTicket toTicket(const schema::CallRequest &Request);
ClaimTicket toTicket(const schema::RevokeRequest &Request);
// The refusal to send to the entry for a verdict other than Start.
schema::CallRefusal toRefusal(BeginVerdict Verdict);

// Thread-safe. No other lock is taken while the mutex is held.
class CallGuard {
public:
  CallGuard(std::uint64_t Incarnation, const GuardLimits &Limits);

  // A call without an idempotency key is idempotent.
  BeginVerdict begin(const schema::CallRequest &Request);
  void finish(const schema::CallRequest &Request, FinishKind Kind,
              std::string Answer);
  schema::RevokeReply revoke(const schema::RevokeRequest &Request);
  void raiseIncarnation(std::uint64_t Incarnation);
  void startLeaving();
  std::size_t outstanding() const;
  // Fencing of orders by backend server name; see State/AgentGuard.h.
  OrderVerdict checkOrder(const schema::Order &Order);
  void learnFence(const std::string &BackendServer, std::uint64_t Number);
  std::optional<std::uint64_t>
  fenceInForce(const std::string &BackendServer) const;

private:
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  AgentGuard m_Guard;
};

} // namespace mangocart

#endif
