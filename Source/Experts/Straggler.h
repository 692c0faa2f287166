// Tells a rank that is slow for its own reasons from one with hot experts. The
// ranks' times over several steps are fitted to a line over their load by
// medians; a straggler lies above the line, a rank with hot experts on it.
#ifndef MANGOCART_EXPERTS_STRAGGLER_H
#define MANGOCART_EXPERTS_STRAGGLER_H

#include "Experts/ExpertMap.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace mangocart {

// One rank in one step, without the time it waited for the others.
struct RankReading {
  double m_Seconds = 0;
  double m_Tokens = 0;

  bool operator==(const RankReading &) const = default;
};

struct StragglerOptions {
  // Steps that are looked at, and how many of them a rank must be out of line.
  std::uint32_t m_Window = 16;
  std::uint32_t m_LeastSteps = 12;
  // Time over what the line gives for the load, from which a rank is out.
  double m_SlowRatio = 1.15;
  // Load over the mean from which a rank has hot experts.
  double m_HotRatio = 1.2;
  // A rank slower than this isn't relieved by moving experts off it.
  double m_LargestRelief = 2.0;
  // With more stragglers than this part of the ranks the fit is doubted, and
  // nothing is done.
  double m_LargestPart = 0.125;

  bool operator==(const StragglerOptions &) const = default;
};

enum class RankVerdict : std::uint8_t {
  InLine,
  // Its load is above its peers', its time fits the load: move experts.
  HotExperts,
  // Slow for its load: place less on it, by its slowness.
  Relieve,
  // Too slow for that: its operators or the platform must act.
  Report
};

struct StragglerWindow {
  // The newest last; at most the window's steps, of equally many ranks.
  std::deque<std::vector<RankReading>> m_Steps;

  bool operator==(const StragglerWindow &) const = default;
};

struct StragglerVerdict {
  // By rank.
  std::vector<RankVerdict> m_Ranks;
  // For the placement; 1 for all ranks that aren't relieved.
  RankSlowness m_Slowness;

  bool operator==(const StragglerVerdict &) const = default;
};

// A reading of every rank. Another number of ranks starts the window anew.
void noteStep(StragglerWindow &Window, const StragglerOptions &Options,
              std::vector<RankReading> Ranks);

// A rank was replaced: what was read of the group so far doesn't count.
void forgetSteps(StragglerWindow &Window);

// All ranks are in line until the window is full.
StragglerVerdict judgeRanks(const StragglerWindow &Window,
                            const StragglerOptions &Options);

} // namespace mangocart

#endif
