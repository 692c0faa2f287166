// A count that only grows, and a value that goes up and down. Both are safe
// from any thread without a lock.
#ifndef MANGOCART_METRICS_COUNTER_H
#define MANGOCART_METRICS_COUNTER_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace mangocart {

// Index of the calling thread, given out in turn; picks a shard.
std::size_t threadShard();

// Threads add to shards of their own cache lines, so that they don't slow each
// other down; reading adds the shards up.
class Counter {
public:
  void add(std::uint64_t By = 1) {
    m_Shards[threadShard() % ShardCount].m_Value.fetch_add(
        By, std::memory_order_relaxed);
  }
  std::uint64_t value() const;

private:
  static constexpr std::size_t ShardCount = 8;
  static constexpr std::size_t CacheLineBytes = 64;

  struct alignas(CacheLineBytes) Shard {
    std::atomic<std::uint64_t> m_Value{0};
  };
  std::array<Shard, ShardCount> m_Shards;
};

class Gauge {
public:
  void set(double Value) { m_Value.store(Value, std::memory_order_relaxed); }
  void add(double By) { m_Value.fetch_add(By, std::memory_order_relaxed); }
  double value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> m_Value{0.0};
};

} // namespace mangocart

#endif
