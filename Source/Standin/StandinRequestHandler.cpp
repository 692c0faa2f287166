// Slot handling and the stall and truncation faults, common to all requests.
#include "Standin/StandinRequestHandler.h"

namespace mangocart {

namespace {

// Interval at which a stalled request checks whether the stall fault was reset.
constexpr Duration StallPollInterval = std::chrono::milliseconds(5);

} // namespace

StandinRequestHandler::StandinRequestHandler(
    std::shared_ptr<StandinContext> Context,
    std::shared_ptr<HttpExchange> Exchange)
    : m_Context(std::move(Context)), m_Exchange(std::move(Exchange)),
      m_Faults(*m_Context), m_Timer(m_Exchange->executor()) {}

void StandinRequestHandler::begin() {
  if (faults().m_Refuse) {
    HttpResponse Rejection = errorResponse(503, "refused by a fault");
    Rejection.m_Head.m_Headers.push_back({"Retry-After", "1"});
    return m_Exchange->respond(std::move(Rejection));
  }
  const auto Self = shared_from_this();
  m_Exchange->onClosed([Self] { Self->onClientDisconnected(); });
  m_Ticket = m_Context->m_Slots.acquire(requestPriority(m_Exchange->request()),
                                        [Self] {
                                          Self->m_HoldsSlot = true;
                                          Self->run();
                                        });
}

void StandinRequestHandler::onClientDisconnected() {
  ++m_Context->m_Counters.m_Cancelled;
  if (!m_HoldsSlot && m_Ticket && m_Context->m_Slots.cancel(*m_Ticket))
    m_Finished = true;
  clientDisconnected();
}

void StandinRequestHandler::scheduleAfter(Duration Time,
                                          std::function<void()> Next) {
  if (m_Finished)
    return;
  const bool Stalled = faults().m_Stall;
  if (!Stalled && Time <= Duration::zero())
    return Next();
  m_Timer.expires_after(Stalled ? StallPollInterval : m_Faults.scaled(Time));
  m_Timer.async_wait([Self = shared_from_this(), Stalled, Time,
                      Next = std::move(Next)](boost::system::error_code Error) {
    // A stall fault may also have been set during the wait.
    if (!Error)
      Self->scheduleAfter(Stalled ? Time : Duration::zero(), Next);
  });
}

bool StandinRequestHandler::sendChunk(std::string Chunk) {
  const auto Limit = faults().m_CutAfterBytes;
  if (!Limit || m_BytesSent + Chunk.size() <= *Limit) {
    m_BytesSent += Chunk.size();
    m_Exchange->writeChunk(std::move(Chunk));
    return true;
  }
  Chunk.resize(*Limit > m_BytesSent ? *Limit - m_BytesSent : 0);
  // The permitted bytes, including the head, are sent before the abort.
  m_Exchange->onDrained([Exchange = m_Exchange] { Exchange->abort(); });
  m_Exchange->writeChunk(std::move(Chunk));
  finish();
  return false;
}

void StandinRequestHandler::finish() {
  if (m_Finished)
    return;
  m_Finished = true;
  m_Timer.cancel();
  if (m_HoldsSlot) {
    m_HoldsSlot = false;
    m_Context->m_Slots.release();
  }
}

} // namespace mangocart
