// Server side of a method that takes one message and gives one back.
#ifndef MANGOCART_NET_UNARYMETHOD_H
#define MANGOCART_NET_UNARYMETHOD_H

#include "Net/PeerStream.h"

namespace mangocart {

// Answer sends the reply whenever it is ready, once, from any thread.
using UnaryAnswer = std::function<void(const std::string &Reply)>;

// Handler gets the request's bytes; a request that it can't read gets a reset
// by returning false.
void addAsyncMethod(
    PeerServer &Server, std::string Method,
    std::function<bool(std::string_view Request, UnaryAnswer Answer)> Handler);

// Handler gets the parsed request and returns the reply.
template <class Request, class Handler>
void addUnaryMethod(PeerServer &Server, std::string Method, Handler Handle) {
  addAsyncMethod(Server, std::move(Method),
                 [Handle = std::move(Handle)](std::string_view Bytes,
                                              const UnaryAnswer &Answer) {
                   Request Parsed;
                   if (!Parsed.ParseFromArray(Bytes.data(),
                                              static_cast<int>(Bytes.size())))
                     return false;
                   Answer(Handle(Parsed).SerializeAsString());
                   return true;
                 });
}

} // namespace mangocart

#endif
