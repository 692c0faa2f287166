// Connections to other processes, one an endpoint, made when a stream needs
// one.
#include "Core/Timer.h"
#include "Core/WorkerPool.h"
#include "Net/PeerSession.h"
#include "Net/PeerStream.h"
#include "Net/SessionStream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <mutex>

namespace mangocart {

using boost::asio::ip::tcp;

namespace {

// Shorter than the 1 s after which TCP repeats the first packet, which a
// machine without power has dropped.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

// The connection to one endpoint. Only used on its worker.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(boost::asio::io_context &Worker, PeerEndpoint To,
                   std::shared_ptr<TrafficCounters> Traffic)
      : m_Worker(Worker), m_To(std::move(To)), m_Traffic(std::move(Traffic)),
        m_ConnectTimer(Worker) {}

  boost::asio::io_context &worker() { return m_Worker; }

  void open(std::shared_ptr<SessionStream> Stream, std::string Method) {
    if (m_Session && m_Session->open()) {
      submit(Stream, Method);
      return;
    }
    m_Waiting.push_back({std::move(Stream), std::move(Method)});
    if (!m_Connecting)
      connect();
  }

  void disconnect() {
    if (m_Session)
      m_Session->close("disconnected");
  }

private:
  struct WaitingStream {
    std::shared_ptr<SessionStream> m_Stream;
    std::string m_Method;
  };

  void submit(const std::shared_ptr<SessionStream> &Stream,
              const std::string &Method) {
    if (!m_Session->submitRequest(Stream, Method))
      Stream->fail(
          {PeerErrorCode::ConnectionLost, "no stream number is left", true});
  }

  void connect() {
    boost::system::error_code Error;
    const auto Ip = boost::asio::ip::make_address(m_To.m_Address, Error);
    if (Error)
      return failWaiting(Error.message());
    m_Connecting = true;
    auto Socket = std::make_shared<tcp::socket>(m_Worker);
    m_ConnectTimer.expires_after(ConnectTimeout);
    m_ConnectTimer.async_wait([Socket](boost::system::error_code Cancelled) {
      boost::system::error_code Ignored;
      if (!Cancelled)
        Socket->close(Ignored);
    });
    Socket->async_connect(
        tcp::endpoint(Ip, m_To.m_Port),
        [Self = shared_from_this(), Socket](boost::system::error_code Failed) {
          Self->m_Connecting = false;
          Self->m_ConnectTimer.cancel();
          if (Failed || !Socket->is_open())
            return Self->failWaiting(Failed.message());
          Self->connected(std::move(*Socket));
        });
  }

  void connected(tcp::socket Socket) {
    m_Session = std::make_shared<PeerSession>(SessionRole::Client,
                                              std::move(Socket), m_Traffic);
    m_Session->start();
    auto Waiting = std::move(m_Waiting);
    m_Waiting.clear();
    for (const WaitingStream &Each : Waiting)
      submit(Each.m_Stream, Each.m_Method);
  }

  void failWaiting(const std::string &Why) {
    auto Waiting = std::move(m_Waiting);
    m_Waiting.clear();
    for (const WaitingStream &Each : Waiting)
      Each.m_Stream->fail({PeerErrorCode::ConnectFailed, Why, true});
  }

  boost::asio::io_context &m_Worker;
  const PeerEndpoint m_To;
  std::shared_ptr<TrafficCounters> m_Traffic;
  Timer m_ConnectTimer;
  std::shared_ptr<PeerSession> m_Session;
  // Streams that wait for the connection; empty while it is open.
  std::vector<WaitingStream> m_Waiting;
  bool m_Connecting = false;
};

// Collects the one message of an answer and ends on time.
class UnaryCall : public std::enable_shared_from_this<UnaryCall> {
public:
  UnaryCall(const boost::asio::any_io_executor &Executor,
            PeerClient::UnaryHandler Done)
      : m_Timer(Executor), m_Done(std::move(Done)) {}

