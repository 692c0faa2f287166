// Compression of documents that are sent to many processes.
#ifndef MANGOCART_CORE_COMPRESSION_H
#define MANGOCART_CORE_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

// Returns one zstd frame that states the size of its content.
std::string compress(std::string_view Bytes);

// Returns the content of the frame; nothing if it is malformed or its content
// is larger than MaxBytes.
std::optional<std::string> decompress(std::string_view Frame,
                                      std::size_t MaxBytes);

} // namespace mangocart

#endif
