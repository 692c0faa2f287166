// Limits by kind of response.
#include "Gateway/ResponseBuffering.h"

namespace mangocart {

BufferAction bufferAction(const BufferedResponse &Response,
                          std::size_t MaxBytes) {
  if (Response.m_IsSuccess && !Response.m_IsStarted)
    return Response.m_Bytes > MaxBufferedSuccessBytes ? BufferAction::Forward
                                                      : BufferAction::Continue;
  // A failure is passed on only if no other attempt is allowed, so it is
  // buffered whole.
  return Response.m_Bytes > MaxBytes ? BufferAction::Abandon
                                     : BufferAction::Continue;
}

} // namespace mangocart
