// Length-prefixed messages.
#include "Net/MessageFramer.h"

#include <boost/endian/conversion.hpp>

#include <cstdint>

namespace mangocart {

namespace {

std::size_t readLength(std::string_view Bytes) {
  return boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char *>(Bytes.data()));
}

// Hands over the whole messages at the front; returns the bytes used, or npos
// when a length is out of bounds.
std::size_t
takeWholeMessages(std::string_view Bytes,
                  const std::function<void(std::string_view)> &OnMessage) {
  std::size_t Used = 0;
  while (Bytes.size() - Used >= FrameLengthBytes) {
    const std::size_t Length = readLength(Bytes.substr(Used));
    if (Length > MaxMessageBytes)
      return std::string_view::npos;
    if (Bytes.size() - Used - FrameLengthBytes < Length)
      break;
    OnMessage(Bytes.substr(Used + FrameLengthBytes, Length));
    Used += FrameLengthBytes + Length;
  }
  return Used;
}

} // namespace

void appendFrame(std::string &Out, std::string_view Message) {
  unsigned char Length[FrameLengthBytes];
  boost::endian::store_big_u32(Length,
                               static_cast<std::uint32_t>(Message.size()));
  Out.append(reinterpret_cast<const char *>(Length), FrameLengthBytes);
  Out.append(Message);
}

bool MessageFramer::feed(
    std::string_view Bytes,
    const std::function<void(std::string_view)> &OnMessage) {
  if (m_Buffer.empty()) {
    const std::size_t Used = takeWholeMessages(Bytes, OnMessage);
    if (Used == std::string_view::npos)
      return false;
    m_Buffer.assign(Bytes.substr(Used));
    return true;
  }
  // Swapped out so that a handler that feeds again finds a clean state.
  std::string Joined;
  Joined.swap(m_Buffer);
  Joined.append(Bytes);
  const std::size_t Used = takeWholeMessages(Joined, OnMessage);
  if (Used == std::string_view::npos)
    return false;
  Joined.erase(0, Used);
  m_Buffer.swap(Joined);
  return true;
}

} // namespace mangocart
