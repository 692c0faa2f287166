// A process's streams to the voters: configuration, announcements of backend
// servers and the list of voters come from them. Voters are found by the seeds
// and by what other voters say.
#ifndef MANGOCART_GATEWAY_VOTERWATCH_H
#define MANGOCART_GATEWAY_VOTERWATCH_H

#include "Core/Timer.h"
#include "Net/PeerStream.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

namespace schema {
class WatchUpdate;
} // namespace schema
class EventLog;
class MembershipDirectory;

// A stream to a voter: a WatchHello, then WatchUpdates back.
inline constexpr const char *WatchMethod = "/voter/watch";

// What the watching process is, see WatchHello.
enum class WatcherKind { Gateway, Voter, Balancer };

struct WatchTargets {
  WatcherKind m_Kind = WatcherKind::Gateway;
  EventLog &m_Events;
  std::function<void(std::uint64_t Version, std::string_view Document)>
      m_OnConfiguration;
  MembershipDirectory &m_Directory;
  // The endpoints of the gateways that the voters know of.
  std::function<void(const std::set<PeerEndpoint> &)> m_OnGateways;
  // Own endpoint, for a gateway.
  std::string m_Endpoint;
  // Set: one voter is enough, one of this availability zone if there is one.
  std::string m_OneOfZone;
};

// All functions but start() and setSeeds() run on the worker.
class VoterWatch : public std::enable_shared_from_this<VoterWatch> {
public:
  VoterWatch(boost::asio::io_context &Worker, PeerClient &Client,
             WatchTargets Targets, std::string Name);

  // Self is no voter to watch.
  void start(std::vector<PeerEndpoint> Seeds, PeerEndpoint Self = {});
  // The settings name other seeds now; from any thread.
  void setSeeds(std::vector<PeerEndpoint> Seeds);
  // Voters whose first update has come.
  std::size_t connected() const;

private:
  struct Link {
    std::shared_ptr<PeerStream> m_Stream;
    // Tells the handlers of an earlier stream from those of the present one.
    std::uint64_t m_Number = 0;
    TimePoint m_Opened;
    TimePoint m_LastUpdate;
    bool m_Updated = false;
    std::set<PeerEndpoint> m_Gateways;
  };

  void look();
  void lookForOne(TimePoint Now);
  bool isMisplaced(const schema::WatchUpdate &Update);
  void open(const PeerEndpoint &To, Link &Through);
  void onUpdate(const PeerEndpoint &From, std::uint64_t Number,
                std::string_view Bytes);
  void onLost(const PeerEndpoint &From, std::uint64_t Number,
              const std::string &Why);
  void take(const PeerEndpoint &From, Link &Through,
            const schema::WatchUpdate &Update);
  void dropUnknown();
  bool isKnown(const PeerEndpoint &Voter) const;

  PeerClient &m_Client;
  const WatchTargets m_Targets;
  const std::string m_Name;
  Timer m_Timer;
  PeerEndpoint m_Self;
  std::set<PeerEndpoint> m_Seeds;
  // As the latest update said.
  std::set<PeerEndpoint> m_Members;
  std::map<PeerEndpoint, Link> m_Links;
  std::uint64_t m_LastNumber = 0;
  // With m_OneOfZone: voters of other zones that were passed over in a row.
  std::size_t m_PassedOver = 0;
};

} // namespace mangocart

#endif
