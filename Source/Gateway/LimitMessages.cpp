#include "Gateway/LimitMessages.h"

#include "Core/Milliseconds.h"
#include "Gateway.pb.h"

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
    Out.set_ms_ago(millisecondsBetween(Seen.m_At, Now));
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
