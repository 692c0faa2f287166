// Duration of a pass of a rank group by the figures that the configuration
// declares of its engine. The ranks of a group execute each pass together, and
// every running stream of the group gets one event per pass.
#ifndef MANGOCART_ROUTING_PASSTIME_H
#define MANGOCART_ROUTING_PASSTIME_H

#include <cstdint>
#include <span>

namespace mangocart {

// All times in milliseconds.
struct PassFigures {
  // Base duration of a decode step, the time that each running request of the
  // rank adds to it, and the time per 1,000 context tokens of these.
  double m_StepMs = 0.0;
  double m_StepMsPerRequest = 0.0;
  double m_StepMsPer1000ContextTokens = 0.0;
  // Decode steps of a pass; an event of a stream holds as many tokens.
  std::uint32_t m_StepsPerPass = 0;
  double m_PrefillTokensPerSecond = 0.0;
  double m_PrefillMsPerMillionPairs = 0.0;
  // Maximum number of prompt tokens that a rank prefills per step; 0 if
  // unknown.
  std::uint32_t m_MaxPrefillTokensPerStep = 0;
  // Share of the work for tokens that is done by experts spread over all ranks,
  // in [0, 1].
  double m_ExpertWorkShare = 0.0;
  double m_MeanPromptTokens = 0.0;
  double m_MeanOutputTokens = 0.0;

  bool operator==(const PassFigures &) const = default;
};

// Figures of a service's engines with the target for the gaps between events.
struct PassRules {
  PassFigures m_Figures;
  // Greater than 0.
  double m_GapTargetMs = 0.0;

  bool operator==(const PassRules &) const = default;
};

// Work of one rank in one pass.
struct RankWork {
  std::uint32_t m_RunningRequests = 0;
  // Sum of the contexts of the running requests.
  double m_ContextTokens = 0.0;
  // Prompt tokens that are prefilled, and their pairs with earlier tokens.
  double m_PromptTokens = 0.0;
  double m_PromptPairs = 0.0;

  bool operator==(const RankWork &) const = default;
};

// Duration of a pass without requests.
double fixedPassMs(const PassFigures &Figures);

// Time to prefill a prompt at one rank.
double prefillMs(const PassFigures &Figures, double PromptTokens);

// Work of one rank for tokens in a pass, without the fixed time.
double tokenWorkMs(const PassFigures &Figures, const RankWork &Work);

// Duration of a pass of the ranks: the fixed time, the own work of the slowest
// rank, and the experts' work at the most loaded rank. ExpertSkew: load of that
// rank as a multiple of the mean.
double passMs(const PassFigures &Figures, std::span<const RankWork> Ranks,
              double ExpertSkew = 1.0);

// Mean number of passes that an answer takes, at least 1.
double passesPerRequest(const PassFigures &Figures);

// Time that a request adds to each pass of a group in which the requests are
// spread evenly: decoding, and its prefill divided among its passes.
double passMsPerGroupRequest(const PassFigures &Figures, std::uint32_t Ranks);

} // namespace mangocart

#endif
