// Pool of kept connections, by target.
#include "Http/HttpClient.h"

#include "Http/HttpClientConnection.h"

#include <map>

namespace mangocart {

namespace {

constexpr std::size_t MaxKeptPerTarget = 256;

} // namespace

struct HttpClient::State : HttpConnectionKeeper,
                           std::enable_shared_from_this<HttpClient::State> {
  State(boost::asio::io_context &Context, const HttpClientOptions &Options)
      : m_Worker(Context), m_Options(Options) {}

  void keep(std::shared_ptr<HttpClientConnection> Connection) override;
  void forget(HttpClientConnection &Connection) override;
  void start(const HttpTarget &Target,
             const std::shared_ptr<HttpClientCall> &Call);

  boost::asio::io_context &m_Worker;
  const HttpClientOptions m_Options;
  // By target and by whether answers on it name their calls. The connection
  // used last comes first, so that a pool shrinks when it can.
  using PoolKey = std::pair<HttpTarget, bool>;
  std::map<PoolKey, std::vector<std::shared_ptr<HttpClientConnection>>> m_Kept;
};

void HttpClient::State::keep(std::shared_ptr<HttpClientConnection> Connection) {
  auto &Kept = m_Kept[{Connection->target(), Connection->isNamed()}];
  if (Kept.size() >= MaxKeptPerTarget)
    return Connection->close();
  Kept.push_back(std::move(Connection));
}

void HttpClient::State::forget(HttpClientConnection &Connection) {
  const auto Found = m_Kept.find({Connection.target(), Connection.isNamed()});
  if (Found == m_Kept.end())
    return;
  std::erase_if(Found->second,
                [&](const auto &Each) { return Each.get() == &Connection; });
  if (Found->second.empty())
    m_Kept.erase(Found);
}

void HttpClient::State::start(const HttpTarget &Target,
                              const std::shared_ptr<HttpClientCall> &Call) {
  const TimePoint Now = RuntimeClock::now();
  const auto Found = m_Kept.find({Target, Call->isNamed()});
  while (Found != m_Kept.end() && !Found->second.empty()) {
    const auto Connection = std::move(Found->second.back());
    Found->second.pop_back();
    if (Connection->isFresh(Now) && Connection->reuseFor(Call))
      return;
    Connection->close();
  }
  std::make_shared<HttpClientConnection>(m_Worker, Target, m_Options,
                                         weak_from_this(), Call->isNamed())
      ->connectFor(Call);
}

HttpClient::HttpClient(boost::asio::io_context &Worker,
                       const HttpClientOptions &Options)
    : m_State(std::make_shared<State>(Worker, Options)) {}

HttpClient::~HttpClient() {
  for (auto &[Target, Kept] : m_State->m_Kept)
    for (const auto &Connection : Kept)
      Connection->close();
}

std::shared_ptr<HttpCall> HttpClient::send(const HttpTarget &Target,
                                           HttpRequest Request,
                                           Duration Deadline,
                                           HttpCallHandlers Handlers) {
  auto Call = std::make_shared<HttpClientCall>(
      m_State->m_Worker, Target, std::move(Request), std::move(Handlers));
  Call->startDeadline(Deadline);
  m_State->start(Target, Call);
  return Call;
}

} // namespace mangocart
