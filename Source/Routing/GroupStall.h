// Detects rank groups whose streams have all stopped. The ranks of a group
// execute each pass together, so one frozen or unreachable machine stops every
// stream of the group at once. Until the group continues or breaks, a request
// that is sent there can't begin; it uses up an attempt, and a frozen engine
// may run it after its caller has disconnected.
#ifndef MANGOCART_ROUTING_GROUPSTALL_H
#define MANGOCART_ROUTING_GROUPSTALL_H

#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace mangocart {

struct GroupStallOptions {
  // Minimum time without data.
  Duration m_MinStall = std::chrono::milliseconds(350);
  // Minimum number of mean passes without data.
  double m_MinPasses = 4.0;
  // A longer time without data is a stall however slow the passes were.
  Duration m_MaxPassTime = std::chrono::milliseconds(1200);
  // Minimum number of servers with streams; a single one may be slow itself.
  std::size_t m_MinServers = 2;
  // Weight of a new gap in the mean time between passes.
  double m_GapWeight = 0.2;
  // Data of one pass arrives at slightly different times.
  Duration m_MinGap = std::chrono::milliseconds(10);

  bool operator==(const GroupStallOptions &) const = default;
};

// The streams of one group that have begun and not ended.
struct GroupStreams {
  std::map<std::string, std::uint32_t> m_CountByServer;
  TimePoint m_LastData;
  Duration m_MeanGap = Duration::zero();

  bool operator==(const GroupStreams &) const = default;
};

struct GroupStallDetector {
  GroupStallOptions m_Options;
  // By group name; groups without streams are removed.
  std::map<std::string, GroupStreams, std::less<>> m_Groups;

  bool operator==(const GroupStallDetector &) const = default;
};

// Records the first data of a stream; recordStreamEnd() must follow.
void recordStreamBegin(GroupStallDetector &Detector, const std::string &Group,
                       const std::string &Server, TimePoint Now);
// Records further data of any stream of the group.
void recordStreamData(GroupStallDetector &Detector, std::string_view Group,
                      TimePoint Now);
void recordStreamEnd(GroupStallDetector &Detector, const std::string &Server);

bool isStalled(const GroupStallDetector &Detector, std::string_view Group,
               TimePoint Now);

} // namespace mangocart

#endif
