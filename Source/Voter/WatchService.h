// Sends updates to the processes that watch this voter: configuration,
// evacuated availability zones, members of the log, announcements of backend
// servers.
#ifndef MANGOCART_VOTER_WATCHSERVICE_H
#define MANGOCART_VOTER_WATCHSERVICE_H

#include "Core/Timer.h"
#include "Gateway/VoterWatch.h"
#include "Net/PeerStream.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace mangocart {

namespace schema {
class WatchUpdate;
} // namespace schema
class DocumentMachine;
struct VersionedDocument;
class EventLog;
class MembershipDirectory;

struct WatchServiceDependencies {
  EventLog &m_Events;
  const DocumentMachine &m_Machine;
  // Announcements of backend servers received by this voter, and by any voter.
  MembershipDirectory &m_LocalAnnouncements;
  MembershipDirectory &m_AllAnnouncements;
  // Peer endpoints of the members of the log.
  std::function<std::vector<std::string>()> m_Members;
  // Availability zone of this voter.
  std::string m_AvailabilityZone;
  // Whether this voter knows all evacuations; until then gateways get no
  // configuration from it.
  std::function<bool()> m_IsCaughtUp;
};

// All functions but news() run on the worker.
class WatchService : public std::enable_shared_from_this<WatchService> {
public:
  WatchService(boost::asio::io_context &Worker,
               WatchServiceDependencies Dependencies);

  // Called before the server listens.
  void serve(PeerServer &Server);
  void start();
  // Sends the latest changes to all watchers without waiting for the next
  // interval. Called from any thread.
  void sendChanges();

private:
  struct Watcher {
    std::shared_ptr<PeerStream> m_Stream;
    std::string m_Name;
    WatcherKind m_Kind = WatcherKind::Gateway;
    // Set for gateways only.
    std::string m_Endpoint;
    // Version of the last configuration sent.
    std::uint64_t m_SentVersion = 0;
    // Change number of the last announcement sent.
    std::uint64_t m_SentChange = 0;
    bool m_AcceptsCompressed = false;
  };

  void addWatcher(const std::shared_ptr<PeerStream> &Stream,
                  std::string_view Hello);
  void removeWatcher(const PeerStream *Stream);
  void tick();
  void sendUpdateToAll();
  void sendUpdate(Watcher &To);
  void addConfiguration(Watcher &To, schema::WatchUpdate &Update);
  // Compresses the document once for all watchers.
  const std::string &compressed(const VersionedDocument &Document);

  const WatchServiceDependencies m_Dependencies;
  Timer m_Timer;
  std::list<Watcher> m_Watchers;
  // The compressed document and its version.
  std::string m_Compressed;
  std::uint64_t m_CompressedVersion = 0;
  std::atomic<bool> m_UpdatePosted{false};
};

} // namespace mangocart

#endif