  PeerStreamHandlers handlers() {
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Self = shared_from_this()](std::string_view Bytes) {
      Self->m_Answer.assign(Bytes);
    };
    Handlers.m_OnEnd = [Self = shared_from_this()] {
      Self->complete(std::move(Self->m_Answer));
    };
    Handlers.m_OnError = [Self = shared_from_this()](PeerError Error) {
      Self->complete(std::move(Error));
    };
    return Handlers;
  }

  void expireAfter(Duration Timeout, std::shared_ptr<PeerStream> Stream) {
    if (!m_Done)
      return;
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([Self = shared_from_this(), Stream = std::move(Stream)](
                           boost::system::error_code Cancelled) {
      if (Cancelled || !Self->m_Done)
        return;
      Stream->reset();
      Self->complete(
          PeerError{PeerErrorCode::TimedOut, "no answer in time", false});
    });
  }

private:
  void complete(Result<std::string, PeerError> Answer) {
    if (!m_Done)
      return;
    m_Timer.cancel();
    const auto Done = std::exchange(m_Done, nullptr);
    Done(std::move(Answer));
  }

  Timer m_Timer;
  PeerClient::UnaryHandler m_Done;
  std::string m_Answer;
};

} // namespace

struct PeerClient::State {
  explicit State(WorkerPool &Workers) : m_Workers(Workers) {}

  std::shared_ptr<ClientConnection> connectionTo(const PeerEndpoint &To) {
    const std::lock_guard Lock(m_Mutex);
    std::shared_ptr<ClientConnection> &Connection = m_Connections[To];
    if (!Connection)
      Connection =
          std::make_shared<ClientConnection>(m_Workers.next(), To, m_Traffic);
    return Connection;
  }

  WorkerPool &m_Workers;
  std::shared_ptr<TrafficCounters> m_Traffic =
      std::make_shared<TrafficCounters>();
  std::mutex m_Mutex;
  // Guarded by m_Mutex; what a connection holds belongs to its worker.
  std::map<PeerEndpoint, std::shared_ptr<ClientConnection>> m_Connections;
};

PeerClient::PeerClient(WorkerPool &Workers)
    : m_State(std::make_shared<State>(Workers)) {}

PeerClient::~PeerClient() = default;

std::shared_ptr<PeerStream> PeerClient::open(const PeerEndpoint &To,
                                             std::string Method,
                                             PeerStreamHandlers Handlers) {
  const auto Connection = m_State->connectionTo(To);
  auto Stream =
      std::make_shared<SessionStream>(Connection->worker().get_executor());
  Stream->setHandlers(std::move(Handlers));
  boost::asio::post(Connection->worker(),
                    [Connection, Stream, Method = std::move(Method)]() mutable {
                      Connection->open(std::move(Stream), std::move(Method));
                    });
  return Stream;
}

void PeerClient::call(const PeerEndpoint &To, std::string Method,
                      std::string Message, Duration Timeout,
                      UnaryHandler Done) {
  const auto Connection = m_State->connectionTo(To);
  const auto Call = std::make_shared<UnaryCall>(
      Connection->worker().get_executor(), std::move(Done));
  const auto Stream = open(To, std::move(Method), Call->handlers());
  Stream->send(std::move(Message));
  Stream->finish();
  boost::asio::post(Connection->worker(), [Call, Timeout, Stream] {
    Call->expireAfter(Timeout, Stream);
  });
}

void PeerClient::disconnect(const PeerEndpoint &From) {
  const auto Connection = m_State->connectionTo(From);
  boost::asio::post(Connection->worker(),
                    [Connection] { Connection->disconnect(); });
}

PeerClient::Traffic PeerClient::traffic() const {
  return {m_State->m_Traffic->m_BytesSent.load(),
          m_State->m_Traffic->m_BytesReceived.load()};
}

} // namespace mangocart
