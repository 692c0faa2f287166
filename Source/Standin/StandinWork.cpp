// Slots, stalls and cuts, which all kinds of work have in common.
#include "Standin/StandinWork.h"

namespace mangocart {

namespace {

// How often stalled work looks whether the stall is over.
constexpr Duration StallLookInterval = std::chrono::milliseconds(5);

} // namespace

StandinWork::StandinWork(std::shared_ptr<StandinShared> Shared,
                         std::shared_ptr<HttpExchange> Exchange)
    : m_Shared(std::move(Shared)), m_Exchange(std::move(Exchange)),
      m_Faults(*m_Shared), m_Timer(m_Exchange->executor()) {}

void StandinWork::begin() {
  if (faults().m_Refuse) {
    HttpResponse Refusal = errorResponse(503, "refused by a fault");
    Refusal.m_Head.m_Headers.push_back({"Retry-After", "1"});
    return m_Exchange->respond(std::move(Refusal));
  }
  const auto Self = shared_from_this();
  m_Exchange->onClosed([Self] { Self->onClientGone(); });
  m_Place =
      m_Shared->m_Slots.acquire(requestPriority(m_Exchange->request()), [Self] {
        Self->m_HoldsSlot = true;
        Self->run();
      });
}

void StandinWork::onClientGone() {
  ++m_Shared->m_Counts.m_Cancelled;
  if (!m_HoldsSlot && m_Place && m_Shared->m_Slots.withdraw(*m_Place))
    m_Finished = true;
  clientGone();
}

void StandinWork::after(Duration Time, std::function<void()> Next) {
  if (m_Finished)
    return;
  const bool Stalled = faults().m_Stall;
  if (!Stalled && Time <= Duration::zero())
    return Next();
  m_Timer.expires_after(Stalled ? StallLookInterval : m_Faults.scaled(Time));
  m_Timer.async_wait([Self = shared_from_this(), Stalled, Time,
                      Next = std::move(Next)](boost::system::error_code Error) {
    // A stall may also have begun during the wait.
    if (!Error)
      Self->after(Stalled ? Time : Duration::zero(), Next);
  });
}

bool StandinWork::sendPiece(std::string Piece) {
  const auto Cut = faults().m_CutAfterBytes;
  if (!Cut || m_BytesSent + Piece.size() <= *Cut) {
    m_BytesSent += Piece.size();
    m_Exchange->writeChunk(std::move(Piece));
    return true;
  }
  Piece.resize(*Cut > m_BytesSent ? *Cut - m_BytesSent : 0);
  // What is allowed goes out first, the head included.
  m_Exchange->onDrained([Exchange = m_Exchange] { Exchange->abort(); });
  m_Exchange->writeChunk(std::move(Piece));
  finish();
  return false;
}

void StandinWork::finish() {
  if (m_Finished)
    return;
  m_Finished = true;
  m_Timer.cancel();
  if (m_HoldsSlot) {
    m_HoldsSlot = false;
    m_Shared->m_Slots.release();
  }
}

} // namespace mangocart
