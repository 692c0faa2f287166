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

// The peer port of the process that has one of its other ports at "IP:PORT":
// peer ports are the same on all VMs. Nothing if the text isn't an endpoint.
std::optional<PeerEndpoint> peerBehind(std::string_view Text,
                                       std::uint32_t PeerPort);
// The same of several; texts that aren't endpoints are left out.
template <class Texts>
std::vector<PeerEndpoint> peersBehind(const Texts &Endpoints,
                                      std::uint32_t PeerPort) {
  std::vector<PeerEndpoint> Peers;
  for (const std::string &Each : Endpoints)
    if (auto Peer = peerBehind(Each, PeerPort))
      Peers.push_back(*std::move(Peer));
  return Peers;
}

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
