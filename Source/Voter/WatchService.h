// Tells the processes that watch this voter what is new: configuration, members
// of the log, announcements of backend servers.
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

class DocumentMachine;
class EventLog;
class MembershipDirectory;

struct WatchSources {
  EventLog &m_Events;
  const DocumentMachine &m_Machine;
  // What backend servers announced here, and to any voter.
  MembershipDirectory &m_HeardHere;
  MembershipDirectory &m_HeardAnywhere;
  // Peer endpoints of the members of the log.
  std::function<std::vector<std::string>()> m_Members;
  // Of this voter.
  std::string m_AvailabilityZone;
};

// All functions but news() run on the worker.
class WatchService : public std::enable_shared_from_this<WatchService> {
public:
  WatchService(boost::asio::io_context &Worker, WatchSources Sources);

  // Before the server listens.
  void serve(PeerServer &Server);
  void start();
  // Something has changed: it goes out at once. Any thread.
  void news();

private:
  struct Watcher {
    std::shared_ptr<PeerStream> m_Stream;
    std::string m_Name;
    WatcherKind m_Kind = WatcherKind::Gateway;
    // Of a gateway.
    std::string m_Endpoint;
    // Of the configuration that it was told.
    std::uint64_t m_ToldVersion = 0;
    // Change number of the last announcement that it was told.
    std::uint64_t m_ToldChange = 0;
  };

  void join(const std::shared_ptr<PeerStream> &Stream, std::string_view Hello);
  void leave(const PeerStream *Stream);
  void tick();
  void tellAll();
  void tell(Watcher &To);

  const WatchSources m_Sources;
  Timer m_Timer;
  std::list<Watcher> m_Watchers;
  std::atomic<bool> m_NewsPosted{false};
};

} // namespace mangocart

#endif
