// Text of requests, answers and chunks as they go onto the connection.
// Framing headers (Content-Length, Transfer-Encoding, Connection) are always
// the connection's own; those among a message's headers are left out.
#ifndef MANGOCART_HTTP_HTTPWIRE_H
#define MANGOCART_HTTP_HTTPWIRE_H

#include "Http/HttpMessage.h"

#include <cstddef>

namespace mangocart {

enum class HttpFraming {
  ContentLength,
  Chunked,
  // The end of the connection ends the answer (HTTP/1.0).
  UntilClose,
  // An answer that has no body by its status.
  None
};

// Whether an answer of that status may have a body at all.
bool statusHasBody(unsigned Status);

// Whether a Connection header among these asks for the connection to close.
bool wantsClose(const std::vector<HttpHeader> &Headers);

void appendResponseHead(std::string &Out, const HttpHead &Head,
                        HttpFraming Framing, std::size_t BodyBytes,
                        bool KeepAlive);

// Host is used when the request has no Host header of its own.
void appendRequestHead(std::string &Out, const HttpRequest &Request,
                       std::string_view Host);

// An empty piece adds nothing, since an empty chunk would end the body.
void appendChunk(std::string &Out, std::string_view Data);
void appendFinalChunk(std::string &Out);

} // namespace mangocart

#endif
