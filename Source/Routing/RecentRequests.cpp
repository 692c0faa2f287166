#include "Routing/RecentRequests.h"

namespace mangocart {

void recordRequest(RecentRequests &Recent, const std::string &Digest,
                   std::size_t MaxRequests, TimePoint Now) {
  Recent.m_Order.push_back(Digest);
  RecentRequest &Added = Recent.m_ByDigest[Digest];
  ++Added.m_Count;
  Added.m_LastAt = Now;
  if (Recent.m_Order.size() <= MaxRequests)
    return;
  const auto Oldest = Recent.m_ByDigest.find(Recent.m_Order.front());
  if (--Oldest->second.m_Count == 0)
    Recent.m_ByDigest.erase(Oldest);
  Recent.m_Order.pop_front();
}

const RecentRequest *findRequest(const RecentRequests &Recent,
                                 const std::string &Digest) {
  const auto Found = Recent.m_ByDigest.find(Digest);
  return Found == Recent.m_ByDigest.end() ? nullptr : &Found->second;
}

} // namespace mangocart
