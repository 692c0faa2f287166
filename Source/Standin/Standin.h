// Simulated backend server for tests and demos: a model engine that streams
// responses, or a plain booking service. docs/STANDIN.md describes its HTTP
// interface.
#ifndef MANGOCART_STANDIN_STANDIN_H
#define MANGOCART_STANDIN_STANDIN_H

#include "Http/HttpServer.h"
#include "Standin/StandinOptions.h"

#include <functional>
#include <memory>

namespace mangocart {

class WorkerPool;

class Standin {
public:
  // The pool must have a single worker. Terminate ends the process when a fault
  // requires it.
  Standin(WorkerPool &Workers, StandinOptions Options,
          std::function<void()> Terminate);
  ~Standin();
  Standin(const Standin &) = delete;
  Standin &operator=(const Standin &) = delete;

  Result<void, HttpError> listen();
  std::uint16_t port() const;
  // Accepts no new connections; requests in progress are completed.
  void closeListener();
  std::size_t exchangeCount() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangocart

#endif
