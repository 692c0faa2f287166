// Loads and shapes for the tests of expert placement.
#ifndef MANGOCART_TESTS_EXPERTS_LOADS_H
#define MANGOCART_TESTS_EXPERTS_LOADS_H

#include "Core/Random.h"
#include "Experts/ExpertMap.h"

namespace mangocart::test {

// Largest group of the current design: 128 ranks, 256 experts, 60 layers.
GroupShape largeGroup();

// Draws from the normal distribution with mean 0 and standard deviation 1.
double sampleNormal(Random &Generator);

// Draws the tokens of each expert from a log-normal distribution, so that a few
// experts get far more than most.
ExpertLoad skewedLoad(const GroupShape &Shape, Random &Generator);

// Draws a group size from the range that the placement must support.
GroupShape randomShape(Random &Generator);

} // namespace mangocart::test

#endif
