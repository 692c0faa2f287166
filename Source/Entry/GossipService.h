// Gossip between entries: membership changes, the configuration version of each
// process, and the configuration itself where the peer has an older one. Each
// round contacts a few randomly chosen entries, so the traffic per entry does
// not grow with the number of entries.
#ifndef MANGOCART_ENTRY_GOSSIPSERVICE_H
#define MANGOCART_ENTRY_GOSSIPSERVICE_H

#include "Core/Random.h"
#include "Core/Timer.h"
#include "Peer.pb.h"
#include "Settings.pb.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mangocart {

class ConfigurationHolder;
class MembershipDirectory;
class PeerClient;
class WorkerPool;

struct VersionView {
  std::string m_Process;
  std::string m_Role;
  std::uint64_t m_Version = 0;
  Duration m_HeardAgo{0};
};

class GossipService : public std::enable_shared_from_this<GossipService> {
public:
  GossipService(const schema::EntrySettings &Settings, WorkerPool &Workers,
                PeerClient &Peers, ConfigurationHolder &Configuration,
                MembershipDirectory &Directory, std::uint64_t Seed);

  void start();
  // Sends the current configuration to entries that are not known to have it.
  void propagateConfiguration();
  schema::GossipReply receive(const schema::GossipMessage &Message);

  // Configuration versions of entries (from gossip) and of agents (from their
  // announcements).
  std::vector<VersionView> versions() const;

private:
  struct Peer {
    std::string m_Name;
    std::string m_Address;
    std::uint16_t m_Port = 0;
    // Change number up to which the peer has acknowledged the records sent to
    // it.
    std::uint64_t m_Acknowledged = 0;
    std::uint64_t m_Version = 0;
    TimePoint m_HeardAt;
    // At most one exchange with a peer at a time.
    bool m_Busy = false;
  };

  void tick();
  void exchange(Peer &With, bool WithConfiguration);
  void handleReply(const std::string &Name, std::uint64_t AcknowledgedUpTo,
                   const std::string &Bytes);
  void handleVersion(const schema::ProcessVersion &Version);
  void addVersions(schema::GossipMessage &Message) const;
  std::vector<Peer *> samplePeers(bool OnlyOlder);

  const schema::EntrySettings &m_Settings;
  PeerClient &m_Peers;
  ConfigurationHolder &m_Configuration;
  MembershipDirectory &m_Directory;
  Timer m_Timer;

  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex. The lock of the directory may be acquired while it is
  // held.
  std::map<std::string, Peer> m_PeersByName;
  Random m_Random;
};

} // namespace mangocart

#endif
