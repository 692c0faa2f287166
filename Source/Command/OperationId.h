// Ids of operators' changes: the same id is the same change, however often it
// is sent.
#ifndef MANGOCART_COMMAND_OPERATIONID_H
#define MANGOCART_COMMAND_OPERATIONID_H

#include <string>

namespace mangocart {

// 128 random bits from the system, as 32 hexadecimal digits.
std::string makeOperationId();

} // namespace mangocart

#endif
