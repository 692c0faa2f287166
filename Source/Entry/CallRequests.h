// Conversion between callers' HTTP messages and calls to agents.
#ifndef MANGOCART_ENTRY_CALLREQUESTS_H
#define MANGOCART_ENTRY_CALLREQUESTS_H

#include "Entry/BackendDirectory.h"
#include "Http/HttpMessage.h"
#include "Peer.pb.h"

#include <string>
#include <string_view>

namespace mangocart {

// Hop-by-hop headers are omitted.
schema::CallRequest toCallRequest(const HttpRequest &Request,
                                  std::string_view RequestId,
                                  std::string_view Service);

HttpHead toHttpHead(const schema::CallHead &Head, std::string_view RequestId);

// Hash of method, target and body; equal requests have the same digest.
std::uint64_t requestDigest(const HttpRequest &Request);

// Estimates the work from the body: the requested number of generated tokens
// ("max_tokens"), and prompt tokens by the length of the body. The prefix hash
// covers the beginning of the body, which is equal for prompts that share a
// prefix.
CallSize estimateSize(const HttpRequest &Request);

} // namespace mangocart

#endif
