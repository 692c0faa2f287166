// Loads and shapes for the tests of expert placement.
#ifndef MANGOCART_TESTS_EXPERTS_LOADS_H
#define MANGOCART_TESTS_EXPERTS_LOADS_H

#include "Core/Random.h"
#include "Experts/ExpertMap.h"

namespace mangocart::test {

// The largest group of today's design: 128 ranks, 256 experts, 60 layers.
GroupShape largeGroup();

// A normal number with mean 0 and deviation 1.
double normal(Random &Generator);

// Tokens of each expert, drawn so that few experts get much more than most.
ExpertLoad skewedLoad(const GroupShape &Shape, Random &Generator);

// A group of random size, within what the placement must take.
GroupShape randomShape(Random &Generator);

} // namespace mangocart::test

#endif
