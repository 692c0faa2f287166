// Differences between the numbers of outstanding requests in consecutive load
// reports of a gateway.
#ifndef MANGOCART_GATEWAY_LOADDELTA_H
#define MANGOCART_GATEWAY_LOADDELTA_H

#include <cstdint>
#include <map>

namespace mangocart {

// Outstanding requests, by hash64() of the backend server's name.
using RequestsByServer = std::map<std::uint64_t, std::uint32_t>;

// Returns the entries of After that differ from Before, and 0 for servers that
// are only in Before.
RequestsByServer loadDelta(const RequestsByServer &Before,
                           const RequestsByServer &After);

// Applies a difference computed by loadDelta().
void applyLoadDelta(RequestsByServer &Load, const RequestsByServer &Delta);

} // namespace mangocart

#endif
