// Pool of worker threads. Each worker runs one Asio context; a connection stays
// on the worker that it was given, so its handlers never run side by side.
// Tables that workers share have their own mutexes; docs/DESIGN.md states the
// order in which they are locked.
#ifndef MANGOCART_CORE_WORKERPOOL_H
#define MANGOCART_CORE_WORKERPOOL_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace mangocart {

class WorkerPool {
public:
  explicit WorkerPool(std::size_t WorkerCount);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  // Workers in turn.
  boost::asio::io_context &next();
  boost::asio::io_context &worker(std::size_t Index) {
    return *m_Contexts[Index];
  }
  std::size_t size() const { return m_Contexts.size(); }

  void start();
  // Stops every worker at once and waits for the threads. May be called from
  // any thread but a worker's.
  void stop();

private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> m_Contexts;
  std::vector<WorkGuard> m_Guards;
  std::vector<std::thread> m_Threads;
  std::atomic<std::size_t> m_Turn{0};
};

} // namespace mangocart

#endif
