// Limits of connections to backend servers.
#include "Gateway/BackendClientOptions.h"

namespace mangocart {

namespace {

using std::chrono::milliseconds;

// Within a zone a connection is made in a few milliseconds; a lost packet is
// sent again after a second.
constexpr Duration ConnectTimeout = milliseconds(300);
// A machine without power or behind a cut answers no new connection, so that
// the request surely wasn't sent and goes elsewhere; on a kept connection it
// would wait there, and still be there after its caller has left. A connection
// used within this time has shown that the machine runs. One that stands still
// takes connections: AttemptWatch finds it.
constexpr Duration MaxIdle = milliseconds(250);

} // namespace

HttpClientOptions backendConnections() {
  HttpClientOptions Options;
  Options.m_ConnectTimeout = ConnectTimeout;
  Options.m_MaxIdle = MaxIdle;
  Options.m_TakesEndByClosing = true;
  return Options;
}

} // namespace mangocart
