// Gives calls their backend servers: at once while there is a free place, else
// out of the service's queue. Holds the queues of all services.
#ifndef MANGOCART_GATEWAY_SERVICEDISPATCHER_H
#define MANGOCART_GATEWAY_SERVICEDISPATCHER_H

#include "Entry/BackendDirectory.h"
#include "Gateway/ServiceQueue.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mangocart {

class MembershipDirectory;

// A call that asks for a backend server.
struct GateCall {
  std::string m_Service;
  // m_Number is given by the gate.
  WaitingCall m_Times;
  CallSize m_Size;
  // Requests of all gateways that one backend server may have.
  std::uint32_t m_MaxOutstanding = 0;
  // Backend servers that were tried, and the zone of the last.
  std::vector<std::string> m_Tried;
  std::string m_FailedZone;
};

enum class GateRefusal {
  None,
  // No backend server of the service takes work, and the caller would leave
  // before one may do so again.
  Closed,
  // The queue is longer than the caller waits.
  Busy
};

std::string_view toString(GateRefusal Refusal);

struct GateAnswer {
  // Set: the call goes there, and is counted there already.
  std::optional<BackendTarget> m_Target;
  GateRefusal m_Refusal = GateRefusal::None;
  Duration m_RetryAfter = Duration::zero();
  // Calls that waited for the service when this one was decided.
  std::size_t m_Waiting = 0;
};

// Safe to use from any thread. Its mutex is taken before the directory's;
// handlers run on their executor, without it.
class ServiceGates {
public:
  using Handler = std::function<void(GateAnswer)>;

  ServiceGates(MembershipDirectory &Directory, std::uint64_t Seed)
      : m_Directory(Directory), m_Random(Seed) {}

  // Returns the call's number, for cancel().
  std::uint64_t enter(GateCall Call, boost::asio::any_io_executor Executor,
                      Handler Done);
  // The caller has gone; the handler is not called unless it is on its way.
  void cancel(const std::string &Service, std::uint64_t Number);
  void noteFirstByte(const std::string &Service, Duration Observed);
  // Mean time from sending a call on to the first byte of its answer.
  Duration expectedFirstByte(const std::string &Service);
  // Places may have become free, or time has passed.
  void pump();
  void pump(const std::string &Service);

private:
  struct Held {
    GateCall m_Call;
    boost::asio::any_io_executor m_Executor;
    Handler m_Done;
  };
  struct Gate {
    ServiceQueue m_Queue;
    std::map<std::uint64_t, Held> m_Held;
  };

  Gate &gateOf(const std::string &Service, TimePoint Now);
  std::optional<BackendTarget> choose(const GateCall &Call);
  ServiceState stateOf(const std::string &Service) const;
  void pumpLocked(const std::string &Service, Gate &Of, TimePoint Now);
  void answer(Held Of, GateAnswer With);
  GateAnswer refusal(const ServiceQueue &Queue, const WaitingCall &Call,
                     ServiceState State, TimePoint Now);

  MembershipDirectory &m_Directory;
  std::mutex m_Mutex;
  // All below guarded by m_Mutex.
  std::map<std::string, Gate> m_Gates;
  Random m_Random;
  std::uint64_t m_LastNumber = 0;
};

} // namespace mangocart

#endif
