#include "Gateway/PassRulesOf.h"

#include <algorithm>

namespace mangocart {

namespace {

bool usesService(const RouteConfig &Route, std::string_view Service) {
  return std::any_of(Route.m_Services.begin(), Route.m_Services.end(),
                     [&](const WeightedService &Each) {
                       return Each.m_Service == Service && Each.m_Weight > 0;
                     });
}

Duration smallestGapTarget(const RoutingPlan &Plan, std::string_view Service) {
  Duration Smallest = Duration::zero();
  for (const RouteConfig &Route : Plan.m_Routes) {
    const Duration Target = Route.m_EventGapTarget;
    if (Target > Duration::zero() &&
        (Smallest == Duration::zero() || Target < Smallest) &&
        usesService(Route, Service))
      Smallest = Target;
  }
  return Smallest;
}

} // namespace

PassFigures passFigures(const EngineConfig &Engine) {
  PassFigures Figures;
  Figures.m_StepMs = Engine.m_DecodeStepMs;
  Figures.m_StepMsPerRequest = Engine.m_DecodeStepMsPerRequest;
  Figures.m_StepMsPer1000ContextTokens =
      Engine.m_DecodeStepMsPer1000ContextTokens;
  Figures.m_StepsPerPass = Engine.m_StepsPerPass;
  Figures.m_PrefillTokensPerSecond = Engine.m_PrefillTokensPerSecond;
  Figures.m_PrefillMsPerMillionPairs = Engine.m_PrefillMsPerMillionPairs;
  Figures.m_MaxPrefillTokensPerStep = Engine.m_MaxPrefillTokensPerStep;
  Figures.m_ExpertWorkShare =
      Engine.m_Experts ? Engine.m_Experts->m_ExpertWorkShare : 0.0;
  Figures.m_MeanPromptTokens = Engine.m_MeanPromptTokens;
  Figures.m_MeanOutputTokens = Engine.m_MeanOutputTokens;
  return Figures;
}

std::optional<PassRules> passRulesOf(const RoutingPlan &Plan,
                                     std::string_view Service) {
  const auto Found = std::find_if(
      Plan.m_Services.begin(), Plan.m_Services.end(),
      [&](const ServiceConfig &Each) { return Each.m_Name == Service; });
  if (Found == Plan.m_Services.end() || !Found->m_Engine ||
      Found->m_Engine->m_StepsPerPass == 0)
    return std::nullopt;
  const Duration Target = smallestGapTarget(Plan, Service);
  if (Target == Duration::zero())
    return std::nullopt;
  return PassRules{passFigures(*Found->m_Engine),
                   std::chrono::duration<double, std::milli>(Target).count()};
}

} // namespace mangocart
