// Single-frame use of zstd.
#include "Core/Compression.h"

#include <zstd.h>

namespace mangocart {

namespace {

// The fastest level. Configurations repeat field names and hosts, which every
// level finds.
constexpr int Level = 1;

} // namespace

std::string compress(std::string_view Bytes) {
  std::string Frame(ZSTD_compressBound(Bytes.size()), '\0');
  const std::size_t Size = ZSTD_compress(Frame.data(), Frame.size(),
                                         Bytes.data(), Bytes.size(), Level);
  // Fails only if the buffer is too small.
  Frame.resize(ZSTD_isError(Size) != 0 ? 0 : Size);
  return Frame;
}

std::optional<std::string> decompress(std::string_view Frame,
                                      std::size_t MaxBytes) {
  const unsigned long long Size =
      ZSTD_getFrameContentSize(Frame.data(), Frame.size());
  if (Size == ZSTD_CONTENTSIZE_ERROR || Size == ZSTD_CONTENTSIZE_UNKNOWN ||
      Size > MaxBytes)
    return std::nullopt;
  std::string Bytes(Size, '\0');
  const std::size_t Read =
      ZSTD_decompress(Bytes.data(), Bytes.size(), Frame.data(), Frame.size());
  if (ZSTD_isError(Read) != 0 || Read != Bytes.size())
    return std::nullopt;
  return Bytes;
}

} // namespace mangocart
