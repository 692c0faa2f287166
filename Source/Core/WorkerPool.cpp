// Starts and stops the worker threads.
#include "Core/WorkerPool.h"

namespace mangocart {

namespace {
// Tells Asio that one thread runs the context, which spares it some locking.
constexpr int OneThreadPerContext = 1;
} // namespace

WorkerPool::WorkerPool(std::size_t WorkerCount) {
  for (std::size_t I = 0; I < WorkerCount; ++I) {
    m_Contexts.push_back(
        std::make_unique<boost::asio::io_context>(OneThreadPerContext));
    m_Guards.push_back(boost::asio::make_work_guard(*m_Contexts.back()));
  }
}

WorkerPool::~WorkerPool() { stop(); }

boost::asio::io_context &WorkerPool::next() {
  return *m_Contexts[m_Turn.fetch_add(1, std::memory_order_relaxed) %
                     m_Contexts.size()];
}

void WorkerPool::start() {
  for (auto &Context : m_Contexts)
    m_Threads.emplace_back([&Context = *Context] { Context.run(); });
}

void WorkerPool::stop() {
  for (auto &Context : m_Contexts)
    Context->stop();
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
  m_Threads.clear();
}

} // namespace mangocart
