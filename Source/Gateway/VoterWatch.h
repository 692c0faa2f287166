// Subscribes a process to the voters' update streams, which carry the
// configuration, evacuated availability zones, announcements of backend servers
// and the list of voters. Voters are discovered through the seeds and the lists
// in received updates.
#ifndef MANGOCART_GATEWAY_VOTERWATCH_H
#define MANGOCART_GATEWAY_VOTERWATCH_H

#include "Core/Timer.h"
#include "Membership/Evacuations.h"
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

// Method of a stream to a voter: the client sends a WatchHello and receives
// WatchUpdates.
inline constexpr const char *WatchMethod = "/voter/watch";

// Type of the watching process, see WatchHello.
enum class WatcherKind { Gateway, Voter, Balancer };

struct WatchTargets {
  WatcherKind m_Kind = WatcherKind::Gateway;
  EventLog &m_Events;
  std::function<void(std::uint64_t Version, std::string_view Document)>
      m_OnConfiguration;
  MembershipDirectory &m_Directory;
  // Called with the endpoints of the gateways that the voters know.
  std::function<void(const std::set<PeerEndpoint> &)> m_OnGateways;
  // Own endpoint of a gateway; empty for other processes.
  std::string m_Endpoint;
  // If set, only one stream is opened, to a voter of this availability zone if
  // there is one. If empty, streams to all voters are opened.
  std::string m_PreferredZone;
  // Called with the evacuations of every update that has them, before any
  // configuration or announcement of that update is handed on. They may be
  // older than those of an earlier update.
  std::function<void(const Evacuations &)> m_OnEvacuations =
      [](const Evacuations &) {};
  // Called with the name of a backend server whose record m_Directory has
  // merged, before the update with the record is confirmed.
  std::function<void(const std::string &)> m_OnRecord =
      [](const std::string &) {};
  // Called before an update is confirmed. The confirmation is sent when Confirm
  // is called, on the worker.
  std::function<void(std::function<void()> Confirm)> m_BeforeConfirmation =
      [](const std::function<void()> &Confirm) { Confirm(); };
};

// All functions except start() and setSeeds() must be called on the worker
// thread.
class VoterWatch : public std::enable_shared_from_this<VoterWatch> {
public:
  VoterWatch(boost::asio::io_context &Worker, PeerClient &Client,
             WatchTargets Targets, std::string Name);

  // No stream is opened to Self.
  void start(std::vector<PeerEndpoint> Seeds, PeerEndpoint Self = {});
  // Replaces the seeds after a change of the settings. Thread-safe.
  void setSeeds(std::vector<PeerEndpoint> Seeds);
  // Number of connected voters from which an update was received.
  std::size_t connected() const;
  // Whether updates were received from a majority of the known voters.
  bool hasMajority() const;

private:
  struct Link {
    std::shared_ptr<PeerStream> m_Stream;
    // Distinguishes the handlers of the current stream from those of earlier
    // ones.
    std::uint64_t m_Number = 0;
    TimePoint m_OpenedAt;
    TimePoint m_LastUpdate;
    bool m_HasUpdate = false;
    std::set<PeerEndpoint> m_Gateways;
  };

  void checkStreams();
  void openOneStream(TimePoint Now);
  bool shouldSkipVoter(const schema::WatchUpdate &Update);
  void open(const PeerEndpoint &To, Link &Peer);
  void onUpdate(const PeerEndpoint &From, std::uint64_t Number,
                std::string_view Bytes);
  void onLost(const PeerEndpoint &From, std::uint64_t Number,
              const std::string &Reason);
  void applyUpdate(const PeerEndpoint &From, Link &Peer,
                   const schema::WatchUpdate &Update);
  void applyConfiguration(const PeerEndpoint &From,
                          const schema::WatchUpdate &Update);
  void confirm(const PeerEndpoint &To, std::uint64_t Number,
               std::uint64_t Change);
  void removeUnknownVoters();
  bool isKnown(const PeerEndpoint &Voter) const;

  PeerClient &m_Client;
  const WatchTargets m_Targets;
  const std::string m_Name;
  Timer m_Timer;
  PeerEndpoint m_Self;
  std::set<PeerEndpoint> m_Seeds;
  // Voters listed in the latest update.
  std::set<PeerEndpoint> m_Members;
  std::map<PeerEndpoint, Link> m_Links;
  std::uint64_t m_LastNumber = 0;
  // Version of the last decompressed configuration; valid if
  // m_HasConfiguration.
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_HasConfiguration = false;
  // Number of consecutive voters of other zones that were skipped; used with
  // m_PreferredZone.
  std::size_t m_SkippedVoters = 0;
};

} // namespace mangocart

#endif
