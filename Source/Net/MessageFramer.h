// Cuts a byte stream into messages: a length of four bytes, most significant
// first, and that many bytes.
#ifndef MANGOCART_NET_MESSAGEFRAMER_H
#define MANGOCART_NET_MESSAGEFRAMER_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace mangocart {

inline constexpr std::size_t FrameLengthBytes = 4;
inline constexpr std::size_t MaxMessageBytes = std::size_t{64} * 1024 * 1024;

void appendFrame(std::string &Out, std::string_view Message);

class MessageFramer {
public:
  // Hands over each message that is complete with these bytes; the views are
  // valid during the call. False when a length is over MaxMessageBytes.
  bool feed(std::string_view Bytes,
            const std::function<void(std::string_view)> &OnMessage);

  // True between messages.
  bool atBoundary() const { return m_Buffer.empty(); }
  // Bytes that wait for the rest of their message.
  std::size_t heldBytes() const { return m_Buffer.size(); }

private:
  // Bytes of a message that is not complete yet, its length included.
  std::string m_Buffer;
};

} // namespace mangocart

#endif
