// Model of engines in rank groups that prefill prompts beside running streams,
// by the formula of docs/design/README.md (Part C), with gateways that choose
// ranks by counts that the others reported some time ago. Not a simulator of
// the system: no network, no failures. The same seed gives the same results.
#ifndef MANGOCART_TESTS_ROUTING_PREFILLMODEL_H
#define MANGOCART_TESTS_ROUTING_PREFILLMODEL_H

#include <cstdint>
#include <functional>
#include <vector>

namespace mangocart {

// How gateways choose ranks.
enum class RankChoice {
  // By score, as for services without an engine.
  Score,
  // By pending prompt tokens, with all ranks compared.
  AllRanks,
  // By pending prompt tokens, with two random ranks compared.
  TwoRandom,
  // By pending prompt tokens, as built.
  Parts
};

// What arrives at a time: requests per second, and the fraction of long
// prompts.
struct PromptLoad {
  double m_Rate = 0.0;
  double m_LongFraction = 0.0;
};

struct PrefillModelOptions {
  std::function<PromptLoad(double Seconds)> m_Load;
  RankChoice m_Choice = RankChoice::Parts;
  std::uint64_t m_Seed = 1;
  double m_Seconds = 26.0;
  std::size_t m_Gateways = 30;
  std::size_t m_Groups = 3;
  std::size_t m_RanksPerGroup = 24;
  double m_ReportDelayMs = 20.0;
  // Fraction of the gateways that have failed, but are still in the others'
  // lists; about as many as it says, always the same ones.
  double m_FailedFraction = 0.0;
  // A long prompt isn't sent to a group with more pending prompt tokens, for at
  // most 150 ms after its arrival; 0 for no bound.
  std::uint64_t m_MaxGroupTokens = 0;
};

struct PromptResult {
  std::uint64_t m_Requests = 0;
  // First event later than the target (400 ms), or the caller disconnected (2
  // s without data).
  std::uint64_t m_LateStarts = 0;
  // A gap between two events above 120 ms.
  std::uint64_t m_LateGaps = 0;
  // One of the two.
  std::uint64_t m_Late = 0;
  // Callers that disconnected.
  std::uint64_t m_Lost = 0;
  // Times to the first event.
  std::vector<double> m_FirstEventMs;

  double lateFraction() const;
  double firstEventP99() const;
};

struct PrefillModelResult {
  PromptResult m_Short;
  PromptResult m_Long;
  double m_MaxPassMs = 0.0;
};

// Short prompts have 200 to 1,200 tokens, long ones 2,400 to 2,880.
PrefillModelResult runPrefillModel(const PrefillModelOptions &Options);

// Sum of the results with the seeds 1 to Seeds.
PrefillModelResult runSeeds(PrefillModelOptions Options, std::uint64_t Seeds);

} // namespace mangocart

#endif
