// Times of the last activity by server and service.
#include "Gateway/SilenceDetector.h"

#include <algorithm>

namespace mangocart {

void recordAttempt(SilenceDetector &Detector, const std::string &Server,
                   const std::string &Service, TimePoint Now) {
  const auto [Found, Inserted] = Detector.m_Servers.try_emplace(Server);
  ProbedServer &Entry = Found->second;
  if (Inserted) {
    Entry.m_Service = Service;
    Entry.m_LastActivity = Now;
  }
  ++Entry.m_Attempts;
}

void recordActivity(SilenceDetector &Detector, const std::string &Server,
                    TimePoint Now) {
  const auto Found = Detector.m_Servers.find(Server);
  if (Found == Detector.m_Servers.end())
    return;
  Found->second.m_LastActivity = Now;
  Detector.m_LastServiceActivity[Found->second.m_Service] = Now;
}

void recordAttemptEnd(SilenceDetector &Detector, const std::string &Server) {
  const auto Found = Detector.m_Servers.find(Server);
  if (Found != Detector.m_Servers.end() && --Found->second.m_Attempts == 0)
    Detector.m_Servers.erase(Found);
}

std::vector<std::string> serversToProbe(SilenceDetector &Detector,
                                        TimePoint Now) {
  const SilenceOptions &Options = Detector.m_Options;
  std::vector<std::string> Suspects;
  for (auto &[Name, Entry] : Detector.m_Servers) {
    const bool RecentlyProbed =
        Entry.m_ProbedAt != TimePoint() &&
        Now - Entry.m_ProbedAt < Options.m_ProbeInterval;
    if (Entry.m_ProbePending || RecentlyProbed ||
        Now - Entry.m_LastActivity < Options.m_SuspectAfter ||
        Detector.m_LastServiceActivity[Entry.m_Service] - Entry.m_LastActivity <
            Options.m_LagBehindOthers)
      continue;
    Entry.m_ProbePending = true;
    Entry.m_ProbedAt = Now;
    Suspects.push_back(Name);
  }
  return Suspects;
}

bool recordProbeResult(SilenceDetector &Detector, const std::string &Server,
                       bool Responded, TimePoint Now) {
  const auto Found = Detector.m_Servers.find(Server);
  if (Found == Detector.m_Servers.end())
    return false;
  ProbedServer &Entry = Found->second;
  const bool ActiveMeanwhile = Entry.m_LastActivity > Entry.m_ProbedAt;
  Entry.m_ProbePending = false;
  Entry.m_ProbedAt = Now;
  return !Responded && !ActiveMeanwhile;
}

} // namespace mangocart
