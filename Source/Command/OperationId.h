// Ids of changes by operators: requests with the same id are retries of the
// same change.
#ifndef MANGOCART_COMMAND_OPERATIONID_H
#define MANGOCART_COMMAND_OPERATIONID_H

#include <string>

namespace mangocart {

// 128 random bits from the system, as 32 hexadecimal digits.
std::string makeOperationId();

} // namespace mangocart

#endif
