// The entry VMs of the deployment, as the settings name them.
#ifndef MANGOCART_RAFT_RAFTPEERS_H
#define MANGOCART_RAFT_RAFTPEERS_H

#include "Net/PeerStream.h"

#include <map>
#include <string>
#include <vector>

namespace mangocart {

// One entry VM of the deployment.
struct RaftPeer {
  std::string m_Name;
  PeerEndpoint m_Endpoint;
  bool m_Voter = false;

  bool operator==(const RaftPeer &) const = default;
};

std::map<std::string, PeerEndpoint>
endpointsOf(const std::vector<RaftPeer> &Peers);

// Names of those that shall vote, sorted.
std::vector<std::string> votersOf(const std::vector<RaftPeer> &Peers);

} // namespace mangocart

#endif
