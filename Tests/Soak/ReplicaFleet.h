// Replicas in the test's process that speak the platform's protocol. Faulty
// ones add second copies of their answers, at once or late, cut answers off,
// lose them, or send bytes without end. Records what ran where.
#ifndef MANGOCART_TESTS_REPLICAFLEET_H
#define MANGOCART_TESTS_REPLICAFLEET_H

#include "Soak/SoakSystem.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace mangocart::test {

constexpr unsigned SoakEvents = 12;

// The answer that belongs to a request.
std::string soakBody(const std::string &RequestId);
std::string soakEvent(const std::string &RequestId, unsigned Number);

// A request that a replica began to work on.
struct SoakRun {
  std::string m_RequestId;
  std::string m_Replica;
  SoakClock::time_point m_At;
};

class ReplicaFleet {
public:
  static constexpr unsigned Places = 5;
  // The only replica of its zone. Gateways use it without heartbeats for long,
  // as they may be cut off themselves, unless they learn that it has left.
  static constexpr unsigned LonePlace = 2;

  ReplicaFleet(const SoakSystem &System, std::uint64_t Seed);
  ~ReplicaFleet();
  ReplicaFleet(const ReplicaFleet &) = delete;
  ReplicaFleet &operator=(const ReplicaFleet &) = delete;

  // Another replica takes the place of the one there, which has ended.
  void startReplica(unsigned Place);
  // The replica serves on, but sends no more heartbeats.
  void stopHeartbeats(unsigned Place);
  // Ends the replica with all of its connections.
  void endReplica(unsigned Place);
  std::string name(unsigned Place) const;
  std::vector<SoakRun> runs() const;

private:
  struct Replica;
  struct Connection;

  void accept(const std::shared_ptr<Replica> &At);
  void sendHeartbeats();

  const SoakSystem &m_System;
  boost::asio::io_context m_Context;
  Random m_Random;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::vector<std::shared_ptr<Replica>> m_Replicas;
  std::vector<SoakRun> m_Runs;
  unsigned m_Started = 0;
  std::thread m_Thread;
  std::jthread m_Beats;
};

} // namespace mangocart::test

#endif
