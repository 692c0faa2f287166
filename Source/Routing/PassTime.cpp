#include "Routing/PassTime.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

double prefillWorkMs(const PassFigures &Figures, double Tokens, double Pairs) {
  if (Figures.m_PrefillTokensPerSecond <= 0.0)
    return 0.0;
  return Tokens * 1e3 / Figures.m_PrefillTokensPerSecond +
         Pairs * 1e-6 * Figures.m_PrefillMsPerMillionPairs;
}

} // namespace

double fixedPassMs(const PassFigures &Figures) {
  return Figures.m_StepsPerPass * Figures.m_StepMs;
}

double prefillMs(const PassFigures &Figures, double PromptTokens) {
  return prefillWorkMs(Figures, PromptTokens,
                       PromptTokens * PromptTokens / 2.0);
}

double tokenWorkMs(const PassFigures &Figures, const RankWork &Work) {
  const double StepMs =
      Work.m_RunningRequests * Figures.m_StepMsPerRequest +
      Work.m_ContextTokens * 1e-3 * Figures.m_StepMsPer1000ContextTokens;
  return Figures.m_StepsPerPass * StepMs +
         prefillWorkMs(Figures, Work.m_PromptTokens, Work.m_PromptPairs);
}

double passMs(const PassFigures &Figures, std::span<const RankWork> Ranks,
              double ExpertSkew) {
  double Sum = 0.0;
  double Largest = 0.0;
  for (const RankWork &Each : Ranks) {
    const double Work = tokenWorkMs(Figures, Each);
    Sum += Work;
    Largest = std::max(Largest, Work);
  }
  const double Mean =
      Ranks.empty() ? 0.0 : Sum / static_cast<double>(Ranks.size());
  return fixedPassMs(Figures) + (1.0 - Figures.m_ExpertWorkShare) * Largest +
         Figures.m_ExpertWorkShare * Mean * ExpertSkew;
}

double passesPerRequest(const PassFigures &Figures) {
  if (Figures.m_StepsPerPass == 0)
    return 1.0;
  return std::max(
      1.0, std::ceil(Figures.m_MeanOutputTokens / Figures.m_StepsPerPass));
}

double passMsPerGroupRequest(const PassFigures &Figures, std::uint32_t Ranks) {
  RankWork Work;
  Work.m_RunningRequests = 1;
  // The answer grows while the request runs; half of it on average.
  Work.m_ContextTokens =
      Figures.m_MeanPromptTokens + Figures.m_MeanOutputTokens / 2.0;
  const double Prefill = prefillMs(Figures, Figures.m_MeanPromptTokens) /
                         passesPerRequest(Figures);
  return (tokenWorkMs(Figures, Work) + Prefill) /
         std::max<std::uint32_t>(Ranks, 1);
}

} // namespace mangocart
