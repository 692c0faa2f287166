// HTTP clients, one a worker, so that a call never changes threads.
#ifndef MANGOCART_HTTP_HTTPCLIENTS_H
#define MANGOCART_HTTP_HTTPCLIENTS_H

#include "Http/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

namespace mangocart {

class WorkerPool;

class HttpClients {
public:
  explicit HttpClients(WorkerPool &Workers,
                       const HttpClientOptions &Options = {});
  HttpClient &on(const boost::asio::any_io_executor &Executor);

private:
  // Filled before the workers start, then only read.
  std::map<const boost::asio::execution_context *, std::unique_ptr<HttpClient>>
      m_Clients;
};

} // namespace mangocart

#endif
