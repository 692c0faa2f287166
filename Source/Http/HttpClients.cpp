// Finds the HTTP client of a worker.
#include "Http/HttpClients.h"

#include "Core/WorkerPool.h"

#include <boost/asio/execution/context.hpp>

namespace mangocart {

HttpClients::HttpClients(WorkerPool &Workers,
                         const HttpClientOptions &Options) {
  for (std::size_t I = 0; I < Workers.size(); ++I) {
    boost::asio::io_context &Worker = Workers.worker(I);
    m_Clients.emplace(&Worker, std::make_unique<HttpClient>(Worker, Options));
  }
}

HttpClient &HttpClients::on(const boost::asio::any_io_executor &Executor) {
  const boost::asio::execution_context &Context =
      boost::asio::query(Executor, boost::asio::execution::context);
  return *m_Clients.at(&Context);
}

} // namespace mangocart
