// Tells the other gateways what this one has in flight, and hears the same from
// them, so that all see how full each backend server is.
#ifndef MANGOCART_GATEWAY_LOADEXCHANGE_H
#define MANGOCART_GATEWAY_LOADEXCHANGE_H

#include "Core/Timer.h"
#include "Entry/RoutingState.h"
#include "Gateway/WorkChanges.h"
#include "Net/PeerStream.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace mangocart {

class MembershipDirectory;

// All functions but serve() run on the worker.
class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
public:
  // OnHeard is called when another gateway's load has come.
  LoadExchange(boost::asio::io_context &Worker, PeerClient &Client,
               MembershipDirectory &Directory, std::string Name,
               PeerEndpoint Self, std::function<void()> OnHeard);

  // Before the server listens.
  void serve(PeerServer &Server);
  void start();
  void setGateways(const std::set<PeerEndpoint> &Gateways);

private:
  struct Link {
    std::shared_ptr<PeerStream> m_Stream;
    std::shared_ptr<bool> m_Lost;
    TimePoint m_Opened;
    // The next report must be whole: the other side misses one.
    bool m_NeedsWhole = true;
  };

  void tick();
  std::string report(const WorkByServer &Work, bool ChangesOnly) const;
  void tell(const PeerEndpoint &To, Link &Through, const WorkByServer &Work,
            const std::string &Changes);
  void heard(std::string_view Bytes);

  PeerClient &m_Client;
  MembershipDirectory &m_Directory;
  const std::string m_Name;
  const PeerEndpoint m_Self;
  const std::function<void()> m_OnHeard;
  Timer m_Timer;
  std::map<PeerEndpoint, Link> m_Links;
  // What was told last, and when.
  WorkByServer m_Told;
  TimePoint m_ToldAt;
  // By gateway: what it has in flight.
  std::map<std::string, WorkByServer> m_Heard;
};

} // namespace mangocart

#endif
