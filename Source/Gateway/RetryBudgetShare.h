// One gateway's share of the budget of repeated attempts that all gateways have
// together for a service. Within a sliding window the repeats stay below a part
// of the gateway's own requests and a share of the common slack; no gateway has
// to know what the others do.
#ifndef MANGOCART_GATEWAY_RETRYBUDGETSHARE_H
#define MANGOCART_GATEWAY_RETRYBUDGETSHARE_H

#include "Core/RuntimeClock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mangocart {

struct RepeatOptions {
  // Repeats that each request earns.
  double m_Ratio = 0.1;
  // Repeats in a window beyond the earned ones, over all gateways.
  double m_Slack = 0.0;
  Duration m_Window = std::chrono::seconds(10);
  // Part of the slack that is given out: the rest covers gateways that others
  // don't know of yet, and ones that started anew and forgot what they spent.
  double m_SlackPart = 0.5;

  bool operator==(const RepeatOptions &) const = default;
};

struct RepeatShare {
  static constexpr std::size_t PartsOfWindow = 10;

  struct Part {
    std::int64_t m_Number = -1;
    std::uint32_t m_Requests = 0;
    std::uint32_t m_Repeats = 0;

    bool operator==(const Part &) const = default;
  };
  // A ring by the number of the part; one more than a window, as the window
  // slides over the oldest one.
  std::array<Part, PartsOfWindow + 1> m_Parts{};

  bool operator==(const RepeatShare &) const = default;
};

// A request of the service came to this gateway.
void noteRequest(RepeatShare &Share, const RepeatOptions &Options,
                 TimePoint Now);

// Whether one more repeat fits; it is counted if so.
bool takeRepeat(RepeatShare &Share, const RepeatOptions &Options,
                std::uint32_t Gateways, TimePoint Now);

} // namespace mangocart

#endif
