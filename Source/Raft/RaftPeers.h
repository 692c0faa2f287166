// The entry VMs of the deployment, as listed in the settings.
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

// Parses "IP:PORT"; nothing if the text is not a valid endpoint.
std::optional<PeerEndpoint> parseEndpoint(std::string_view Text);
std::string toString(const PeerEndpoint &Endpoint);

// The peer endpoint of the process that has another port open at "IP:PORT": the
// peer port is the same on all VMs. Nothing if the text is not a valid
// endpoint.
std::optional<PeerEndpoint> peerEndpointFor(std::string_view Text,
                                            std::uint32_t PeerPort);
// The same for several texts; invalid endpoints are skipped.
template <class Texts>
std::vector<PeerEndpoint> peerEndpointsFor(const Texts &Endpoints,
                                           std::uint32_t PeerPort) {
  std::vector<PeerEndpoint> Peers;
  for (const std::string &Each : Endpoints)
    if (auto Peer = peerEndpointFor(Each, PeerPort))
      Peers.push_back(*std::move(Peer));
  return Peers;
}

// Endpoint of the member: the listed one, or, if members are not known in
// advance, the one given by its name.
std::optional<PeerEndpoint>
findEndpoint(const std::map<std::string, PeerEndpoint> &Listed,
             const std::string &Name);

std::map<std::string, PeerEndpoint>
endpointsOf(const std::vector<RaftPeer> &Peers);

// Names of the peers that are intended voters, sorted.
std::vector<std::string> votersOf(const std::vector<RaftPeer> &Peers);

} // namespace mangocart

#endif
