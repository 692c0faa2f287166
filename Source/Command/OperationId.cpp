// Ids are random, so that operators need no shared counter.
#include "Command/OperationId.h"

#include <fmt/format.h>

#include <random>

namespace mangocart {

std::string makeOperationId() {
  constexpr int Words = 4;
  std::random_device Device;
  std::string Id;
  for (int I = 0; I < Words; ++I)
    Id += fmt::format("{:08x}", Device());
  return Id;
}

} // namespace mangocart
