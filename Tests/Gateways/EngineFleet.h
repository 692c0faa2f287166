// Engines that speak the platform's protocol on loopback addresses, for tests
// of several gateways. An engine ends when it begins an answer on one of the
// crashing parts or bodies, and is back under another name some time later.
// Optionally
// the engines are the ranks of one group, which a crash of any of them breaks.
#ifndef MANGOCART_TESTS_ENGINEFLEET_H
#define MANGOCART_TESTS_ENGINEFLEET_H

#include "Http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mangocart::test {

class GatewayDeployment;

using Clock = std::chrono::steady_clock;

struct FleetOptions {
  // First three numbers of the engines' addresses, "127.1.2".
  std::string m_Network;
  HttpTarget m_Voter;
  unsigned m_Engines = 6;
  bool m_Grouped = false;
  // Answers have neither a length nor chunks and end with their connection.
  bool m_Unframed = false;
  // An engine starts again under its name, with a later start time, which it
  // announces and, if m_ReportsStart, names to probes.
  bool m_KeepsNames = false;
  bool m_ReportsStart = false;
  std::set<std::string> m_CrashingParts;
  std::set<std::string> m_CrashingBodies;
  // From the receipt of a request to its first token.
  std::chrono::milliseconds m_FirstToken{80};
  std::chrono::milliseconds m_EventInterval{15};
  unsigned m_Events = 20;
  // From a crash to the start of the engine's successor.
  std::chrono::milliseconds m_Restart{1200};
  // From a crash to the end of the streams of the other ranks, and from the
  // start of the successor until the group is open.
  std::chrono::milliseconds m_Stall{500};
  std::chrono::milliseconds m_Form{200};
};

// Options of engines that announce themselves to the deployment's voter.
FleetOptions fleetOptionsFor(const GatewayDeployment &Deployment);

// A request that an engine has received.
struct Arrival {
  Clock::time_point m_At;
  // Number of the engine's place, which its successors keep.
  unsigned m_Index = 0;
  std::string m_Engine;
  std::vector<std::string> m_Parts;
  std::string m_Body;
  // The engine rejected it, with the headers that it adds to its answers.
  bool m_IsRejected = false;
};

struct Crash {
  Clock::time_point m_At;
  // The part or the body; empty if an engine was ended for another reason.
  std::string m_Cause;
};

class EngineFleet {
public:
  explicit EngineFleet(FleetOptions Options);
  ~EngineFleet();
  EngineFleet(const EngineFleet &) = delete;
  EngineFleet &operator=(const EngineFleet &) = delete;

  void start();
  std::vector<Arrival> arrivals() const;
  std::vector<Crash> crashes() const;
  // Connections that all engines have accepted so far.
  std::uint64_t connections() const { return m_Connections; }
  // Ends an engine that did nothing wrong.
  void endEngine(unsigned Index);
  // Header lines that the engine adds to all its answers from now on, each with
  // its line end.
  void setHeaders(unsigned Index, std::string Lines);
  // The engine announces that it is cold for so long, and adds the rest to all
  // its answers.
  void setCold(unsigned Index, std::chrono::milliseconds For);
  // The engine rejects all requests as not run from now on, or stops doing so.
  void setRejecting(unsigned Index, bool Rejects);
  // The engine answers all requests with this status and a text from now on.
  void setFailing(unsigned Index, unsigned Status);
  // The engine closes the connection after so many bytes of each head from now
  // on.
  void setHeadBytes(unsigned Index, std::size_t Bytes);
  // The engine's machine stands still: nothing is answered or announced, begun
  // answers stop. They go on when it wakes.
  void setFrozen(unsigned Index, bool Frozen);

private:
  struct Engine;
  class Session;

  void open(Engine &Each);
  void accept(Engine &Each);
  void announceAll();
  void announce(const Engine &Each);
  void wake(Engine &Each);
  void crash(Engine &Each, const std::string &Cause);
  void breakGroup(const std::string &FaultyAddress);
  void formGroup();
  void recordArrival(const Engine &Each, std::vector<std::string> Parts,
                     std::string Body);

  const FleetOptions m_Options;
  boost::asio::io_context m_Context;
  HttpClient m_Client;
  boost::asio::steady_timer m_AnnounceTimer;
  std::vector<std::unique_ptr<Engine>> m_Engines;
  unsigned m_Started = 0;
  unsigned m_Sequence = 0;
  unsigned m_Epoch = 1;
  unsigned m_Down = 0;
  bool m_Stalled = false;
  bool m_Broken = false;
  std::string m_FaultyAddress;
  std::atomic<std::uint64_t> m_Connections{0};
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::vector<Arrival> m_Arrivals;
  std::vector<Crash> m_Crashes;
  std::thread m_Thread;
};

} // namespace mangocart::test

#endif
