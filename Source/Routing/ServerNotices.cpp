// Shares of limits, saved requests and pauses.
#include "Routing/ServerNotices.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

// More gateways than any deployment has.
constexpr double MaxSenders = 1e6;
// Other gateways are told again of a limit that still holds.
constexpr Duration ConfirmInterval = std::chrono::seconds(5);

bool isLimited(const NotedServer &Server, const ServerNoticeOptions &Options,
               TimePoint Now) {
  return Server.m_Limit.m_RequestsPerSecond &&
         Now - Server.m_Limit.m_At < Options.m_LimitTimeout;
}

double savedAt(const ServerNotices &Notices, std::string_view Name,
               const NotedServer &Server, TimePoint Now) {
  const double Rate =
      ownRate(Notices, Name, *Server.m_Limit.m_RequestsPerSecond);
  const double Earned =
      Rate * std::chrono::duration<double>(Now - Server.m_SavedAt).count();
  return std::min(Notices.m_Options.m_MaxSaved,
                  Server.m_Saved + std::max(Earned, 0.0));
}

// Brings the saved requests up to now, before the rate changes.
void settle(const ServerNotices &Notices, std::string_view Name,
            NotedServer &Server, TimePoint Now) {
  if (Server.m_Limit.m_RequestsPerSecond)
    Server.m_Saved = savedAt(Notices, Name, Server, Now);
  Server.m_SavedAt = Now;
}

} // namespace

double ownRate(const ServerNotices &Notices, std::string_view Server,
               double RequestsPerSecond) {
  const ServerNoticeOptions &Options = Notices.m_Options;
  const GatewayList &Gateways = Notices.m_Gateways;
  const auto Senders = static_cast<std::size_t>(
      Options.m_MinSenders +
      Options.m_SendersPerRequest *
          std::clamp(RequestsPerSecond, 0.0, MaxSenders));
  const std::uint64_t Seed = hash64(Server);
  const std::uint64_t Own = hash64(Gateways.m_Self, Seed);
  const auto Before = static_cast<std::size_t>(std::count_if(
      Gateways.m_All.begin(), Gateways.m_All.end(),
      [&](const std::string &Each) { return hash64(Each, Seed) > Own; }));
  if (Before >= Senders)
    return 0.0;
  // Before the first list has come, there may be any number.
  const std::size_t Known =
      Gateways.m_All.empty() ? Senders : Gateways.m_All.size();
  return RequestsPerSecond / static_cast<double>(std::min(Senders, Known));
}

void recordNotice(ServerNotices &Notices, const std::string &Server,
                  const ServerNotice &Notice, TimePoint Now) {
  const auto Found = Notices.m_Servers.find(Server);
  const bool IsKnown = Found != Notices.m_Servers.end();
  if (!IsKnown && !Notice.m_RequestsPerSecond && !Notice.m_Pause)
    return;
  NotedServer &Noted = IsKnown ? Found->second : Notices.m_Servers[Server];
  if (Notice.m_Pause)
    Noted.m_PausedUntil = std::max(Noted.m_PausedUntil, Now + *Notice.m_Pause);
  if (Noted.m_Limit.m_RequestsPerSecond != Notice.m_RequestsPerSecond ||
      (Notice.m_RequestsPerSecond && Now - Noted.m_ToldAt >= ConfirmInterval)) {
    Notices.m_News.insert(Server);
    Noted.m_ToldAt = Now;
  }
  settle(Notices, Server, Noted, Now);
  Noted.m_Limit = {Notice.m_RequestsPerSecond, Now};
}

void mergeLimit(ServerNotices &Notices, const std::string &Server,
                const LimitSighting &Seen, TimePoint Now) {
  const auto Found = Notices.m_Servers.find(Server);
  const bool IsKnown = Found != Notices.m_Servers.end();
  if ((!IsKnown && !Seen.m_RequestsPerSecond) ||
      (IsKnown && Found->second.m_Limit.m_At >= Seen.m_At))
    return;
  NotedServer &Noted = IsKnown ? Found->second : Notices.m_Servers[Server];
  settle(Notices, Server, Noted, Now);
  Noted.m_Limit = Seen;
}

bool mayReceive(const ServerNotices &Notices, std::string_view Server,
                TimePoint Now) {
  const auto Found = Notices.m_Servers.find(Server);
  if (Found == Notices.m_Servers.end())
    return true;
  if (Now < Found->second.m_PausedUntil)
    return false;
  return !isLimited(Found->second, Notices.m_Options, Now) ||
         savedAt(Notices, Server, Found->second, Now) >= 1.0;
}

std::optional<TimePoint> pausedUntil(const ServerNotices &Notices,
                                     std::string_view Server, TimePoint Now) {
  const auto Found = Notices.m_Servers.find(Server);
  if (Found == Notices.m_Servers.end() || Now >= Found->second.m_PausedUntil)
    return std::nullopt;
  return Found->second.m_PausedUntil;
}

void recordSent(ServerNotices &Notices, std::string_view Server,
                TimePoint Now) {
  const auto Found = Notices.m_Servers.find(Server);
  if (Found == Notices.m_Servers.end() ||
      !isLimited(Found->second, Notices.m_Options, Now))
    return;
  NotedServer &Noted = Found->second;
  settle(Notices, Server, Noted, Now);
  Noted.m_Saved -= 1.0;
}

void removeExpired(ServerNotices &Notices, TimePoint Now) {
  std::erase_if(Notices.m_Servers, [&](const auto &Each) {
    return Now - Each.second.m_Limit.m_At > Notices.m_Options.m_LimitTimeout &&
           Now >= Each.second.m_PausedUntil;
  });
}

} // namespace mangocart
