// Sends updates to the processes that watch this voter: configuration,
// evacuated availability zones, members of the log, announcements of backend
// servers.
#ifndef MANGOCART_VOTER_WATCHSERVICE_H
#define MANGOCART_VOTER_WATCHSERVICE_H

#include "Core/Timer.h"
#include "Gateway/VoterWatch.h"
#include "Net/PeerStream.h"
#include "Voter/ChangeConfirmation.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
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
  // Announcements of backend servers received by this voter, with the
  // departures that any voter has heard; and those received by any voter.
  MembershipDirectory &m_LocalAnnouncements;
  MembershipDirectory &m_AllAnnouncements;
  // Peer endpoints of the members of the log.
  std::function<std::vector<std::string>()> m_Members;
  // Availability zone of this voter.
  std::string m_AvailabilityZone;
  // Whether this voter knows all evacuations; until then gateways get no
  // configuration from it.
  std::function<bool()> m_IsCaughtUp;
  // Number of other voters that must know a change before it is acknowledged.
  std::function<std::size_t()> m_RequiredVoters;
  // Calls the handler on the worker once the changes known so far are on this
  // voter's disk, or can't be written.
  std::function<void(ConfirmationHandler)> m_WhenStored =
      [](const ConfirmationHandler &Done) { Done(success()); };
};

// All functions but accept() and sendChanges() run on the worker.
class WatchService : public std::enable_shared_from_this<WatchService> {
public:
  WatchService(boost::asio::io_context &Worker,
               WatchServiceDependencies Dependencies);

  // Called before the server listens.
  void serve(PeerServer &Server);
  // Serves the stream of one watcher. Called from any thread.
  void accept(const std::shared_ptr<PeerStream> &Stream);
  void start();
  // Sends the latest changes to all watchers without waiting for the next
  // interval. Called from any thread.
  void sendChanges();
  // Sends the change of m_LocalAnnouncements with this number, and those before
  // it, to all watchers. Calls Done once the watchers that confirmationState()
  // asks for have confirmed it and it is on this voter's disk, or as soon as it
  // is known that this won't be in time.
  void confirmChange(std::uint64_t Change, ConfirmationHandler Done);

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
    // Number of the last change that the watcher has confirmed.
    std::uint64_t m_ConfirmedChange = 0;
    bool m_AcceptsCompressed = false;
    bool m_ConfirmsChanges = false;
  };

  // A change that waits for confirmations.
  struct PendingChange {
    // Unique.
    std::uint64_t m_Number = 0;
    std::uint64_t m_Change = 0;
    // Until then, the confirmations of all watchers are awaited.
    TimePoint m_AllDeadline;
    TimePoint m_Deadline;
    ConfirmationHandler m_Done;
    // Whether the change is on this voter's disk; no value while that is
    // unknown.
    std::optional<Result<void, std::string>> m_Stored = std::nullopt;
  };

  void onMessage(const std::shared_ptr<PeerStream> &Stream,
                 std::string_view Bytes);
  void addWatcher(const std::shared_ptr<PeerStream> &Stream,
                  std::string_view Hello);
  void onConfirmation(Watcher &From, std::string_view Bytes);
  std::list<Watcher>::iterator findWatcher(const PeerStream *Stream);
  void removeWatcher(const PeerStream *Stream);
  void tick();
  void sendUpdateToAll();
  void sendUpdate(Watcher &To);
  void addConfiguration(Watcher &To, schema::WatchUpdate &Update);
  // Compresses the document once for all watchers.
  const std::string &compressed(const VersionedDocument &Document);
  // Asks the watcher to confirm what it was sent, if a pending change needs
  // that.
  void requestConfirmation(Watcher &To, schema::WatchUpdate &Update);
  // The highest number of a pending change; 0 if there is none.
  std::uint64_t lastPendingChange() const;
  std::vector<WatcherProgress> progress() const;
  void onStored(std::uint64_t Number, const Result<void, std::string> &Stored);
  // Ends the pending changes that are confirmed or can't be any more.
  void settlePendingChanges();
  // Result of a pending change; no value while it stays pending.
  static std::optional<Result<void, std::string>>
  resultOf(const PendingChange &Pending,
           const std::vector<WatcherProgress> &Watchers,
           std::size_t RequiredVoters, TimePoint Now);
  void armPendingTimer(TimePoint Now);

  const WatchServiceDependencies m_Dependencies;
  Timer m_Timer;
  std::list<Watcher> m_Watchers;
  // The compressed document and its version.
  std::string m_Compressed;
  std::uint64_t m_CompressedVersion = 0;
  std::atomic<bool> m_UpdatePosted{false};
  std::list<PendingChange> m_PendingChanges;
  std::uint64_t m_LastPendingNumber = 0;
  Timer m_PendingTimer;
};

} // namespace mangocart

#endif
