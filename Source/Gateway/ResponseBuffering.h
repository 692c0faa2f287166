// Decides how a gateway forwards the body of a response, and how long it
// buffers it. A server in trouble may send bytes without end.
#ifndef MANGOCART_GATEWAY_RESPONSEBUFFERING_H
#define MANGOCART_GATEWAY_RESPONSEBUFFERING_H

#include "Http/HttpMessage.h"

#include <cstddef>

namespace mangocart {

// Larger successful responses are forwarded as they are received.
inline constexpr std::size_t MaxBufferedSuccessBytes = std::size_t{256} * 1024;

struct BufferedResponse {
  std::size_t m_Bytes = 0;
  bool m_IsSuccess = false;
  // The caller has received a part of the response from an earlier attempt.
  bool m_IsStarted = false;

  bool operator==(const BufferedResponse &) const = default;
};

enum class BufferAction {
  Continue,
  // Forward the buffered bytes and all further ones.
  Forward,
  // End the attempt as if the connection had been lost.
  Abandon
};

// Whether the response has neither a length nor chunks, so that only the end of
// its connection ends it.
bool endsWithConnection(const HttpHead &Head);

// Whether the body of a response on a route for streams consists of events. A
// stream that an earlier attempt has begun is continued by nothing else:
// IsStarted is as in BufferedResponse.
bool hasEvents(const HttpHead &Head, bool IsStarted);

BufferAction bufferAction(const BufferedResponse &Response,
                          std::size_t MaxBytes);

} // namespace mangocart

#endif
