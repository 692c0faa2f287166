// The administration API: health, metrics, status, configuration, plan, accept,
// drain, order. Requests that change state require the bearer token.
#ifndef MANGOCART_ENTRY_ADMINAPI_H
#define MANGOCART_ENTRY_ADMINAPI_H

#include "Http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace mangocart {

struct EntryContext;

// Callbacks and data that the daemon provides to the endpoints.
struct AdminCallbacks {
  std::function<bool()> m_Serving;
  std::function<std::string()> m_Status;
  std::function<std::string()> m_Metrics;
  std::function<void()> m_DrainSelf;
  std::string m_Token;
};

class AdminApi {
public:
  AdminApi(EntryContext &Context, AdminCallbacks Callbacks);

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  struct Endpoint;
  using Handler = void (AdminApi::*)(const std::shared_ptr<HttpExchange> &);

  void health(const std::shared_ptr<HttpExchange> &Exchange);
  void metrics(const std::shared_ptr<HttpExchange> &Exchange);
  void status(const std::shared_ptr<HttpExchange> &Exchange);
  void configuration(const std::shared_ptr<HttpExchange> &Exchange);
  void plan(const std::shared_ptr<HttpExchange> &Exchange);
  void accept(const std::shared_ptr<HttpExchange> &Exchange);
  void drain(const std::shared_ptr<HttpExchange> &Exchange);
  void order(const std::shared_ptr<HttpExchange> &Exchange);
  bool allowed(const HttpRequest &Request) const;
  void drainProcess(const std::shared_ptr<HttpExchange> &Exchange,
                    const std::string &Process);

  EntryContext &m_Context;
  const AdminCallbacks m_Callbacks;
};

} // namespace mangocart

#endif
