// Endpoints and names of the peers.
#include "Raft/RaftPeers.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace mangocart {

std::optional<PeerEndpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view Number = Text.substr(Colon + 1);
  PeerEndpoint Endpoint{std::string(Text.substr(0, Colon)), 0};
  const auto [End, Error] = std::from_chars(
      Number.data(), Number.data() + Number.size(), Endpoint.m_Port);
  boost::system::error_code AddressError;
  boost::asio::ip::make_address(Endpoint.m_Address, AddressError);
  if (Error != std::errc() || End != Number.data() + Number.size() ||
      Endpoint.m_Port == 0 || AddressError)
    return std::nullopt;
  return Endpoint;
}

std::string toString(const PeerEndpoint &Endpoint) {
  return Endpoint.m_Address + ":" + std::to_string(Endpoint.m_Port);
}

std::optional<PeerEndpoint> peerEndpointFor(std::string_view Text,
                                            std::uint32_t PeerPort) {
  auto Endpoint = parseEndpoint(Text);
  if (Endpoint)
    Endpoint->m_Port = static_cast<std::uint16_t>(PeerPort);
  return Endpoint;
}

std::optional<PeerEndpoint>
findEndpoint(const std::map<std::string, PeerEndpoint> &Listed,
             const std::string &Name) {
  const auto Found = Listed.find(Name);
  return Found == Listed.end() ? parseEndpoint(Name) : Found->second;
}

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
