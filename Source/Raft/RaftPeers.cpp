// Views of the list of peers.
#include "Raft/RaftPeers.h"

#include <algorithm>

namespace mangocart {

std::map<std::string, PeerEndpoint>
endpointsOf(const std::vector<RaftPeer> &Peers) {
  std::map<std::string, PeerEndpoint> Endpoints;
  for (const RaftPeer &P : Peers)
    Endpoints[P.m_Name] = P.m_Endpoint;
  return Endpoints;
}

std::vector<std::string> votersOf(const std::vector<RaftPeer> &Peers) {
  std::vector<std::string> Names;
  for (const RaftPeer &P : Peers)
    if (P.m_Voter)
      Names.push_back(P.m_Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

} // namespace mangocart
