// Gaps between the data of a group's streams.
#include "Routing/GroupStall.h"

#include <algorithm>

namespace mangocart {

namespace {

void recordData(const GroupStallOptions &Options, GroupStreams &Streams,
                TimePoint Now) {
  const Duration Gap = Now - Streams.m_LastData;
  Streams.m_LastData = Now;
  if (Gap < Options.m_MinGap)
    return;
  Streams.m_MeanGap =
      Streams.m_MeanGap == Duration::zero()
          ? Gap
          : Streams.m_MeanGap +
                std::chrono::duration_cast<Duration>((Gap - Streams.m_MeanGap) *
                                                     Options.m_GapWeight);
}

} // namespace

void recordStreamBegin(GroupStallDetector &Detector, const std::string &Group,
                       const std::string &Server, TimePoint Now) {
  GroupStreams &Streams = Detector.m_Groups[Group];
  if (Streams.m_CountByServer.empty())
    Streams.m_LastData = Now;
  else
    recordData(Detector.m_Options, Streams, Now);
  ++Streams.m_CountByServer[Server];
}

void recordStreamData(GroupStallDetector &Detector, std::string_view Group,
                      TimePoint Now) {
  const auto Found = Detector.m_Groups.find(Group);
  if (Found != Detector.m_Groups.end())
    recordData(Detector.m_Options, Found->second, Now);
}

// The server's announcement, and with it its group, may be gone by now.
void recordStreamEnd(GroupStallDetector &Detector, const std::string &Server) {
  const auto Found =
      std::find_if(Detector.m_Groups.begin(), Detector.m_Groups.end(),
                   [&](const auto &Each) {
                     return Each.second.m_CountByServer.contains(Server);
                   });
  if (Found == Detector.m_Groups.end())
    return;
  auto &Counts = Found->second.m_CountByServer;
  if (--Counts[Server] == 0)
    Counts.erase(Server);
  if (Counts.empty())
    Detector.m_Groups.erase(Found);
}

bool isStalled(const GroupStallDetector &Detector, std::string_view Group,
               TimePoint Now) {
  const GroupStallOptions &Options = Detector.m_Options;
  const auto Found = Detector.m_Groups.find(Group);
  if (Found == Detector.m_Groups.end() ||
      Found->second.m_CountByServer.size() < Options.m_MinServers)
    return false;
  const auto Passes = std::chrono::duration_cast<Duration>(
      Found->second.m_MeanGap * Options.m_MinPasses);
  return Now - Found->second.m_LastData >=
         std::clamp(Passes, Options.m_MinStall, Options.m_MaxPassTime);
}

} // namespace mangocart
