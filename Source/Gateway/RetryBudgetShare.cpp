// Sliding window made of buckets.
#include "Gateway/RetryBudgetShare.h"

#include <algorithm>
#include <cassert>

namespace mangocart {

namespace {

std::int64_t bucketNumber(const RetryShareOptions &Options, TimePoint Now) {
  const auto Length =
      Options.m_Window.count() /
      static_cast<std::int64_t>(RetryBudgetShare::BucketsPerWindow);
  return Now.time_since_epoch().count() / std::max<std::int64_t>(Length, 1);
}

RetryBudgetShare::Bucket &bucketOf(RetryBudgetShare &Share,
                                   std::int64_t Number) {
  RetryBudgetShare::Bucket &Bucket =
      Share
          .m_Buckets[static_cast<std::size_t>(Number) % Share.m_Buckets.size()];
  if (Bucket.m_Number != Number)
    Bucket = {Number, 0, 0};
  return Bucket;
}

// The part of the window in which this process counted, in [0, 1].
double knownPart(const RetryBudgetShare &Share,
                 const RetryShareOptions &Options, TimePoint Now) {
  const Duration Uptime = Now - Share.m_StartedAt;
  if (Uptime >= Options.m_Window)
    return 1.0;
  return std::chrono::duration<double>(Uptime) /
         std::chrono::duration<double>(Options.m_Window);
}

} // namespace

void recordRequest(RetryBudgetShare &Share, const RetryShareOptions &Options,
                   TimePoint Now) {
  ++bucketOf(Share, bucketNumber(Options, Now)).m_Requests;
}

RetryShareDecision takeRetry(RetryBudgetShare &Share,
                             const RetryShareOptions &Options,
                             std::uint32_t Gateways, TimePoint Now) {
  const std::int64_t Number = bucketNumber(Options, Now);
  const std::int64_t Oldest =
      Number - static_cast<std::int64_t>(RetryBudgetShare::BucketsPerWindow);
  RetryShareDecision Decision;
  Decision.m_Retries = Share.m_Waiting;
  for (const RetryBudgetShare::Bucket &Bucket : Share.m_Buckets) {
    if (Bucket.m_Number < Oldest || Bucket.m_Number > Number)
      continue;
    Decision.m_Retries += Bucket.m_Retries;
    // The oldest bucket is only partly within the window. To stay below the
    // limit in any case, its retries are counted and its requests are not.
    if (Bucket.m_Number > Oldest)
      Decision.m_Requests += Bucket.m_Requests;
  }
  const double Slack =
      Gateways > 0 ? Options.m_Slack * Options.m_SlackShare / Gateways : 0.0;
  const double Known = knownPart(Share, Options, Now);
  const double Earned =
      Known < 1.0 ? 0.0 : Options.m_Ratio * Decision.m_Requests;
  Decision.m_Gateways = Gateways;
  Decision.m_MaxRetries = Earned + Slack * Known;
  Decision.m_IsAllowed = Decision.m_Retries + 1 <= Decision.m_MaxRetries;
  if (Decision.m_IsAllowed)
    ++Share.m_Waiting;
  return Decision;
}

void recordRetrySent(RetryBudgetShare &Share, const RetryShareOptions &Options,
                     TimePoint Now) {
  dropRetry(Share);
  ++bucketOf(Share, bucketNumber(Options, Now)).m_Retries;
}

void dropRetry(RetryBudgetShare &Share) {
  assert(Share.m_Waiting > 0);
  --Share.m_Waiting;
}

} // namespace mangocart
