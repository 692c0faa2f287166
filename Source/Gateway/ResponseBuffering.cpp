// Limits by kind of response.
#include "Gateway/ResponseBuffering.h"

#include <boost/algorithm/string/predicate.hpp>

namespace mangocart {

bool endsWithConnection(const HttpHead &Head) {
  constexpr unsigned StatusNoContent = 204;
  constexpr unsigned StatusNotModified = 304;
  return Head.m_Status != StatusNoContent &&
         Head.m_Status != StatusNotModified &&
         !findHeader(Head.m_Headers, "Content-Length") &&
         !findHeader(Head.m_Headers, "Transfer-Encoding");
}

bool hasEvents(const HttpHead &Head, bool IsStarted) {
  constexpr unsigned StatusOk = 200;
  if (Head.m_Status != StatusOk)
    return false;
  const auto Type = findHeader(Head.m_Headers, "Content-Type");
  return !IsStarted || !Type ||
         boost::algorithm::istarts_with(*Type, "text/event-stream");
}

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
