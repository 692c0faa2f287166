// How a gateway connects to backend servers.
#ifndef MANGOCART_GATEWAY_BACKENDCLIENTOPTIONS_H
#define MANGOCART_GATEWAY_BACKENDCLIENTOPTIONS_H

#include "Http/HttpClient.h"

namespace mangocart {

HttpClientOptions backendConnections();

} // namespace mangocart

#endif
