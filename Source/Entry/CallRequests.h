// Translation between callers' HTTP messages and calls to agents.
#ifndef MANGOCART_ENTRY_CALLREQUESTS_H
#define MANGOCART_ENTRY_CALLREQUESTS_H

#include "Entry/BackendDirectory.h"
#include "Http/HttpMessage.h"
#include "Peer.pb.h"

#include <string>
#include <string_view>

namespace mangocart {

// Headers that belong to one connection are left out.
schema::CallRequest toCallRequest(const HttpRequest &Request,
                                  std::string_view RequestId,
                                  std::string_view Service);

HttpHead toHttpHead(const schema::CallHead &Head, std::string_view RequestId);

// Hash of what makes two requests the same: method, target and body.
std::uint64_t digestOf(const HttpRequest &Request);

// Estimates the work from the body: tokens to be generated as the request asks
// ("max_tokens"), prompt tokens by the body's length. The prefix hash is that
// of the body's beginning, where prompts that share a prefix agree.
CallSize sizeOf(const HttpRequest &Request);

} // namespace mangocart

#endif
