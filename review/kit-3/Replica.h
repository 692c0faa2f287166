// A model-less replica that follows the users' pages: it announces itself,
// answers requests and health checks, and drains or leaves.
// The script steers it by calls to an address of its own.
#ifndef MANGOCART_REVIEW_REPLICA_H
#define MANGOCART_REVIEW_REPLICA_H

#include "Http.h"

#include <atomic>
#include <fstream>
#include <mutex>
#include <vector>

namespace review {

struct ReplicaOptions {
  Endpoint m_Address;
  // Calls of the script.
  Endpoint m_Steering;
  std::string m_Name;
  std::string m_Service;
  std::string m_Zone;
  std::string m_RecordFile;
  // Nodes that serve control.
  std::vector<Endpoint> m_Controls;
  std::chrono::milliseconds m_HeartbeatInterval{1200};
  std::chrono::milliseconds m_WorkTime{0};
  // By how much the time of day of its machine is ahead when it starts.
  std::chrono::milliseconds m_ClockError{0};
};

class Replica {
public:
  explicit Replica(ReplicaOptions Options);

  // Serves until the process is ended.
  void run();

private:
  void serve(int Listener, void (Replica::*Handle)(Connection &));
  void handleRequests(Connection &Peer);
  void handleSteering(Connection &Peer);
  std::string answer(const Message &Request);
  std::string answerWork(const Message &Request);
  void announce();
  // Sends a call to one node after the other until one acknowledges it.
  bool deliver(const std::string &Method, const std::string &Body);
  std::string makeHeartbeat();
  std::int64_t coldRemaining() const;
  void record(const std::string &Line);

  const ReplicaOptions m_Options;
  const std::int64_t m_Born;
  std::atomic<bool> m_IsDraining{false};
  std::atomic<bool> m_HasLeft{false};
  std::atomic<std::int64_t> m_ColdUntil{0};
  std::atomic<unsigned> m_Running{0};
  std::atomic<std::uint64_t> m_Sequence{0};
  std::atomic<std::size_t> m_Node{0};
  // A heartbeat that is on its way for long.
  std::string m_LateHeartbeat;
  std::mutex m_RecordMutex;
  std::ofstream m_Record;
};

} // namespace review

#endif
