// Generators of random shapes and loads.
#include "Loads.h"

#include <boost/random/normal_distribution.hpp>

#include <cmath>

namespace mangocart::test {

GroupShape largeGroup() {
  return {
      .m_Ranks = 128, .m_Experts = 256, .m_Layers = 60, .m_SlotsPerRank = 3};
}

double sampleNormal(Random &Generator) {
  return boost::random::normal_distribution<double>(0.0, 1.0)(Generator);
}

ExpertLoad skewedLoad(const GroupShape &Shape, Random &Generator) {
  constexpr double MeanTokens = 1000;
  constexpr double Spread = 0.8;
  ExpertLoad Load;
  Load.m_Tokens.resize(loadIndex(Shape, Shape.m_Layers, 0));
  for (double &Tokens : Load.m_Tokens)
    Tokens = MeanTokens * std::exp(Spread * sampleNormal(Generator));
  return Load;
}

GroupShape randomShape(Random &Generator) {
  GroupShape Shape;
  Shape.m_Ranks = std::uint32_t{8} << uniform(Generator, 0, 2);
  Shape.m_Experts = static_cast<std::uint32_t>(uniform(Generator, 64, 96));
  Shape.m_Layers = static_cast<std::uint32_t>(uniform(Generator, 1, 3));
  const std::uint32_t MinSlots =
      (Shape.m_Experts + Shape.m_Ranks - 1) / Shape.m_Ranks;
  Shape.m_SlotsPerRank =
      MinSlots + static_cast<std::uint32_t>(uniform(Generator, 0, 2));
  return Shape;
}

} // namespace mangocart::test
