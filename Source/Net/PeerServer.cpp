// Accepts connections of other processes.
#include "Core/WorkerPool.h"
#include "Net/PeerSession.h"
#include "Net/PeerStream.h"
#include "Net/SessionStream.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace mangocart {

using boost::asio::ip::tcp;

struct PeerServer::State : std::enable_shared_from_this<State> {
  explicit State(WorkerPool &Workers) : m_Workers(Workers) {}

  void accept() {
    boost::asio::io_context &Worker = m_Workers.next();
    m_Acceptor->async_accept(
        Worker, [Self = shared_from_this(),
                 &Worker](boost::system::error_code Error, tcp::socket Socket) {
          if (Self->m_Closed)
            return;
          if (!Error)
            Self->serve(Worker, std::move(Socket));
          Self->accept();
        });
  }

  void serve(boost::asio::io_context &Worker, tcp::socket Socket) {
    auto Session = std::make_shared<PeerSession>(SessionRole::Server,
                                                 std::move(Socket), m_Traffic);
    Session->setAcceptHandler([this](std::shared_ptr<SessionStream> Stream,
                                     const std::string &Method) {
      const auto Found = m_Methods.find(Method);
      if (Found == m_Methods.end())
        return false;
      Found->second(std::move(Stream));
      return true;
    });
    const std::weak_ptr<PeerSession> Weak = Session;
    Session->setClosedHandler([Self = shared_from_this(), Weak] {
      const std::lock_guard Lock(Self->m_Mutex);
      Self->m_Sessions.erase(Weak);
    });
    {
      const std::lock_guard Lock(m_Mutex);
      m_Sessions.insert(Session);
    }
    boost::asio::dispatch(Worker, [Session] { Session->start(); });
  }

  WorkerPool &m_Workers;
  std::map<std::string, MethodHandler> m_Methods;
  std::optional<tcp::acceptor> m_Acceptor;
  std::atomic<bool> m_Closed = false;
  std::shared_ptr<TrafficCounters> m_Traffic =
      std::make_shared<TrafficCounters>();
  std::mutex m_Mutex;
  // Open connections; guarded by m_Mutex.
  std::set<std::weak_ptr<PeerSession>, std::owner_less<>> m_Sessions;
};

PeerServer::PeerServer(WorkerPool &Workers)
    : m_State(std::make_shared<State>(Workers)) {}

PeerServer::~PeerServer() { close(); }

void PeerServer::addMethod(std::string Method, MethodHandler Handler) {
  m_State->m_Methods.emplace(std::move(Method), std::move(Handler));
}

Result<void, PeerError> PeerServer::listen(const std::string &Address,
                                           std::uint16_t Port) {
  try {
    constexpr bool ReuseAddress = true;
    const tcp::endpoint Endpoint(boost::asio::ip::make_address(Address), Port);
    m_State->m_Acceptor.emplace(m_State->m_Workers.worker(0), Endpoint,
                                ReuseAddress);
  } catch (const boost::system::system_error &Error) {
    return PeerError{PeerErrorCode::ListenFailed,
                     Address + ":" + std::to_string(Port) + ": " +
                         Error.code().message(),
                     true};
  }
  m_State->accept();
  return success();
}

void PeerServer::close() {
  m_State->m_Closed = true;
  boost::system::error_code Ignored;
  if (m_State->m_Acceptor)
    m_State->m_Acceptor->close(Ignored);
  const std::lock_guard Lock(m_State->m_Mutex);
  for (const std::weak_ptr<PeerSession> &Each : m_State->m_Sessions)
    if (const auto Session = Each.lock())
      boost::asio::post(Session->executor(),
                        [Session] { Session->close("the server closed"); });
}

} // namespace mangocart
