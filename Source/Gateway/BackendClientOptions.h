// HTTP client options for connections from a gateway to backend servers.
#ifndef MANGOCART_GATEWAY_BACKENDCLIENTOPTIONS_H
#define MANGOCART_GATEWAY_BACKENDCLIENTOPTIONS_H

#include "Http/HttpClient.h"

namespace mangocart {

HttpClientOptions backendClientOptions();

} // namespace mangocart

#endif
