// Timeouts of connections to backend servers.
#include "Gateway/BackendClientOptions.h"

namespace mangocart {

namespace {

using std::chrono::milliseconds;

// A connection is set up within a few milliseconds; a lost packet is
// retransmitted only after 1 s.
constexpr Duration ConnectTimeout = milliseconds(300);
// Idle connections are closed after this time. A machine that lost power or
// network does not accept a new connection, so the request is known not to be
// sent and can be sent to another server. On a reused connection it would wait
// there until after its caller has disconnected. A connection used within this
// time shows that the machine was running. A machine that is frozen but still
// accepts connections is detected by AttemptMonitor.
constexpr Duration MaxIdle = milliseconds(250);

} // namespace

HttpClientOptions backendClientOptions() {
  HttpClientOptions Options;
  Options.m_ConnectTimeout = ConnectTimeout;
  Options.m_MaxIdle = MaxIdle;
  Options.m_TakesEndByClosing = true;
  Options.m_KeepsUnnamed = false;
  return Options;
}

} // namespace mangocart
