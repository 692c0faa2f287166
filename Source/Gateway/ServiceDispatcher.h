// Assigns calls to backend servers: immediately while one has capacity,
// otherwise from the service's queue. Holds the queues of all services.
#ifndef MANGOCART_GATEWAY_SERVICEDISPATCHER_H
#define MANGOCART_GATEWAY_SERVICEDISPATCHER_H

#include "Entry/BackendDirectory.h"
#include "Gateway/GatewayDrain.h"
#include "Gateway/ServiceQueue.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mangocart {

class EventLog;
class MembershipDirectory;

// A call that needs a backend server.
struct DispatchRequest {
  std::string m_Service;
  // m_Number is set by the dispatcher.
  WaitingCall m_Times;
  CallSize m_Size;
  // Limit of outstanding requests of one backend server, over all gateways.
  std::uint32_t m_MaxOutstanding = 0;
  // As in ChoiceRequest.
  std::uint64_t m_PrefillTokensPerPass = 0;
  // Backend servers already tried, and the zone of the last one.
  std::vector<std::string> m_Tried;
  std::string m_FailedZone;
  // Empty if only the slots of the servers limit their requests.
  std::optional<PassRules> m_PassRules;
};

enum class DispatchRejection {
  None,
  // No backend server of the service accepts requests, and the caller would
  // disconnect before one is expected to do so again.
  NoBackendServer,
  // The expected wait in the queue exceeds the time that the caller waits.
  Busy
};

std::string_view toString(DispatchRejection Rejection);

struct DispatchResult {
  // The backend server to use; the call is already counted as outstanding
  // there. Empty if the call is rejected.
  std::optional<BackendTarget> m_Target;
  DispatchRejection m_Rejection = DispatchRejection::None;
  Duration m_RetryAfter = Duration::zero();
  // Number of calls that were waiting for the service at this time.
  std::size_t m_Waiting = 0;
};

// Thread-safe. Its mutex is locked before the directory's; handlers run on
// their executor without holding it.
class ServiceDispatcher {
public:
  using Handler = std::function<void(DispatchResult)>;

  ServiceDispatcher(MembershipDirectory &Directory, EventLog &Events,
                    std::uint64_t Seed)
      : m_Directory(Directory), m_Events(Events), m_Random(Seed) {}

  // Returns the call's number, for cancel().
  std::uint64_t submit(DispatchRequest Call,
                       boost::asio::any_io_executor Executor, Handler Done);
  // Removes a call whose caller has disconnected. Its handler is not called any
  // more unless it is already posted.
  void cancel(const std::string &Service, std::uint64_t Number);
  void recordFirstByte(const std::string &Service, Duration Observed);
  // Mean time from sending a call to the first byte of its response.
  Duration expectedFirstByte(const std::string &Service);
  // Records the time from the arrival of a request to the end of its answer.
  void recordAnswered(const std::string &Service, Duration Observed);
  // The longest of these times lately; nothing without recent requests.
  std::optional<Duration> longestAnswer(const std::string &Service);
  // Dispatches waiting calls and rejects expired ones; to be called when
  // capacity may have become free or time has passed.
  void dispatchWaiting();
  void dispatchWaiting(const std::string &Service);

private:
  struct PendingCall {
    DispatchRequest m_Call;
    boost::asio::any_io_executor m_Executor;
    Handler m_Done;
  };
  struct ServiceEntry {
    ServiceQueue m_Queue;
    AnswerTimes m_AnswerTimes;
    std::map<std::uint64_t, PendingCall> m_Pending;
    // As last written to the event log.
    bool m_IsShort = false;
  };

  ServiceEntry &entryOf(const std::string &Service, TimePoint Now);
  // Chooses a server and records a shortage if there is none.
  std::optional<BackendTarget> choose(const DispatchRequest &Call,
                                      ServiceQueue &Queue, TimePoint Now);
  // Whether the call must leave the free capacity to more urgent arrivals.
  bool mustHold(const DispatchRequest &Call, ServiceQueue &Queue,
                TimePoint Now) const;
  void logShortage(const std::string &Service, ServiceEntry &Entry,
                   TimePoint Now);
  // Looks up and records the state of the service.
  ServiceState updateState(const std::string &Service, ServiceQueue &Queue,
                           TimePoint Now) const;
  // Whether the call can be sent before its caller disconnects, judged by the
  // pauses of the servers that it has not tried.
  bool mayBeSentInTime(const DispatchRequest &Call, const ServiceQueue &Queue,
                       TimePoint Now) const;
  void dispatchWaitingLocked(const std::string &Service, ServiceEntry &Entry,
                             TimePoint Now);
  void postResult(PendingCall Call, DispatchResult Result);
  DispatchResult makeRejection(ServiceQueue &Queue, const WaitingCall &Call,
                               ServiceState State, TimePoint Now);

  MembershipDirectory &m_Directory;
  EventLog &m_Events;
  std::mutex m_Mutex;
  // The members below are guarded by m_Mutex.
  std::map<std::string, ServiceEntry> m_Services;
  Random m_Random;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
