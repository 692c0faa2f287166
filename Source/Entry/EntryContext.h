// State shared by the requests of an entry. Outlives every request.
#ifndef MANGOCART_ENTRY_ENTRYCONTEXT_H
#define MANGOCART_ENTRY_ENTRYCONTEXT_H

#include "Core/Random.h"
#include "Settings.pb.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace mangocart {

class ConfigurationHolder;
class EventLog;
class MembershipDirectory;
class MetricRegistry;
class PeerClient;
class ReplicatedLog;
class AdmissionController;
class WorkerPool;

// Counters exposed by the metrics endpoint.
struct EntryCounters {
  std::atomic<std::uint64_t> m_Requests{0};
  std::atomic<std::uint64_t> m_Answered{0};
  std::atomic<std::uint64_t> m_Refused{0};
  std::atomic<std::uint64_t> m_Broken{0};
  std::atomic<std::uint64_t> m_Attempts{0};
  // Streams resumed at another backend server.
  std::atomic<std::uint64_t> m_Resumed{0};
  std::atomic<std::uint64_t> m_HungUp{0};
};

struct EntryContext {
  const schema::EntrySettings &m_Settings;
  WorkerPool &m_Workers;
  EventLog &m_Events;
  PeerClient &m_Peers;
  ConfigurationHolder &m_Configuration;
  MembershipDirectory &m_Directory;
  ReplicatedLog &m_Log;
  AdmissionController &m_Admission;
  EntryCounters &m_Counters;
  MetricRegistry &m_Metrics;
};

} // namespace mangocart

#endif
