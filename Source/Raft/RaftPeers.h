// The entry VMs of the deployment, as the settings name them.
#ifndef MANGOCART_RAFT_RAFTPEERS_H
#define MANGOCART_RAFT_RAFTPEERS_H

#include "Net/PeerStream.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// One entry VM of the deployment.
struct RaftPeer {
  std::string m_Name;
  PeerEndpoint m_Endpoint;
  bool m_Voter = false;

  bool operator==(const RaftPeer &) const = default;
};

// "IP:PORT" as an endpoint; nothing if the text isn't one.
std::optional<PeerEndpoint> parseEndpoint(std::string_view Text);
std::string toString(const PeerEndpoint &Endpoint);

// Where the member listens: as the list says, or, where members aren't known
// beforehand, as its name says, which is an endpoint then.
std::optional<PeerEndpoint>
findEndpoint(const std::map<std::string, PeerEndpoint> &Listed,
             const std::string &Name);

std::map<std::string, PeerEndpoint>
endpointsOf(const std::vector<RaftPeer> &Peers);

// Names of those that shall vote, sorted.
std::vector<std::string> votersOf(const std::vector<RaftPeer> &Peers);

} // namespace mangocart

#endif
