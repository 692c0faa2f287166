// Straggler detection: distinguishes a rank that is slow by itself from one
// that is loaded with hot experts. A line over load is fitted to the ranks'
// times of several steps, using medians; a straggler lies above the line, a
// rank with hot experts on it.
#ifndef MANGOCART_EXPERTS_STRAGGLER_H
#define MANGOCART_EXPERTS_STRAGGLER_H

#include "Experts/ExpertMap.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace mangocart {

// Time and load of one rank in one step, without the time it waited for other
// ranks.
struct RankSample {
  double m_Seconds = 0;
  double m_Tokens = 0;

  bool operator==(const RankSample &) const = default;
};

struct StragglerOptions {
  // Number of steps in the window, and in how many of them a straggler must be
  // slow.
  std::uint32_t m_Window = 16;
  std::uint32_t m_MinSlowSteps = 12;
  // Ratio of the time to the fitted time from which a rank is slow.
  double m_SlowRatio = 1.15;
  // Ratio of the load to the mean load from which a rank has hot experts.
  double m_HotRatio = 1.2;
  // Slowness up to which moving experts off the rank is attempted.
  double m_MaxRelievedSlowness = 2.0;
  // Fraction of the ranks above which the fit is considered unreliable and no
  // rank is classified as slow.
  double m_MaxSlowFraction = 0.125;

  bool operator==(const StragglerOptions &) const = default;
};

enum class RankClass : std::uint8_t {
  Normal,
  // Higher load than its peers, and a time that fits the load: move experts.
  HotExperts,
  // Slow for its load: place less load on it, in proportion to its slowness.
  Relieve,
  // Too slow for that; needs action by its operators or the platform.
  Report
};

struct StragglerWindow {
  // Latest last; at most m_Window steps, all with the same number of ranks.
  std::deque<std::vector<RankSample>> m_Steps;

  bool operator==(const StragglerWindow &) const = default;
};

struct RankClassification {
  // Indexed by rank.
  std::vector<RankClass> m_Ranks;
  // Input for the placement; 1 for all ranks that aren't relieved.
  RankSlowness m_Slowness;

  bool operator==(const RankClassification &) const = default;
};

// Adds a sample of every rank. A different number of ranks clears the window.
void addStep(StragglerWindow &Window, const StragglerOptions &Options,
             std::vector<RankSample> Ranks);

// Clears the window; used after a rank was replaced.
void clearSteps(StragglerWindow &Window);

// All ranks are normal until the window is full.
RankClassification classifyRanks(const StragglerWindow &Window,
                                 const StragglerOptions &Options);

} // namespace mangocart

#endif
