// Exchanges the numbers of outstanding requests and of pending prompt tokens
// per backend server with the other gateways, so that each gateway knows the
// total load of each backend server, and what each gateway knows of crashed
// backend servers.
#ifndef MANGOCART_GATEWAY_LOADEXCHANGE_H
#define MANGOCART_GATEWAY_LOADEXCHANGE_H

#include "Core/Timer.h"
#include "Entry/RoutingState.h"
#include "Gateway/LoadMessages.h"
#include "Net/PeerStream.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace mangocart {

namespace schema {
class LoadReport;
} // namespace schema
class CrashGuard;
class MembershipDirectory;

// All functions but serve() and reportNow() run on the worker.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  // OnReport is called after another gateway's load report was applied.
  LoadExchange(boost::asio::io_context &Worker, PeerClient &Client,
               MembershipDirectory &Directory, CrashGuard &Guard,
               std::string Name, PeerEndpoint Self,
               std::function<void()> OnReport);

  // Must be called before the server listens.
  void serve(PeerServer &Server);
  void start();
  // Sends the next report without waiting for its time. Thread-safe.
  void reportNow();
  void setGateways(const std::set<PeerEndpoint> &Gateways);

private:
  struct Link {
    std::shared_ptr<PeerStream> m_Stream;
    std::shared_ptr<bool> m_Lost;
    TimePoint m_OpenedAt;
    // The next report must be complete, because the peer has missed one.
    bool m_NeedsFullReport = true;
  };

  void tick();
  // A report without content.
  schema::LoadReport makeReport(bool ChangesOnly) const;
  void sendReport(const PeerEndpoint &To, Link &Peer, const GatewayLoad &Load,
                  const std::string &Delta);
  void onReport(std::string_view Bytes);

  PeerClient &m_Client;
  MembershipDirectory &m_Directory;
  CrashGuard &m_Guard;
  const std::string m_Name;
  const PeerEndpoint m_Self;
  const std::function<void()> m_OnReport;
  Timer m_Timer;
  std::map<PeerEndpoint, Link> m_Links;
  // Load that was reported last, and when.
  GatewayLoad m_LastReported;
  TimePoint m_LastReportTime;
  // Load of the other gateways, by gateway name.
  std::map<std::string, GatewayLoad> m_ReportedLoads;
};

} // namespace mangocart

#endif
