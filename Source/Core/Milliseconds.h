// Whole milliseconds of a duration, for logs and messages.
#ifndef MANGOCART_CORE_MILLISECONDS_H
#define MANGOCART_CORE_MILLISECONDS_H

#include "Core/RuntimeClock.h"

#include <algorithm>
#include <cstdint>

namespace mangocart {

// Rounded towards zero; 0 for a negative duration.
inline std::uint64_t wholeMilliseconds(Duration Time) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(Time).count()));
}

// At most what fits the field of a message.
inline std::uint32_t millisecondsBetween(TimePoint Earlier, TimePoint Later) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(wholeMilliseconds(Later - Earlier), UINT32_MAX));
}

} // namespace mangocart

#endif
