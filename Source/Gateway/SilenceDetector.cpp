// Times by server and service.
#include "Gateway/SilenceDetector.h"

#include <algorithm>

namespace mangocart {

void noteAttempt(SilenceWatch &Watch, const std::string &Server,
                 const std::string &Service, TimePoint Now) {
  const auto [Found, Fresh] = Watch.m_Servers.try_emplace(Server);
  WatchedServer &Of = Found->second;
  if (Fresh) {
    Of.m_Service = Service;
    Of.m_Heard = Now;
  }
  ++Of.m_Attempts;
}

void noteHeard(SilenceWatch &Watch, const std::string &Server, TimePoint Now) {
  const auto Found = Watch.m_Servers.find(Server);
  if (Found == Watch.m_Servers.end())
    return;
  Found->second.m_Heard = Now;
  Watch.m_ServiceHeard[Found->second.m_Service] = Now;
}

void noteAttemptOver(SilenceWatch &Watch, const std::string &Server) {
  const auto Found = Watch.m_Servers.find(Server);
  if (Found != Watch.m_Servers.end() && --Found->second.m_Attempts == 0)
    Watch.m_Servers.erase(Found);
}

std::vector<std::string> serversToProbe(SilenceWatch &Watch, TimePoint Now) {
  const SilenceOptions &Options = Watch.m_Options;
  std::vector<std::string> Suspects;
  for (auto &[Name, Of] : Watch.m_Servers) {
    const bool Probed = Of.m_ProbedAt != TimePoint() &&
                        Now - Of.m_ProbedAt < Options.m_ProbeInterval;
    if (Of.m_IsProbed || Probed || Now - Of.m_Heard < Options.m_SuspectAfter ||
        Watch.m_ServiceHeard[Of.m_Service] - Of.m_Heard <
            Options.m_BehindOthers)
      continue;
    Of.m_IsProbed = true;
    Of.m_ProbedAt = Now;
    Suspects.push_back(Name);
  }
  return Suspects;
}

bool noteProbe(SilenceWatch &Watch, const std::string &Server, bool Answered,
               TimePoint Now) {
  const auto Found = Watch.m_Servers.find(Server);
  if (Found == Watch.m_Servers.end())
    return false;
  WatchedServer &Of = Found->second;
  const bool HeardMeanwhile = Of.m_Heard > Of.m_ProbedAt;
  Of.m_IsProbed = false;
  Of.m_ProbedAt = Now;
  return !Answered && !HeardMeanwhile;
}

} // namespace mangocart
