// Questions to engines.
#include "Gateway/AttemptMonitor.h"

#include "Core/PostTask.h"
#include "Events/EventLog.h"
#include "Gateway/CallerProtocol.h"
#include "Http/HttpClients.h"

namespace mangocart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Two hundred times the delay between zones, below the second after which a
// lost packet is sent again.
constexpr Duration AnswerLimit = std::chrono::milliseconds(300);

} // namespace

AttemptWatch::AttemptWatch(boost::asio::io_context &Worker,
                           HttpClients &Clients, const CallerProtocol &Protocol,
                           EventLog &Events)
    : m_Clients(Clients), m_Protocol(Protocol), m_Events(Events),
      m_Timer(Worker) {}

void AttemptWatch::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

std::uint64_t AttemptWatch::begin(const BackendTarget &Target,
                                  boost::asio::any_io_executor Executor,
                                  std::function<void()> OnSilent) {
  const std::lock_guard Lock(m_Mutex);
  noteAttempt(m_Watch, Target.m_Name, Target.m_Service, RuntimeClock::now());
  m_Attempts.emplace(++m_LastNumber,
                     Watched{Target, std::move(Executor), std::move(OnSilent)});
  return m_LastNumber;
}

void AttemptWatch::heard(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  noteHeard(m_Watch, Target.m_Name, RuntimeClock::now());
}

void AttemptWatch::end(const BackendTarget &Target, std::uint64_t Number) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Attempts.erase(Number) > 0)
    noteAttemptOver(m_Watch, Target.m_Name);
}

void AttemptWatch::tick() {
  std::map<std::string, PeerEndpoint> Suspects;
  {
    const std::lock_guard Lock(m_Mutex);
    for (const std::string &Server :
         serversToProbe(m_Watch, RuntimeClock::now()))
      for (const auto &[Number, Each] : m_Attempts)
        if (Each.m_Target.m_Name == Server)
          Suspects[Server] = Each.m_Target.m_Agent;
  }
  for (const auto &[Server, At] : Suspects)
    probe(Server, At);
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([Self = shared_from_this()](boost::system::error_code E) {
    if (!E)
      Self->tick();
  });
}

// Whatever it answers, it runs. A machine that stands still may take
// connections.
void AttemptWatch::probe(const std::string &Server, const PeerEndpoint &At) {
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [](const HttpHead &) {};
  Handlers.m_OnBody = [](std::string_view) {};
  Handlers.m_OnEnd = [Self = shared_from_this(), Server] {
    Self->probed(Server, true);
  };
  Handlers.m_OnError = [Self = shared_from_this(), Server](const HttpError &) {
    Self->probed(Server, false);
  };
  m_Clients.on(m_Timer.get_executor())
      .send({At.m_Address, At.m_Port}, m_Protocol.lifeSign(), AnswerLimit,
            std::move(Handlers));
}

void AttemptWatch::probed(const std::string &Server, bool Answered) {
  const std::lock_guard Lock(m_Mutex);
  if (!noteProbe(m_Watch, Server, Answered, RuntimeClock::now()))
    return;
  std::uint64_t Attempts = 0;
  for (const auto &[Number, Each] : m_Attempts)
    if (Each.m_Target.m_Name == Server) {
      ++Attempts;
      postTask(Each.m_Executor, Each.m_OnSilent);
    }
  m_Events.write(Event::BackendServerSilent,
                 {{"backend_server", Server}, {"attempts", Attempts}});
}

} // namespace mangocart
