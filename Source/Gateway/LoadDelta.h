// The requests that a gateway has in flight, told to others by differences.
#ifndef MANGOCART_GATEWAY_LOADDELTA_H
#define MANGOCART_GATEWAY_LOADDELTA_H

#include <cstdint>
#include <map>

namespace mangocart {

// By hash64() of the backend server's name.
using WorkByServer = std::map<std::uint64_t, std::uint32_t>;

// What differs in After; 0 for servers that are only in Before.
WorkByServer workChanges(const WorkByServer &Before, const WorkByServer &After);

// Brings the work to what it was when the changes were taken.
void applyWorkChanges(WorkByServer &Work, const WorkByServer &Changes);

} // namespace mangocart

#endif
