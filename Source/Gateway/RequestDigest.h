// Recognizes a request that comes again under another request ID.
#ifndef MANGOCART_GATEWAY_REQUESTDIGEST_H
#define MANGOCART_GATEWAY_REQUESTDIGEST_H

#include <compare>
#include <string>
#include <string_view>

namespace mangocart {

// What makes two requests the same. Not among it: the request ID, the deadline,
// the customer's key, and where a resumed stream goes on.
struct RequestContent {
  // Name of the customer; empty if the route requires no key.
  std::string_view m_Customer;
  std::string_view m_Method;
  std::string_view m_Host;
  // Path and query.
  std::string_view m_Target;
  std::string_view m_Body;

  auto operator<=>(const RequestContent &) const = default;
};

// 128 bits of a cryptographic hash as 32 hexadecimal digits, so that no caller
// can make a request that is taken for somebody else's.
std::string requestDigest(const RequestContent &Content);

} // namespace mangocart

#endif
