// The administration API: health, metrics, status, configuration, plan, accept,
// drain, order. What changes state needs the bearer token.
#ifndef MANGOCART_ENTRY_ADMINAPI_H
#define MANGOCART_ENTRY_ADMINAPI_H

#include "Http/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace mangocart {

struct EntryContext;

// What the daemon supplies to the pages.
struct AdminSources {
  std::function<bool()> m_Serving;
  std::function<std::string()> m_Status;
  std::function<std::string()> m_Metrics;
  std::function<void()> m_DrainSelf;
  std::string m_Token;
};

class AdminFront {
public:
  AdminFront(EntryContext &Context, AdminSources Sources);

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  struct Page;
  using Answer = void (AdminFront::*)(const std::shared_ptr<HttpExchange> &);

  void health(const std::shared_ptr<HttpExchange> &Exchange);
  void metrics(const std::shared_ptr<HttpExchange> &Exchange);
  void status(const std::shared_ptr<HttpExchange> &Exchange);
  void configuration(const std::shared_ptr<HttpExchange> &Exchange);
  void plan(const std::shared_ptr<HttpExchange> &Exchange);
  void accept(const std::shared_ptr<HttpExchange> &Exchange);
  void drain(const std::shared_ptr<HttpExchange> &Exchange);
  void order(const std::shared_ptr<HttpExchange> &Exchange);
  bool allowed(const HttpRequest &Request) const;
  void drainOther(const std::shared_ptr<HttpExchange> &Exchange,
                  const std::string &Process);

  EntryContext &m_Context;
  const AdminSources m_Sources;
};

} // namespace mangocart

#endif
