// Sharded counts.
#include "Metrics/Counter.h"

namespace mangocart {

std::size_t threadShard() {
  static std::atomic<std::size_t> Next{0};
  thread_local const std::size_t Own =
      Next.fetch_add(1, std::memory_order_relaxed);
  return Own;
}

std::uint64_t Counter::value() const {
  std::uint64_t Sum = 0;
  for (const Shard &Each : m_Shards)
    Sum += Each.m_Value.load(std::memory_order_relaxed);
  return Sum;
}

} // namespace mangocart
