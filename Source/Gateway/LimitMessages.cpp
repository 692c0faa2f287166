#include "Gateway/LimitMessages.h"

#include "Gateway.pb.h"

#include <algorithm>

namespace mangocart {

using std::chrono::milliseconds;

void addLimits(schema::LoadReport &Report,
               const std::map<std::string, LimitSighting> &Limits,
               TimePoint Now) {
  for (const auto &[Server, Seen] : Limits) {
    schema::ServerLimit &Out = *Report.add_limits();
    Out.set_backend_server(Server);
    if (Seen.m_RequestsPerSecond)
      Out.set_requests_per_second(*Seen.m_RequestsPerSecond);
    const auto Age =
        std::chrono::duration_cast<milliseconds>(Now - Seen.m_At).count();
    Out.set_ms_ago(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(Age, 0, UINT32_MAX)));
  }
}

LimitSighting limitFromSchema(const schema::ServerLimit &Message,
                              TimePoint Now) {
  LimitSighting Seen;
  if (Message.has_requests_per_second() && Message.requests_per_second() >= 0.0)
    Seen.m_RequestsPerSecond = Message.requests_per_second();
  Seen.m_At = Now - milliseconds(Message.ms_ago());
  return Seen;
}

} // namespace mangocart
