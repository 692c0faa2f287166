#include "Routing/CacheHints.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mangocart {

namespace {

void erase(CacheHints &Hints, decltype(CacheHints::m_Hints)::iterator At) {
  Hints.m_ByAge.erase(At->second.m_AgePosition);
  Hints.m_Hints.erase(At);
}

void trackSequence(CacheServer &Server, std::uint64_t Sequence) {
  if (Sequence == 0)
    return;
  if (Server.m_LastSequence != 0 && Sequence > Server.m_LastSequence + 1)
    ++Server.m_Gaps;
  Server.m_LastSequence = std::max(Server.m_LastSequence, Sequence);
}

} // namespace

void applyCacheEvent(CacheHints &Hints, const CacheEvent &Event, TimePoint Now,
                     const CacheHintOptions &Options) {
  CacheServer &Server = Hints.m_Servers[Event.m_BackendServer];
  trackSequence(Server, Event.m_Sequence);
  const CacheHintKey Key{Event.m_BackendServer, Event.m_PrefixHash};
  const auto Found = Hints.m_Hints.find(Key);
  if (Found != Hints.m_Hints.end()) {
    const bool Late =
        Event.m_Sequence != 0 && Event.m_Sequence <= Found->second.m_Sequence;
    if (Late)
      return;
    erase(Hints, Found);
  }
  if (Event.m_Tokens == 0)
    return;
  Hints.m_ByAge.push_back(Key);
  Hints.m_Hints[Key] = {Event.m_Tokens, Now, Event.m_Sequence, Server.m_Gaps,
                        std::prev(Hints.m_ByAge.end())};
  while (Hints.m_Hints.size() > Options.m_Capacity)
    erase(Hints, Hints.m_Hints.find(Hints.m_ByAge.front()));
}

std::uint64_t expectedCachedTokens(const CacheHints &Hints,
                                   const CacheHintKey &Key, TimePoint Now,
                                   const CacheHintOptions &Options) {
  const auto Found = Hints.m_Hints.find(Key);
  if (Found == Hints.m_Hints.end())
    return 0;
  const auto Server = Hints.m_Servers.find(Key.m_BackendServer);
  if (Server == Hints.m_Servers.end())
    return 0;
  const CacheHint &Hint = Found->second;
  const double HalfLives =
      std::chrono::duration<double>(Now - Hint.m_UpdatedAt) /
      std::chrono::duration<double>(Options.m_HalfLife);
  const auto Gaps = static_cast<double>(Server->second.m_Gaps - Hint.m_Gaps);
  const double Weight = std::exp2(-std::max(HalfLives, 0.0)) *
                        std::pow(Options.m_GapWeight, Gaps);
  return static_cast<std::uint64_t>(Weight *
                                    static_cast<double>(Hint.m_Tokens));
}

void removeServer(CacheHints &Hints, std::uint64_t BackendServer) {
  // Linear search: restarts are rare, and an index by server would slow down
  // each lookup and update.
  std::erase_if(Hints.m_Hints, [&](const auto &Each) {
    if (Each.first.m_BackendServer != BackendServer)
      return false;
    Hints.m_ByAge.erase(Each.second.m_AgePosition);
    return true;
  });
  Hints.m_Servers.erase(BackendServer);
}

} // namespace mangocart
