// One process that plays a backend server: a model engine with streamed answers
// or a plain booking service. docs/STANDIN.md describes its HTTP interface.
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
  // Uses one worker of a pool that has only one. Die ends the process when a
  // fault asks for it.
  Standin(WorkerPool &Workers, StandinOptions Options,
          std::function<void()> Die);
  ~Standin();
  Standin(const Standin &) = delete;
  Standin &operator=(const Standin &) = delete;

  Result<void, HttpError> listen();
  std::uint16_t port() const;
  // Takes no new connections; requests in progress are finished.
  void closeListener();
  std::size_t exchangeCount() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangocart

#endif
